package integration

import (
	"context"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeengine"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeload"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

// runner executes a script on a cluster and records every violated expectation.
type runner struct {
	*cluster
	idempotencyKeys map[string]string
	loads           map[string]*runningLoad
	backgroundSteps map[string]*sync.WaitGroup

	mutex       sync.Mutex
	replies     []*spokeload.RequestResult
	loadResults []*spokeload.Result
	violations  []string
}

type runningLoad struct {
	done chan struct{}
}

// TestScripts runs every script in testdata, and repeats it with each mechanism
// that it depends on disabled. These repeats must fail.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	semaphore := make(chan struct{}, 3)
	for _, path := range paths {
		s := readScript(t, path)
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		for _, run := range s.subtestRuns() {
			t.Run(name+run.suffix, func(t *testing.T) {
				t.Parallel()
				semaphore <- struct{}{}
				defer func() { <-semaphore }()
				run.execute(t, s)
			})
		}
	}
}

// scriptRun is one run of a script: one case, with all mechanisms or with one
// disabled.
type scriptRun struct {
	suffix            string
	steps             []step
	disabledMechanism string
}

func (s *script) subtestRuns() []scriptRun {
	if s.Soak && !isSoakRun() {
		return nil
	}
	cases := s.Cases
	if len(cases) == 0 {
		cases = []scriptCase{{}}
	}
	var runs []scriptRun
	for _, testCase := range cases {
		suffix := ""
		if testCase.Name != "" {
			suffix = "/" + strings.ReplaceAll(testCase.Name, " ", "_")
		}
		runs = append(runs, scriptRun{suffix: suffix, steps: testCase.Steps})
		for _, ablated := range s.Ablations {
			if len(ablated.Cases) == 0 || slices.Contains(ablated.Cases, testCase.Name) {
				runs = append(runs, scriptRun{suffix: suffix + "/without_" + ablated.Mechanism, steps: testCase.Steps, disabledMechanism: ablated.Mechanism})
			}
		}
	}
	return runs
}

func (run scriptRun) execute(t *testing.T, s script) {
	var disabledMechanism []string
	if run.disabledMechanism != "" {
		disabledMechanism = []string{run.disabledMechanism}
	}
	r := &runner{
		cluster:         startCluster(t, s.Deployment, disabledMechanism),
		idempotencyKeys: make(map[string]string), loads: make(map[string]*runningLoad), backgroundSteps: make(map[string]*sync.WaitGroup),
	}
	for i, step := range s.Steps {
		if step.RunCase {
			for j, inner := range run.steps {
				r.executeStep(fmt.Sprintf("step %d, case step %d", i+1, j+1), inner)
			}
			continue
		}
		r.executeStep(fmt.Sprintf("step %d", i+1), step)
	}
	for _, load := range r.loads {
		<-load.done
	}
	r.checkExpectations(s.Expect)
	r.checkViolations(run.disabledMechanism)
}

// checkViolations fails the test if there is a violation or, with a mechanism
// disabled, if there is none.
func (r *runner) checkViolations(disabledMechanism string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if disabledMechanism == "" {
		for _, violation := range r.violations {
			r.t.Error(violation)
		}
		return
	}
	require.NotEmpty(r.t, r.violations, "there is no violation with %s disabled, so the script does not verify this mechanism", disabledMechanism)
	r.t.Logf("with %s disabled: %s", disabledMechanism, r.violations[0])
}

func (r *runner) addViolation(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *runner) executeStep(label string, s step) {
	r.t.Helper()
	switch {
	case s.Sleep > 0:
		time.Sleep(s.Sleep.Duration())
	case s.Proxy != nil:
		r.setProxyFaults(s.Proxy.Name, s.Proxy.Faults)
	case s.Table != nil:
		r.sendControl("table", s.Table.Faults)
	case s.Engine != nil:
		r.sendControl(s.Engine.Name, s.Engine.Faults)
	case s.Plain != nil:
		faults := s.Plain.Faults
		faults.ProcessingTime = max(faults.ProcessingTime, r.spec.ProcessingTime)
		r.sendControl(s.Plain.Name, faults)
	case s.Cloud != nil:
		r.sendControl("cloud", spokestandin.CloudControlRequest{Faults: &s.Cloud.Faults})
	case s.Reclaim != nil:
		r.sendControl("cloud", spokestandin.CloudControlRequest{Reclaim: s.Reclaim})
	case s.Signal != nil:
		r.sendSignal(label, s.Signal)
	case s.Restart != "":
		r.restart(s.Restart)
	case s.Load != nil:
		r.startLoad(s.Load)
	case s.AwaitLoad != "":
		<-r.loads[s.AwaitLoad].done
	case s.Request != nil:
		r.runRequest(label, s.Request)
	case s.AwaitBackground != "":
		r.backgroundSteps[s.AwaitBackground].Wait()
	case s.Command != nil:
		r.runCommand(label, s.Command)
	case s.AwaitQuery != nil:
		r.awaitQuery(label, s.AwaitQuery)
	case s.RunCount != nil:
		r.checkRunCount(label, s.RunCount)
	case s.CheckOrders != nil:
		r.checkOrders(label, s.CheckOrders)
	case s.NoRequests != nil:
		r.checkNoRequests(label, s.NoRequests)
	default:
		r.t.Fatalf("%s has no action", label)
	}
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP, "continue": syscall.SIGCONT,
}

