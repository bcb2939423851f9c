package spokeoperate

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"mulberryspoke.example/mulberryspoke/gen/command"
	"mulberryspoke.example/mulberryspoke/gen/query"
	"mulberryspoke.example/mulberryspoke/spokebackend"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokecore"
	"mulberryspoke.example/mulberryspoke/spokelease"
	"mulberryspoke.example/mulberryspoke/spokemember"
)

var (
	errWrongKey = errors.New("the operator's key is missing or wrong")
	errNoConfig = errors.New("no configuration is known here yet")
)

// QueryService answers operators. Set its fields before the first call. It is safe
// for concurrent use.
type QueryService struct {
	Authenticator
	// Store holds the configuration.
	Store *spokeconfig.Store
	// View knows the entry instances.
	View *spokemember.View
	// Registry knows the backend servers.
	Registry *spokebackend.Registry
	// Core knows the last placements.
	Core *spokecore.Core
	// Leases are the duties that this instance may hold.
	Leases []*spokelease.Lease
}

// Get implements the query service of the API.
func (q *QueryService) Get(_ context.Context, p *query.GetPayload) (*query.GetResult, error) {
	if refused := q.check(p.Authorization); refused != nil {
		return nil, refused
	}
	current := q.Store.Current()
	if current == nil {
		return nil, refuse("unavailable", "no_configuration", outcomeNotRun, errNoConfig)
	}
	text, err := spokeconfig.Format(current.Declaration())
	if err != nil {
		return nil, refuse("unavailable", "no_configuration", outcomeNotRun, err)
	}
	return &query.GetResult{Revision: int64(current.Revision()), Declaration: string(text)}, nil
}

// Diff implements the query service of the API.
func (q *QueryService) Diff(_ context.Context, p *query.DiffPayload) (*query.DiffResult, error) {
	if refused := q.check(p.Authorization); refused != nil {
		return nil, refused
	}
	declaration, err := spokeconfig.Parse([]byte(p.Declaration))
	if err != nil {
		return nil, refuse("invalid", "invalid_declaration", outcomeNotRun, err)
	}
	result := &query.DiffResult{Revision: int64(q.Store.Revision())}
	for _, change := range spokeconfig.Diff(q.Store.Items(), declaration.Items()) {
		result.Changes = append(result.Changes, &query.Change{Item: change.Item().Key, Change: string(change.Kind())})
	}
	return result, nil
}

// Places implements the query service of the API.
func (q *QueryService) Places(_ context.Context, p *query.PlacesPayload) ([]*query.DataCentreState, error) {
	if refused := q.check(p.Authorization); refused != nil {
		return nil, refused
	}
	var states []*query.DataCentreState
	for _, place := range q.View.DataCentresAt(q.Store.Revision()) {
		states = append(states, &query.DataCentreState{
			DataCentre: place.DataCentre,
			Revision:   int64(place.Revision),
			Instances:  place.Instances,
			Reachable:  place.Reachable(),
		})
	}
	return states, nil
}

// Ask implements the query service of the API. A query is a noun, then
// "where" and conditions "column=value" joined by "and".
func (q *QueryService) Ask(_ context.Context, p *query.AskPayload) (*query.Table, error) {
	if refused := q.check(p.Authorization); refused != nil {
		return nil, refused
	}
	words := strings.Fields(p.Query)
	if len(words) == 0 {
		return nil, refuse("invalid", "invalid_query", outcomeNotRun, errors.New("the query is empty; allowed: "+nouns))
	}
	table, err := q.table(words[0])
	if err != nil {
		return nil, refuse("invalid", "invalid_query", outcomeNotRun, err)
	}
	if err := filter(table, words[1:]); err != nil {
		return nil, refuse("invalid", "invalid_query", outcomeNotRun, err)
	}
	return table, nil
}

const nouns = "servers, entries, data_centres, services, workspaces, marks, placements, duties"

func (q *QueryService) table(noun string) (*query.Table, error) {
	switch noun {
	case "servers":
		return q.servers(), nil
	case "entries":
		return q.entries(), nil
	case "data_centres":
		return q.dataCentres(), nil
	case "services":
		return q.services(), nil
	case "workspaces":
		return q.workspaces(), nil
	case "marks":
		return q.marks(), nil
	case "placements":
		return q.placements(), nil
	case "duties":
		return q.duties(), nil
	default:
		return nil, fmt.Errorf("%q is not known; allowed: %s", noun, nouns)
	}
}

// filter keeps the rows that meet all conditions.
func filter(table *query.Table, words []string) error {
	if len(words) == 0 {
		return nil
	}
	if words[0] != "where" || len(words) == 1 {
		return fmt.Errorf("%q is not known; allowed: where column=value [and column=value]", strings.Join(words, " "))
	}
	for i, word := range words[1:] {
		if i%2 == 1 {
			if word != "and" {
				return fmt.Errorf("%q is not known; allowed: and", word)
			}
			continue
		}
		if err := keepRows(table, word); err != nil {
			return err
		}
	}
	return nil
}

