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
	errWrongKey = errors.New("the operators' key is missing or wrong")
	errNoConfig = errors.New("this instance has not received a configuration yet")
)

// QueryService implements the operators' queries. Set its fields before the first
// call. It is safe for concurrent use.
type QueryService struct {
	Authenticator
	// Store holds the configuration.
	Store *spokeconfig.Store
	// View has the live entry instances and the state of the data centres.
	View *spokemember.View
	// Registry has the backend servers.
	Registry *spokebackend.Registry
	// Core has the recent placements.
	Core *spokecore.Core
	// Leases are the leases of the duties that this instance may hold.
	Leases []*spokelease.Lease
}

// Get implements the query service of the API.
func (q *QueryService) Get(_ context.Context, p *query.GetPayload) (*query.GetResult, error) {
	if refused := q.authenticate(p.Authorization); refused != nil {
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
	if refused := q.authenticate(p.Authorization); refused != nil {
		return nil, refused
	}
	declaration, err := spokeconfig.Parse([]byte(p.Declaration))
	if err != nil {
		return nil, refuse("invalid", "invalid_declaration", outcomeNotRun, err)
	}
	proposal := spokeconfig.ProposeDeclaration(q.Store.Current(), &declaration)
	result := &query.DiffResult{Revision: int64(proposal.Base())}
	for _, change := range proposal.Changes() {
		result.Changes = append(result.Changes, &query.Change{Item: change.Item().Key, Change: string(change.Kind())})
	}
	return result, nil
}

// Places implements the query service of the API.
func (q *QueryService) Places(_ context.Context, p *query.PlacesPayload) ([]*query.DataCentreState, error) {
	if refused := q.authenticate(p.Authorization); refused != nil {
		return nil, refused
	}
	var states []*query.DataCentreState
	for _, dataCentre := range q.View.DataCentresAt(q.Store.Revision()) {
		states = append(states, &query.DataCentreState{
			DataCentre: dataCentre.DataCentre,
			Revision:   int64(dataCentre.Revision),
			Instances:  dataCentre.Instances,
			Reachable:  dataCentre.Reachable(),
		})
	}
	return states, nil
}

// Ask implements the query service of the API. A query is the name of a table,
// optionally followed by "where" and conditions "column=value" joined by "and".
func (q *QueryService) Ask(_ context.Context, p *query.AskPayload) (*query.Table, error) {
	if refused := q.authenticate(p.Authorization); refused != nil {
		return nil, refused
	}
	words := strings.Fields(p.Query)
	if len(words) == 0 {
		return nil, refuse("invalid", "invalid_query", outcomeNotRun, errors.New("the query is empty; allowed: "+tableNames))
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

const tableNames = "servers, entries, data_centres, services, workspaces, marks, placements, duties"

func (q *QueryService) table(name string) (*query.Table, error) {
	switch name {
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
		return nil, fmt.Errorf("%q is not a table; allowed: %s", name, tableNames)
	}
}

// filter applies a query's conditions: it keeps the rows that meet all of them.
func filter(table *query.Table, words []string) error {
	if len(words) == 0 {
		return nil
	}
	if words[0] != "where" || len(words) == 1 {
		return fmt.Errorf("%q is not a condition clause; allowed: where column=value [and column=value]", strings.Join(words, " "))
	}
	for i, word := range words[1:] {
		if i%2 == 1 {
			if word != "and" {
				return fmt.Errorf("%q is not a connective; allowed: and", word)
			}
			continue
		}
		if err := keepMatchingRows(table, word); err != nil {
			return err
		}
	}
	return nil
}

func keepMatchingRows(table *query.Table, condition string) error {
	column, value, found := strings.Cut(condition, "=")
	index := slices.Index(table.Columns, column)
	if !found || index < 0 {
		return fmt.Errorf("%q is not a condition column=value; columns: %s", condition, strings.Join(table.Columns, ", "))
	}
	table.Rows = slices.DeleteFunc(table.Rows, func(row *query.Row) bool { return row.Cells[index] != value })
	return nil
}

func addRow(table *query.Table, cells ...string) {
	table.Rows = append(table.Rows, &query.Row{Cells: cells})
}

func (q *QueryService) servers() *query.Table {
	table := &query.Table{Columns: []string{"name", "service", "data_centre", "class", "reclaimable", "state", "why", "in_flight", "slots", "slowness", "trust"}}
	for _, status := range q.Registry.Servers() {
		state, reason := serverState(status)
		candidate := status.Candidate()
		addRow(table, candidate.Name, status.Instance().Service, status.Instance().DataCentre, status.Instance().MachineClass,
			strconv.FormatBool(status.Instance().Reclaimable), state, reason, strconv.Itoa(candidate.InFlight), strconv.Itoa(candidate.Slots),
			strconv.FormatFloat(candidate.Slowness, 'f', 2, 64), strconv.FormatFloat(candidate.TrafficShare, 'f', 2, 64))
	}
	return table
}

// serverState returns a server's state and the reason for it.
func serverState(status spokebackend.ServerStatus) (state, reason string) {
	switch {
	case status.RemovalSource() != "":
		return "leaving", string(status.RemovalSource())
	case status.Candidate().Suspended:
		return "suspended", "failed_lately"
	case status.Candidate().TrafficShare < 1:
		return "slow", "own_evidence"
	default:
		return "live", "listed"
	}
}

func (q *QueryService) entries() *query.Table {
	table := &query.Table{Columns: []string{"name", "data_centre", "address"}}
	for _, identity := range q.View.LiveLocalInstances() {
		addRow(table, identity.Name, identity.DataCentre, identity.Address)
	}
	return table
}

func (q *QueryService) dataCentres() *query.Table {
	table := &query.Table{Columns: []string{"data_centre", "revision", "instances", "reachable"}}
	for _, dataCentre := range q.View.DataCentresAt(q.Store.Revision()) {
		addRow(table, dataCentre.DataCentre, strconv.FormatInt(int64(dataCentre.Revision), 10), strconv.Itoa(dataCentre.Instances), strconv.FormatBool(dataCentre.Reachable()))
	}
	return table
}

// declaration returns the declaration in force, or an empty one if there is none
// yet.
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
		addRow(table, service.Name, string(service.Kind), string(service.Routing),
			strconv.FormatInt(int64(service.FirstTokenTarget), 10), strconv.FormatInt(int64(service.TokenGapTarget), 10),
			strconv.Itoa(capacity.LiveServers()), strconv.Itoa(capacity.Slots()))
	}
	return table
}

func (q *QueryService) workspaces() *query.Table {
	table := &query.Table{Columns: []string{"name", "priority", "share", "requests_per_second", "tokens_per_second", "concurrent_requests"}}
	for _, workspace := range q.declaration().Workspaces {
		addRow(table, workspace.Name, strconv.Itoa(workspace.Priority), strconv.Itoa(workspace.Share),
			strconv.FormatFloat(workspace.RequestRate, 'f', -1, 64), strconv.FormatFloat(workspace.TokenRate, 'f', -1, 64), strconv.Itoa(workspace.Concurrency))
	}
	return table
}

func (q *QueryService) marks() *query.Table {
	table := &query.Table{Columns: []string{"instance", "mark"}}
	if current := q.Store.Current(); current != nil {
		for _, mark := range current.Marks() {
			addRow(table, mark.Instance, string(mark.Kind))
		}
	}
	return table
}

func (q *QueryService) placements() *query.Table {
	table := &query.Table{Columns: []string{"at_millis", "workspace", "service", "server", "why", "cost"}}
	for _, placement := range q.Core.RecentPlacements() {
		decision := placement.Decision()
		addRow(table, strconv.FormatInt(int64(placement.ChosenAt()), 10), placement.Workspace(), placement.Service(),
			decision.Server(), string(decision.Reason()), strconv.FormatFloat(decision.Cost(), 'f', 3, 64))
	}
	return table
}

func (q *QueryService) duties() *query.Table {
	table := &query.Table{Columns: []string{"duty", "held_here", "fence"}}
	for _, lease := range q.Leases {
		fencingNumber, held := lease.Held()
		addRow(table, lease.Name, strconv.FormatBool(held), strconv.FormatInt(int64(fencingNumber), 10))
	}
	return table
}

var (
	_ query.Service   = (*QueryService)(nil)
	_ command.Service = (*CommandService)(nil)
)