func (r *runner) sendSignal(label string, s *signalStep) {
	if s.DutyHolder != "" {
		r.processes["holder"] = r.processes[r.dutyHolder(s.DutyHolder)]
		s.Process = "holder"
	}
	p, ok := r.processes[s.Process]
	require.True(r.t, ok, "there is no process %q", s.Process)
	signal, ok := signals[s.Signal]
	require.True(r.t, ok, "there is no signal %q", s.Signal)
	p.signal(signal)
	if s.ExitTimeout > 0 {
		if code := p.waitExit(r.t, s.ExitTimeout.Duration()); code != s.ExitCode {
			r.addViolation("%s: %s exited with code %d, want %d", label, s.Process, code, s.ExitCode)
		}
	}
}

// dutyHolder waits until an entry instance holds a duty and returns its name.
func (r *runner) dutyHolder(duty string) string {
	holder := ""
	require.Eventually(r.t, func() bool {
		for _, entry := range r.entries {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			table, err := r.operatorClient(entry.name).Ask(ctx, "duties where duty="+duty+" and held_here=true")
			cancel()
			if err == nil && len(table.Rows) == 1 {
				holder = entry.name
				return true
			}
		}
		return false
	}, operationTimeout, 50*time.Millisecond, "no entry instance holds the duty %s", duty)
	return holder
}

// checkOrders checks the fencing numbers of the orders that running engines
// accepted or, with LateOrderEngine set, the response to an outdated order.
func (r *runner) checkOrders(label string, s *checkOrdersStep) {
	if s.LateOrderEngine != "" {
		ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
		defer cancel()
		engine := spokeengine.Client{URL: "http://" + r.serverAddress(s.LateOrderEngine), HTTPClient: r.client}
		err := engine.SendOrder(ctx, spokeengine.Order{Action: "load_model", Name: "old", FencingNumber: 1})
		if refused := err != nil; refused != r.spec.ChecksFencing {
			r.addViolation("%s: an order with an outdated fencing number returned error %v", label, err)
		}
		return
	}
	for _, server := range append(slices.Clone(r.servers), r.spares...) {
		if server.service != "assistant" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
		counters, err := spokehttp.GetJSON[spokestandin.EngineCounters](ctx, r.client, "http://"+server.address+"/use")
		cancel()
		if err != nil || len(counters.Orders) == 0 {
			continue
		}
		last := int64(0)
		for _, order := range counters.Orders {
			if order.FencingNumber < last {
				r.addViolation("%s: %s accepted an order with fencing number %d after %d", label, server.name, order.FencingNumber, last)
			}
			last = order.FencingNumber
		}
		if last < s.MinLastFencingNumber {
			r.addViolation("%s: %s accepted no order with fencing number %d or higher", label, server.name, s.MinLastFencingNumber)
		}
	}
}

func (r *runner) restart(name string) {
	p := r.processes[name]
	p.signal(syscall.SIGKILL)
	<-p.exited
	p.start(r.t)
	for _, entry := range r.entries {
		if entry.name == name {
			r.awaitListening(entry.operatorAddress)
		}
	}
}

func (r *runner) startLoad(s *loadStep) {
	plan := spokeload.Plan{Seed: max(1, s.Seed), Phases: []spokeload.Phase{{Rate: s.Rate, Duration: s.Length}}, RequestTimeout: spokeclock.FromDuration(time.Minute)}
	for _, kind := range s.Mix {
		if kind.WorkspaceKey == "" {
			kind.WorkspaceKey = workspaceKey
		}
		plan.Mix = append(plan.Mix, kind)
	}
	for _, entry := range r.entries {
		if len(s.Entries) == 0 || slices.Contains(s.Entries, entry.name) {
			plan.Targets = append(plan.Targets, "http://"+entry.callerAddress)
		}
	}
	load := &runningLoad{done: make(chan struct{})}
	r.loads[s.Name] = load
	go func() {
		defer close(load.done)
		result, err := spokeload.Run(context.Background(), plan, r.recordReply)
		if err != nil {
			r.addViolation("load %s: %s", s.Name, err)
			return
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.loadResults = append(r.loadResults, result)
	}()
}

func (r *runner) recordReply(reply *spokeload.RequestResult) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replies = append(r.replies, reply)
}

