package integration

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// script is a test read from a data file.
type script struct {
	Proves     string     `yaml:"proves"`
	Soak       bool       `yaml:"soak"`
	Deployment deployment `yaml:"deployment"`
	// Cases run the script once each, with their steps put in for "case".
	Cases []scriptCase `yaml:"cases"`
	Steps []step       `yaml:"steps"`
	// Red names a mechanism without which the script must fail.
	Red    []redRun    `yaml:"red"`
	Expect expectation `yaml:"expect"`
}

type redRun struct {
	Without string   `yaml:"without"`
	Cases   []string `yaml:"cases"`
	Shows   string   `yaml:"shows"`
}

type scriptCase struct {
	Name  string `yaml:"name"`
	Steps []step `yaml:"steps"`
}

type deployment struct {
	DataCentres     []string          `yaml:"data_centres"`
	Entries         int               `yaml:"entries"`
	Engines         int               `yaml:"engines"`
	Plains          int               `yaml:"plains"`
	Slots           int               `yaml:"slots"`
	Step            spokeclock.Millis `yaml:"step_millis"`
	Work            spokeclock.Millis `yaml:"work_millis"`
	ReportsOutcomes bool              `yaml:"reports_outcomes"`
	ChecksOrders    bool              `yaml:"checks_orders"`
	Routing         string            `yaml:"routing"`
	Unready         spokeclock.Millis `yaml:"unready_millis"`
	// Spares is the number of engines in each data centre that the cloud API
	// can start.
	Spares int `yaml:"spares"`
	// Managed lets the system start and stop engines, with so many at least.
	Managed int `yaml:"managed_least_instances"`
}

// step does one thing. Exactly one of its fields besides Note is set.
type step struct {
	Note    string                       `yaml:"note"`
	Sleep   spokeclock.Millis            `yaml:"sleep_millis"`
	Case    bool                         `yaml:"case"`
	Proxy   *proxyStep                   `yaml:"proxy"`
	Table   *tableStep                   `yaml:"table"`
	Engine  *engineStep                  `yaml:"engine"`
	Plain   *plainStep                   `yaml:"plain"`
	Cloud   *cloudStep                   `yaml:"cloud"`
	Signal  *signalStep                  `yaml:"signal"`
	Restart string                       `yaml:"restart"`
	Load    *loadStep                    `yaml:"load"`
	Wait    string                       `yaml:"wait"`
	Request *requestStep                 `yaml:"request"`
	Join    string                       `yaml:"join"`
	Command *commandStep                 `yaml:"command"`
	Await   *awaitStep                   `yaml:"await"`
	Runs    *runsStep                    `yaml:"runs"`
	Arrival *arrivalStep                 `yaml:"last_arrival"`
	Reclaim *spokestandin.ReclaimRequest `yaml:"reclaim"`
	Orders  *ordersStep                  `yaml:"orders"`
}

type proxyStep struct {
	Between string                   `yaml:"between"`
	Faults  spokestandin.ProxyFaults `yaml:"faults"`
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
	// HolderOf names a duty instead of a process, which becomes "holder".
	HolderOf string `yaml:"holder_of"`
	// ExitsWithin waits for the process to end.
	ExitsWithin spokeclock.Millis `yaml:"exits_within_millis"`
	ExitCode    int               `yaml:"exit_code"`
}

type loadStep struct {
	Name    string            `yaml:"name"`
	Rate    float64           `yaml:"requests_per_second"`
	Length  spokeclock.Millis `yaml:"length_millis"`
	Mix     []spokeload.Kind  `yaml:"mix"`
	Entries []string          `yaml:"entries"`
	Seed    uint64            `yaml:"seed"`
}

// requestStep sends one booking or question by hand.
type requestStep struct {
	Entry string `yaml:"entry"`
	// Key names an idempotency key; the same name is the same key.
	Key  string `yaml:"key"`
	Body string `yaml:"body"`
	// Background gives the request a name to join later.
	Background string `yaml:"background"`
	// Outcome is "answered" or the refusal's outcome; several are joined by |.
	Outcome string `yaml:"outcome"`
	// Kind is the refusal's kind.
	Kind string `yaml:"kind"`
	// Within bounds the time to the answer.
	Within spokeclock.Millis `yaml:"within_millis"`
	// RetryAfter demands the header on a refusal; it always holds.
	Path string `yaml:"path"`
	// Until repeats the request until it has the outcome.
	Until spokeclock.Millis `yaml:"until_millis"`
}

type commandStep struct {
	Entry        string            `yaml:"entry"`
	Apply        string            `yaml:"apply"`
	Base         int64             `yaml:"base_revision"`
	AllowPending bool              `yaml:"allow_pending"`
	ID           string            `yaml:"command_id"`
	Mark         string            `yaml:"mark"`
	Instance     string            `yaml:"instance"`
	Error        string            `yaml:"error"`
	Pending      []string          `yaml:"pending"`
	Background   string            `yaml:"background"`
	Within       spokeclock.Millis `yaml:"within_millis"`
}

// awaitStep waits until a query's answer meets a condition.
type awaitStep struct {
	Entry  string            `yaml:"entry"`
	Every  bool              `yaml:"every_entry"`
	Query  string            `yaml:"query"`
	Rows   *int              `yaml:"rows"`
	Cell   string            `yaml:"cell"`
	Within spokeclock.Millis `yaml:"within_millis"`
	// Holds demands that the condition holds for that long instead.
	Holds spokeclock.Millis `yaml:"holds_millis"`
}

type runsStep struct {
	Body string `yaml:"body"`
	Min  int    `yaml:"min"`
	Max  int    `yaml:"max"`
}

// arrivalStep bounds the time from a moment to the last request that a server
// got.
type arrivalStep struct {
	Server string            `yaml:"server"`
	Quiet  spokeclock.Millis `yaml:"quiet_millis"`
}

// ordersStep checks the orders that every live engine took: fencing numbers
// never fall, and the last is at least this one.
type ordersStep struct {
	LastFence int64 `yaml:"last_fence_at_least"`
	// Late sends an order with the fencing number 1, as a late delivery would.
	Late string `yaml:"late"`
}

type expectation struct {
	// Verdicts bound how often each verdict came, over all loads.
	Verdicts map[spokeload.Verdict]bound `yaml:"verdicts"`
	// Metrics bound the sum of a metric over the live entry instances.
	Metrics map[string]bound `yaml:"metrics"`
	// Slowest bounds the 99th percentile of the first token by kind.
	Slowest map[string]spokeclock.Millis `yaml:"first_token_p99_millis"`
}

type bound struct {
	Min *float64 `yaml:"min"`
	Max *float64 `yaml:"max"`
}

func readScript(t *testing.T, path string) script {
	t.Helper()
	s := spokecase.Read[script](t, path)
	require.NotEmpty(t, s.Proves, "%s does not say what it proves", path)
	return s
}
