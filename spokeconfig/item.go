package spokeconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Revision numbers accepted changes. It only grows.
type Revision int64

// Item is one part of a configuration.
type Item struct {
	// Key is the kind and the name, as "service/assistant".
	Key string `json:"key"`
	// Revision is the revision of its last change.
	Revision Revision `json:"revision"`
	// Value is the item's JSON, empty once it is removed.
	Value json.RawMessage `json:"value,omitempty"`
}

// Delta is every item changed behind From and up to To.
type Delta struct {
	// From is the revision the delta rests on. Zero makes it whole.
	From Revision `json:"from"`
	// To is the revision it leads to.
	To Revision `json:"to"`
	// Items are the changed items.
	Items []Item `json:"items"`
}

const (
	kindDataCentre = "data_centre/"
	kindService    = "service/"
	kindWorkspace  = "workspace/"
	kindPrice      = "price/"
	kindMark       = "mark/"
	kindRoute      = "route/"
	kindLimits     = "limits/"
)

// Items cuts a declaration into items without revisions, in order.
func (d *Declaration) Items() []Item {
	var items []Item
	add := func(key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			panic("spokeconfig: " + key + " has no JSON form: " + err.Error())
		}
		items = append(items, Item{Key: key, Value: text})
	}
	for _, place := range d.DataCentres {
		add(kindDataCentre+place.Name, place)
	}
	for i := range d.Services {
		add(kindService+d.Services[i].Name, &d.Services[i])
	}
	for i := range d.Workspaces {
		add(kindWorkspace+d.Workspaces[i].Name, &d.Workspaces[i])
	}
	for _, price := range d.Prices {
		add(kindPrice+price.DataCentre+"."+price.MachineClass, price)
	}
	for i := range d.CallerRoutes {
		add(kindRoute+d.CallerRoutes[i].Name, &d.CallerRoutes[i])
	}
	if d.Limits != nil {
		add(kindLimits, d.Limits)
	}
	return items
}

// MarkItem returns the item of an operator's wish for an instance.
func MarkItem(mark Mark) Item {
	if mark.Kind == MarkNone {
		return Item{Key: kindMark + mark.Instance}
	}
	text, err := json.Marshal(mark)
	if err != nil {
		panic("spokeconfig: a mark has no JSON form: " + err.Error())
	}
	return Item{Key: kindMark + mark.Instance, Value: text}
}

// ChangeKind tells what became of an item.
type ChangeKind string

const (
	// ChangeAdded is a new item.
	ChangeAdded ChangeKind = "added"
	// ChangeChanged is an item with another value.
	ChangeChanged ChangeKind = "changed"
	// ChangeRemoved is an item that is gone.
	ChangeRemoved ChangeKind = "removed"
)

// Change is one difference between two sets of items.
type Change struct {
	item Item
	kind ChangeKind
}

// Item returns the item as it becomes.
func (c Change) Item() Item { return c.item }

// Kind returns what becomes of it.
func (c Change) Kind() ChangeKind { return c.kind }

// Diff returns what leads from the held items to the wanted ones, ordered by
// key. Operators' marks are no part of a declaration and are left alone.
func Diff(held, wanted []Item) []Change {
	var changes []Change
	for _, item := range wanted {
		old, found := find(held, item.Key)
		switch {
		case !found:
			changes = append(changes, Change{item: item, kind: ChangeAdded})
		case !bytes.Equal(old.Value, item.Value):
			changes = append(changes, Change{item: item, kind: ChangeChanged})
		}
	}
	for _, item := range held {
		_, kept := find(wanted, item.Key)
		if kept || strings.HasPrefix(item.Key, kindMark) {
			continue
		}
		changes = append(changes, Change{item: Item{Key: item.Key}, kind: ChangeRemoved})
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.item.Key, b.item.Key) })
	return changes
}

func find(items []Item, key string) (Item, bool) {
	i := slices.IndexFunc(items, func(item Item) bool { return item.Key == key && len(item.Value) > 0 })
	if i < 0 {
		return Item{}, false
	}
	return items[i], true
}

// collect builds the declaration that a set of items stands for.
func collect(items []Item) (Declaration, []Mark, error) {
	declaration := Declaration{Version: formatVersion}
	var marks []Mark
	var limits []CallerLimits
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		var err error
		switch kind, _, _ := strings.Cut(item.Key, "/"); kind + "/" {
		case kindDataCentre:
			err = appendItem(item, &declaration.DataCentres)
		case kindService:
			err = appendItem(item, &declaration.Services)
		case kindWorkspace:
			err = appendItem(item, &declaration.Workspaces)
		case kindPrice:
			err = appendItem(item, &declaration.Prices)
		case kindMark:
			err = appendItem(item, &marks)
		case kindRoute:
			err = appendItem(item, &declaration.CallerRoutes)
		case kindLimits:
			err = appendItem(item, &limits)
		}
		if err != nil {
			return Declaration{}, nil, err
		}
	}
	if len(limits) > 0 {
		declaration.Limits = &limits[0]
	}
	return declaration, marks, nil
}

func appendItem[Value any](item Item, list *[]Value) error {
	var value Value
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return spokeerror.Newf("read item", KindInvalid, "%s: %w", item.Key, err)
	}
	*list = append(*list, value)
	return nil
}

// MarkChange returns the change that puts a mark's item in force.
func MarkChange(item Item) Change {
	if len(item.Value) == 0 {
		return Change{item: item, kind: ChangeRemoved}
	}
	return Change{item: item, kind: ChangeChanged}
}