// runInBackground starts a step under a name by which a later step waits for it.
func (r *runner) runInBackground(name string, stepFunc func()) {
	group := &sync.WaitGroup{}
	r.backgroundSteps[name] = group
	group.Go(stepFunc)
}

func (r *runner) checkRunCount(label string, s *runCountStep) {
	if count := r.bookingRuns()[s.Body]; count < s.Min || count > s.Max {
		r.addViolation("%s: %s ran %d times, want %d to %d", label, s.Body, count, s.Min, s.Max)
	}
}

// checkNoRequests checks that a server receives no request during a period.
func (r *runner) checkNoRequests(label string, s *noRequestsStep) {
	before := r.requestCount(s.Server)
	time.Sleep(s.Period.Duration())
	if after := r.requestCount(s.Server); after > before {
		r.addViolation("%s: %s received %d requests, want none", label, s.Server, after-before)
	}
}

func (r *runner) requestCount(server string) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	counters, err := spokehttp.GetJSON[spokestandin.EngineCounters](ctx, r.client, "http://"+r.serverAddress(server)+"/use")
	if err != nil {
		return 0
	}
	return counters.Requests
}

func (r *runner) runCommand(label string, s *commandStep) {
	if s.Background != "" {
		foreground := *s
		foreground.Background = ""
		r.runInBackground(s.Background, func() { r.runCommand(label, &foreground) })
		return
	}
	if s.CommandID == "" {
		s.CommandID = uuid.NewString()
	}
	started := time.Now()
	pending, err := r.sendCommand(s)
	if s.MaxDuration > 0 && time.Since(started) > s.MaxDuration.Duration() {
		r.addViolation("%s: the command took %s, which is too long", label, time.Since(started))
	}
	switch {
	case s.ErrorContains == "" && err != nil:
		r.addViolation("%s: %s", label, err)
	case s.ErrorContains != "" && (err == nil || !strings.Contains(err.Error(), s.ErrorContains)):
		r.addViolation("%s: the command's error is %v, want one that contains %q", label, err, s.ErrorContains)
	case s.ErrorContains == "" && !slices.Equal(pending, s.Pending):
		r.addViolation("%s: the command is pending in data centres %v, want %v", label, pending, s.Pending)
	}
}

func (r *runner) sendCommand(s *commandStep) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	client := r.operatorClient(s.Entry)
	if s.Mark != "" {
		applied, err := client.Mark(ctx, s.Instance, s.Mark, s.CommandID)
		if err != nil {
			return nil, err
		}
		return applied.Pending, nil
	}
	declaration := s.Apply
	var tokenGapMillis int
	if n, _ := fmt.Sscanf(s.Apply, "gap %d", &tokenGapMillis); n == 1 {
		declaration = r.declaration(tokenGapMillis)
	}
	base := s.BaseRevision
	if base == 0 {
		base = spokeoperate.NewestRevision
	}
	applied, err := client.Apply(ctx, declaration, base, s.AllowPending, s.CommandID)
	if err != nil {
		return nil, err
	}
	return applied.Pending, nil
}

func (r *runner) awaitQuery(label string, s *awaitQueryStep) {
	var names []string
	for _, entry := range r.entries {
		if s.EveryEntry || entry.name == s.Entry {
			names = append(names, entry.name)
		}
	}
	for _, name := range names {
		r.awaitQueryAt(label, name, s)
	}
}

func (r *runner) awaitQueryAt(label, name string, s *awaitQueryStep) {
	deadline := time.Now().Add(max(s.Timeout, s.HoldFor).Duration())
	for {
		met := r.queryMatches(name, s)
		if s.HoldFor > 0 && !met {
			r.addViolation("%s: the condition on %q at %s is no longer met; servers: %s", label, s.Query, name, r.serverRows(name))
			return
		}
		if s.HoldFor == 0 && met {
			return
		}
		if time.Now().After(deadline) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if s.HoldFor == 0 {
		r.addViolation("%s: the condition on %q at %s was not met within %d ms", label, s.Query, name, s.Timeout)
	}
}

// serverRows returns the servers that an entry instance lists, to explain a
// violation.
func (r *runner) serverRows(name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	table, err := r.operatorClient(name).Ask(ctx, "servers")
	if err != nil {
		return err.Error()
	}
	var rows []string
	for _, row := range table.Rows {
		rows = append(rows, strings.Join(row.Cells, " "))
	}
	return strings.Join(rows, "; ")
}

// queryMatches reports whether the query's result meets the step's condition.
func (r *runner) queryMatches(name string, s *awaitQueryStep) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	table, err := r.operatorClient(name).Ask(ctx, s.Query)
	if err != nil {
		return false
	}
	if s.RowCount != nil && len(table.Rows) != *s.RowCount {
		return false
	}
	if s.Cell == "" {
		return true
	}
	for _, row := range table.Rows {
		if slices.Contains(row.Cells, s.Cell) {
			return true
		}
	}
	return false
}
