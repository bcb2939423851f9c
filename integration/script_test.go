package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// script is a test that is read from a YAML file.
type script struct {
	// Property is the behaviour that the script verifies.
	Property   string     `yaml:"proves"`
	Soak       bool       `yaml:"soak"`
	Deployment deployment `yaml:"deployment"`
	// Cases run the script once each; their steps replace the step "case".
	Cases []scriptCase `yaml:"cases"`
	Steps []step       `yaml:"steps"`
	// Ablations are mechanisms that the script depends on: with one of them
	// disabled it must fail.
	Ablations []ablation  `yaml:"red"`
	Expect    expectation `yaml:"expect"`
}

// ablation is a mechanism to disable and the cases, all if empty, that must then
// fail.
type ablation struct {
	Mechanism       string   `yaml:"without"`
	Cases           []string `yaml:"cases"`
	ExpectedFailure string   `yaml:"shows"`
}

type scriptCase struct {
	Name  string `yaml:"name"`
	Steps []step `yaml:"steps"`
}

// deployment is the topology of a cluster. Numbers of servers and instances are
// per data centre.
type deployment struct {
	DataCentres     []string          `yaml:"data_centres"`
	EntryInstances  int               `yaml:"entries"`
	Engines         int               `yaml:"engines"`
	PlainServers    int               `yaml:"plains"`
	Slots           int               `yaml:"slots"`
	StepTime        spokeclock.Millis `yaml:"step_millis"`
	ProcessingTime  spokeclock.Millis `yaml:"work_millis"`
	ReportsOutcomes bool              `yaml:"reports_outcomes"`
	ChecksFencing   bool              `yaml:"checks_orders"`
	Routing         string            `yaml:"routing"`
	UnreadyDelay    spokeclock.Millis `yaml:"unready_millis"`
	// SpareEngines is the number of engines that the cloud API can start.
	SpareEngines int `yaml:"spares"`
	// MinManagedInstances is the minimum number of engines in all data centres
	// together. If it is above 0, the autoscaler starts and stops engines.
	MinManagedInstances int `yaml:"managed_least_instances"`
}

// step is one action or check of a script. Exactly one of its fields besides
// Note is set.
type step struct {
	Note            string                       `yaml:"note"`
	Sleep           spokeclock.Millis            `yaml:"sleep_millis"`
	RunCase         bool                         `yaml:"case"`
	Proxy           *proxyStep                   `yaml:"proxy"`
	Table           *tableStep                   `yaml:"table"`
	Engine          *engineStep                  `yaml:"engine"`
	Plain           *plainStep                   `yaml:"plain"`
	Cloud           *cloudStep                   `yaml:"cloud"`
	Signal          *signalStep                  `yaml:"signal"`
	Restart         string                       `yaml:"restart"`
	Load            *loadStep                    `yaml:"load"`
	AwaitLoad       string                       `yaml:"wait"`
	Request         *requestStep                 `yaml:"request"`
	AwaitBackground string                       `yaml:"join"`
	Command         *commandStep                 `yaml:"command"`
	AwaitQuery      *awaitQueryStep              `yaml:"await"`
	RunCount        *runCountStep                `yaml:"runs"`
	NoRequests      *noRequestsStep              `yaml:"last_arrival"`
	Reclaim         *spokestandin.ReclaimRequest `yaml:"reclaim"`
	CheckOrders     *checkOrdersStep             `yaml:"orders"`
}

type proxyStep struct {
	// Name is the name of a proxy, or a prefix of names followed by *.
	Name   string                   `yaml:"between"`
	Faults spokestandin.ProxyFaults `yaml:"faults"`
}

type tableStep struct {
	Faults spokestandin.TableFaults `yaml:"faults"`
}

type engineStep struct {
	Name   string                    `yaml:"name"`
	Faults spokestandin.EngineFaults `yaml:"faults"`
}

type plainStep struct {
	Name   string                   `yaml:"name"`
	Faults spokestandin.PlainFaults `yaml:"faults"`
}

type cloudStep struct {
	Faults spokestandin.CloudFaults `yaml:"faults"`
}

type signalStep struct {
	Process string `yaml:"process"`
	Signal  string `yaml:"signal"`
	// DutyHolder selects the entry instance that holds this duty instead of a
	// process by name. Later steps refer to it as the process "holder".
	DutyHolder string `yaml:"holder_of"`
	// ExitTimeout, if above 0, is how long to wait for the process to exit.
	ExitTimeout spokeclock.Millis `yaml:"exits_within_millis"`
	ExitCode    int               `yaml:"exit_code"`
}