func keepRows(table *query.Table, condition string) error {
	column, value, ok := strings.Cut(condition, "=")
	at := slices.Index(table.Columns, column)
	if !ok || at < 0 {
		return fmt.Errorf("%q is not a condition; columns: %s", condition, strings.Join(table.Columns, ", "))
	}
	table.Rows = slices.DeleteFunc(table.Rows, func(row *query.Row) bool { return row.Cells[at] != value })
	return nil
}

func add(table *query.Table, cells ...string) {
	table.Rows = append(table.Rows, &query.Row{Cells: cells})
}

func (q *QueryService) servers() *query.Table {
	table := &query.Table{Columns: []string{"name", "service", "data_centre", "class", "reclaimable", "state", "why", "in_flight", "slots", "slowness", "trust"}}
	for _, line := range q.Registry.Servers() {
		state, why := serverState(line)
		c := line.Candidate()
		add(table, c.Name, line.Instance().Service, line.Instance().DataCentre, line.Instance().MachineClass,
			strconv.FormatBool(line.Instance().Reclaimable), state, why, strconv.Itoa(c.InFlight), strconv.Itoa(c.Slots),
			strconv.FormatFloat(c.Slowness, 'f', 2, 64), strconv.FormatFloat(c.TrafficShare, 'f', 2, 64))
	}
	return table
}

// serverState names a server's state and the reason that decided it.
func serverState(line spokebackend.ServerStatus) (state, why string) {
	switch {
	case line.RemovalSource() != "":
		return "leaving", string(line.RemovalSource())
	case line.Candidate().Suspended:
		return "suspended", "failed_lately"
	case line.Candidate().TrafficShare < 1:
		return "slow", "own_evidence"
	default:
		return "live", "listed"
	}
}

func (q *QueryService) entries() *query.Table {
	table := &query.Table{Columns: []string{"name", "data_centre", "address"}}
	for _, identity := range q.View.LiveLocalInstances() {
		add(table, identity.Name, identity.DataCentre, identity.Address)
	}
	return table
}

func (q *QueryService) dataCentres() *query.Table {
	table := &query.Table{Columns: []string{"data_centre", "revision", "instances", "reachable"}}
	for _, place := range q.View.DataCentresAt(q.Store.Revision()) {
		add(table, place.DataCentre, strconv.FormatInt(int64(place.Revision), 10), strconv.Itoa(place.Instances), strconv.FormatBool(place.Reachable()))
	}
	return table
}

// declaration returns the declaration in force, empty while none is known.
func (q *QueryService) declaration() spokeconfig.Declaration {
	if current := q.Store.Current(); current != nil {
		return current.Declaration()
	}
	return spokeconfig.Declaration{}
}

func (q *QueryService) services() *query.Table {
	table := &query.Table{Columns: []string{"name", "kind", "routing", "first_token_target_millis", "token_gap_target_millis", "live_servers", "slots"}}
	for _, service := range q.declaration().Services {
		capacity := q.Registry.Capacity(service.Name)
		add(table, service.Name, string(service.Kind), string(service.Routing),
			strconv.FormatInt(int64(service.FirstTokenTarget), 10), strconv.FormatInt(int64(service.TokenGapTarget), 10),
			strconv.Itoa(capacity.LiveServers()), strconv.Itoa(capacity.Slots()))
	}
	return table
}

func (q *QueryService) workspaces() *query.Table {
	table := &query.Table{Columns: []string{"name", "priority", "share", "requests_per_second", "tokens_per_second", "concurrent_requests"}}
	for _, w := range q.declaration().Workspaces {
		add(table, w.Name, strconv.Itoa(w.Priority), strconv.Itoa(w.Share),
			strconv.FormatFloat(w.RequestRate, 'f', -1, 64), strconv.FormatFloat(w.TokenRate, 'f', -1, 64), strconv.Itoa(w.Concurrency))
	}
	return table
}

func (q *QueryService) marks() *query.Table {
	table := &query.Table{Columns: []string{"instance", "mark"}}
	if current := q.Store.Current(); current != nil {
		for _, mark := range current.Marks() {
			add(table, mark.Instance, string(mark.Kind))
		}
	}
	return table
}

func (q *QueryService) placements() *query.Table {
	table := &query.Table{Columns: []string{"at_millis", "workspace", "service", "server", "why", "cost"}}
	for _, placement := range q.Core.RecentPlacements() {
		decision := placement.Decision()
		add(table, strconv.FormatInt(int64(placement.ChosenAt()), 10), placement.Workspace(), placement.Service(),
			decision.Server(), string(decision.Reason()), strconv.FormatFloat(decision.Cost(), 'f', 3, 64))
	}
	return table
}

func (q *QueryService) duties() *query.Table {
	table := &query.Table{Columns: []string{"duty", "held_here", "fence"}}
	for _, lease := range q.Leases {
		fence, held := lease.Held()
		add(table, lease.Name, strconv.FormatBool(held), strconv.FormatInt(int64(fence), 10))
	}
	return table
}

var (
	_ query.Service   = (*QueryService)(nil)
	_ command.Service = (*CommandService)(nil)
)
