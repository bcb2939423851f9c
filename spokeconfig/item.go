package spokeconfig

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Revision is the number of an accepted change. It only grows.
type Revision int64

// Item is the part of a configuration that is changed and distributed as a unit.
type Item struct {
	// Key is the kind and the name, such as "service/assistant".
	Key string `json:"key"`
	// Revision is the revision of its last change, as seen by whoever wrote or sent the item.
	Revision Revision `json:"revision"`
	// Value is the item's JSON, or empty if the item has been removed.
	Value json.RawMessage `json:"value,omitempty"`
}

// Delta leads from the content at From to that at To.
type Delta struct {
	// From is the revision that the delta is based on. Zero means that the
	// delta holds the whole configuration, and that other items don't exist.
	From Revision `json:"from"`
	// To is the revision that results from applying the delta.
	To Revision `json:"to"`
	// Items are the items that differ, or all of them.
	Items []Item `json:"items"`
}

// Prefixes of item keys.
const (
	dataCentrePrefix = "data_centre/"
	servicePrefix    = "service/"
	workspacePrefix  = "workspace/"
	pricePrefix      = "price/"
	markPrefix       = "mark/"
	routePrefix      = "route/"
	limitsPrefix     = "limits/"
)

// Items splits a declaration into items, in its order. They have no revision.
func (d *Declaration) Items() []Item {
	var items []Item
	add := func(key string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			panic("spokeconfig: " + key + " cannot be encoded as JSON: " + err.Error())
		}
		items = append(items, Item{Key: key, Value: text})
	}
	for _, dataCentre := range d.DataCentres {
		add(dataCentrePrefix+dataCentre.Name, dataCentre)
	}
	for i := range d.Services {
		add(servicePrefix+d.Services[i].Name, &d.Services[i])
	}
	for i := range d.Workspaces {
		add(workspacePrefix+d.Workspaces[i].Name, &d.Workspaces[i])
	}
	for _, price := range d.Prices {
		add(pricePrefix+price.DataCentre+"."+price.MachineClass, price)
	}
	for i := range d.CallerRoutes {
		add(routePrefix+d.CallerRoutes[i].Name, &d.CallerRoutes[i])
	}
	if d.Limits != nil {
		add(limitsPrefix, d.Limits)
	}
	return items
}

// MarkItem returns the item of a mark. For MarkNone it is a removed item.
func MarkItem(mark Mark) Item {
	if mark.Kind == MarkNone {
		return Item{Key: markPrefix + mark.Instance}
	}
	text, err := json.Marshal(mark)
	if err != nil {
		panic("spokeconfig: a mark cannot be encoded as JSON: " + err.Error())
	}
	return Item{Key: markPrefix + mark.Instance, Value: text}
}

// ChangeKind is the kind of a change to an item.
type ChangeKind string

const (
	// ChangeAdded means that the item is new.
	ChangeAdded ChangeKind = "added"
	// ChangeChanged means that the item has another value.
	ChangeChanged ChangeKind = "changed"
	// ChangeRemoved means that the item no longer exists.
	ChangeRemoved ChangeKind = "removed"
)

// Change is one difference between two sets of items.
type Change struct {
	item Item
	kind ChangeKind
}

// Item returns the item after the change.
func (c Change) Item() Item { return c.item }

// Kind returns the kind of the change.
func (c Change) Kind() ChangeKind { return c.kind }

// Diff returns the changes from the current items to the desired ones, ordered
// by key. Operators' marks are not part of a declaration, so they are never
// removed.
func Diff(current, desired []Item) []Change {
	var changes []Change
	for _, item := range desired {
		old, found := findPresent(current, item.Key)
		switch {
		case !found:
			changes = append(changes, Change{item: item, kind: ChangeAdded})
		case !bytes.Equal(old.Value, item.Value):
			changes = append(changes, Change{item: item, kind: ChangeChanged})
		}
	}
	for _, item := range current {
		_, kept := findPresent(desired, item.Key)
		if kept || strings.HasPrefix(item.Key, markPrefix) {
			continue
		}
		changes = append(changes, Change{item: Item{Key: item.Key}, kind: ChangeRemoved})
	}
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(a.item.Key, b.item.Key) })
	return changes
}

func findPresent(items []Item, key string) (Item, bool) {
	i := slices.IndexFunc(items, func(item Item) bool { return item.Key == key && len(item.Value) > 0 })
	if i < 0 {
		return Item{}, false
	}
	return items[i], true
}

// declarationFromItems is the reverse of Declaration.Items. It also returns the
// marks among the items.
func declarationFromItems(items []Item) (Declaration, []Mark, error) {
	declaration := Declaration{Version: formatVersion}
	var marks []Mark
	var limits []CallerLimits
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		var err error
		switch kind, _, _ := strings.Cut(item.Key, "/"); kind + "/" {
		case dataCentrePrefix:
			err = appendDecoded(item, &declaration.DataCentres)
		case servicePrefix:
			err = appendDecoded(item, &declaration.Services)
		case workspacePrefix:
			err = appendDecoded(item, &declaration.Workspaces)
		case pricePrefix:
			err = appendDecoded(item, &declaration.Prices)
		case markPrefix:
			err = appendDecoded(item, &marks)
		case routePrefix:
			err = appendDecoded(item, &declaration.CallerRoutes)
		case limitsPrefix:
			err = appendDecoded(item, &limits)
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

func appendDecoded[Value any](item Item, list *[]Value) error {
	var value Value
	if err := json.Unmarshal(item.Value, &value); err != nil {
		return spokeerror.Newf("read item", KindInvalid, "%s: %w", item.Key, err)
	}
	*list = append(*list, value)
	return nil
}

// markChange returns the change that applies the item of a mark.
func markChange(item Item) Change {
	if len(item.Value) == 0 {
		return Change{item: item, kind: ChangeRemoved}
	}
	return Change{item: item, kind: ChangeChanged}
}