type loadStep struct {
	Name    string                  `yaml:"name"`
	Rate    float64                 `yaml:"requests_per_second"`
	Length  spokeclock.Millis       `yaml:"length_millis"`
	Mix     []spokeload.RequestKind `yaml:"mix"`
	Entries []string                `yaml:"entries"`
	Seed    uint64                  `yaml:"seed"`
}

// requestStep sends a request to the booking service. A refusal must always have
// a Retry-After header.
type requestStep struct {
	Entry string `yaml:"entry"`
	// Key names an idempotency key, generated when the name is first used.
	Key  string `yaml:"key"`
	Body string `yaml:"body"`
	// Background, if set, runs the request in the background under this name, so
	// that a later step can wait for it.
	Background string `yaml:"background"`
	// Outcome is "answered", the outcome of a refusal, or "none" without a
	// response. Alternatives are separated by |.
	Outcome string `yaml:"outcome"`
	// Kind is the error kind of a refusal. Alternatives are separated by |.
	Kind string `yaml:"kind"`
	// MaxDuration, if above 0, limits the time until the response.
	MaxDuration spokeclock.Millis `yaml:"within_millis"`
	// Path is the path at the booking service, /payments if empty.
	Path string `yaml:"path"`
	// RetryFor is how long the request is repeated until it has the outcome.
	RetryFor spokeclock.Millis `yaml:"until_millis"`
}

// commandStep sends an operator command: a declaration to apply, or a mark for
// an instance.
type commandStep struct {
	Entry         string            `yaml:"entry"`
	Apply         string            `yaml:"apply"`
	BaseRevision  int64             `yaml:"base_revision"`
	AllowPending  bool              `yaml:"allow_pending"`
	CommandID     string            `yaml:"command_id"`
	Mark          string            `yaml:"mark"`
	Instance      string            `yaml:"instance"`
	ErrorContains string            `yaml:"error"`
	Pending       []string          `yaml:"pending"`
	Background    string            `yaml:"background"`
	MaxDuration   spokeclock.Millis `yaml:"within_millis"`
}

// awaitQueryStep waits until the result of an operator query has RowCount rows
// and a cell with the text of Cell.
type awaitQueryStep struct {
	Entry      string            `yaml:"entry"`
	EveryEntry bool              `yaml:"every_entry"`
	Query      string            `yaml:"query"`
	RowCount   *int              `yaml:"rows"`
	Cell       string            `yaml:"cell"`
	Timeout    spokeclock.Millis `yaml:"within_millis"`
	// HoldFor, if above 0, requires the condition to be met for this time instead.
	HoldFor spokeclock.Millis `yaml:"holds_millis"`
}

// runCountStep checks how often the plain servers ran a booking.
type runCountStep struct {
	Body string `yaml:"body"`
	Min  int    `yaml:"min"`
	Max  int    `yaml:"max"`
}

// noRequestsStep checks that a server receives no request during a period.
type noRequestsStep struct {
	Server string            `yaml:"server"`
	Period spokeclock.Millis `yaml:"quiet_millis"`
}

// checkOrdersStep checks the orders that each running engine accepted: fencing
// numbers never decrease, and the last is at least MinLastFencingNumber.
type checkOrdersStep struct {
	MinLastFencingNumber int64 `yaml:"last_fence_at_least"`
	// LateOrderEngine, if set, names an engine that is sent an order with fencing
	// number 1 instead, like an order that is delivered late.
	LateOrderEngine string `yaml:"late"`
}

type expectation struct {
	// Verdicts bound the number of requests by verdict, over all loads.
	Verdicts map[spokeload.Verdict]bound `yaml:"verdicts"`
	// Metrics bound the sum of a metric over the entry instances that respond.
	Metrics map[string]bound `yaml:"metrics"`
	// FirstTokenP99 limits the 99th percentile of the time to the first token, by
	// kind of request.
	FirstTokenP99 map[string]spokeclock.Millis `yaml:"first_token_p99_millis"`
}

type bound struct {
	Min *float64 `yaml:"min"`
	Max *float64 `yaml:"max"`
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	s := spokecase.Read[script](t, path)
	require.NotEmpty(t, s.Property, "%s does not state the property that it verifies", path)
	return s
}
