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

// runner carries a script out on a cluster and notes every violation of what
// must hold.
type runner struct {
	*cluster
	keys    map[string]string
	loads   map[string]*runningLoad
	pending map[string]*sync.WaitGroup

	mutex      sync.Mutex
	replies    []*spokeload.Reply
	results    []*spokeload.Result
	violations []string
}

type runningLoad struct {
	done chan struct{}
}

// TestScripts runs every script in testdata, and each again without the
// mechanism that it shows, when it must fail.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.yaml")
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	gate := make(chan struct{}, 3)
	for _, path := range paths {
		s := readScript(t, path)
		name := strings.TrimSuffix(filepath.Base(path), ".yaml")
		for _, run := range s.runs() {
			t.Run(name+run.suffix, func(t *testing.T) {
				t.Parallel()
				gate <- struct{}{}
				defer func() { <-gate }()
				run.carryOut(t, s)
			})
		}
	}
}

// scriptRun is one run of a script: one case, with or without a mechanism.
type scriptRun struct {
	suffix string
	steps  []step
	off    string
}

func (s *script) runs() []scriptRun {
	if s.Soak && !soaking() {
		return nil
	}
	cases := s.Cases
	if len(cases) == 0 {
		cases = []scriptCase{{}}
	}
	var runs []scriptRun
	for _, one := range cases {
		suffix := ""
		if one.Name != "" {
			suffix = "/" + strings.ReplaceAll(one.Name, " ", "_")
		}
		runs = append(runs, scriptRun{suffix: suffix, steps: one.Steps})
		for _, red := range s.Red {
			if len(red.Cases) == 0 || slices.Contains(red.Cases, one.Name) {
				runs = append(runs, scriptRun{suffix: suffix + "/without_" + red.Without, steps: one.Steps, off: red.Without})
			}
		}
	}
	return runs
}

func (run scriptRun) carryOut(t *testing.T, s script) {
	var off []string
	if run.off != "" {
		off = []string{run.off}
	}
	r := &runner{
		cluster: startCluster(t, s.Deployment, off),
		keys:    make(map[string]string), loads: make(map[string]*runningLoad), pending: make(map[string]*sync.WaitGroup),
	}
	for i, step := range s.Steps {
		if step.Case {
			for j, inner := range run.steps {
				r.do(fmt.Sprintf("step %d, case step %d", i+1, j+1), inner)
			}
			continue
		}
		r.do(fmt.Sprintf("step %d", i+1), step)
	}
	for _, load := range r.loads {
		<-load.done
	}
	r.judge(s.Expect)
	r.conclude(run.off)
}

// conclude fails the test on a violation, or on none when a mechanism is off.
func (r *runner) conclude(off string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if off == "" {
		for _, violation := range r.violations {
			r.t.Error(violation)
		}
		return
	}
	require.NotEmpty(r.t, r.violations, "nothing went wrong without %s, so that the script shows nothing", off)
	r.t.Logf("without %s: %s", off, r.violations[0])
}

func (r *runner) violated(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *runner) do(where string, s step) {
	r.t.Helper()
	switch {
	case s.Sleep > 0:
		time.Sleep(s.Sleep.Duration())
	case s.Proxy != nil:
		r.setProxies(s.Proxy.Between, s.Proxy.Faults)
	case s.Table != nil:
		r.control("table", s.Table.Faults)
	case s.Engine != nil:
		r.control(s.Engine.Name, s.Engine.Faults)
	case s.Plain != nil:
		faults := s.Plain.Faults
		faults.ProcessingTime = max(faults.ProcessingTime, r.shape.Work)
		r.control(s.Plain.Name, faults)
	case s.Cloud != nil:
		r.control("cloud", spokestandin.CloudControlRequest{Faults: &s.Cloud.Faults})
	case s.Reclaim != nil:
		r.control("cloud", spokestandin.CloudControlRequest{Reclaim: s.Reclaim})
	case s.Signal != nil:
		r.signal(where, s.Signal)
	case s.Restart != "":
		r.restart(s.Restart)
	case s.Load != nil:
		r.startLoad(s.Load)
	case s.Wait != "":
		<-r.loads[s.Wait].done
	case s.Request != nil:
		r.request(where, s.Request)
	case s.Join != "":
		r.pending[s.Join].Wait()
	case s.Command != nil:
		r.command(where, s.Command)
	case s.Await != nil:
		r.await(where, s.Await)
	case s.Runs != nil:
		r.checkRuns(where, s.Runs)
	case s.Orders != nil:
		r.checkOrders(where, s.Orders)
	case s.Arrival != nil:
		r.checkArrival(where, s.Arrival)
	default:
		r.t.Fatalf("%s does nothing", where)
	}
}

var signals = map[string]syscall.Signal{
	"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP, "continue": syscall.SIGCONT,
}

func (r *runner) signal(where string, s *signalStep) {
	if s.HolderOf != "" {
		r.processes["holder"] = r.processes[r.holder(s.HolderOf)]
		s.Process = "holder"
	}
	p, ok := r.processes[s.Process]
	require.True(r.t, ok, "there is no process %q", s.Process)
	signal, ok := signals[s.Signal]
	require.True(r.t, ok, "there is no signal %q", s.Signal)
	p.signal(signal)
	if s.ExitsWithin > 0 {
		if code := p.exits(r.t, s.ExitsWithin.Duration()); code != s.ExitCode {
			r.violated("%s: %s exited with %d instead of %d", where, s.Process, code, s.ExitCode)
		}
	}
}

// holder returns the entry instance that holds a duty, waiting for one.
func (r *runner) holder(duty string) string {
	found := ""
	require.Eventually(r.t, func() bool {
		for _, entry := range r.entries {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			table, err := r.operator(entry.name).Ask(ctx, "duties where duty="+duty+" and held_here=true")
			cancel()
			if err == nil && len(table.Rows) == 1 {
				found = entry.name
				return true
			}
		}
		return false
	}, patience, 50*time.Millisecond, "nobody holds %s", duty)
	return found
}

// checkOrders looks at the orders that live engines took.
func (r *runner) checkOrders(where string, s *ordersStep) {
	if s.Late != "" {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		engine := spokeengine.Client{URL: "http://" + r.serverAddress(s.Late), HTTPClient: r.client}
		err := engine.SendOrder(ctx, spokeengine.Order{Action: "load_model", Name: "old", FencingNumber: 1})
		if refused := err != nil; refused != r.shape.ChecksOrders {
			r.violated("%s: a late order was answered with %v", where, err)
		}
		return
	}
	for _, server := range append(slices.Clone(r.servers), r.spares...) {
		if server.service != "assistant" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		use, err := spokehttp.GetJSON[spokestandin.EngineCounters](ctx, r.client, "http://"+server.address+"/use")
		cancel()
		if err != nil || len(use.Orders) == 0 {
			continue
		}
		last := int64(0)
		for _, order := range use.Orders {
			if order.FencingNumber < last {
				r.violated("%s: %s took an order with fencing number %d after %d", where, server.name, order.FencingNumber, last)
			}
			last = order.FencingNumber
		}
		if last < s.LastFence {
			r.violated("%s: %s took no order with fencing number %d", where, server.name, s.LastFence)
		}
	}
}

func (r *runner) restart(name string) {
	p := r.processes[name]
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.start(r.t)
	for _, entry := range r.entries {
		if entry.name == name {
			r.awaitListening(entry.operator)
		}
	}
}

func (r *runner) startLoad(s *loadStep) {
	plan := spokeload.Plan{Seed: max(1, s.Seed), Phases: []spokeload.Phase{{Rate: s.Rate, Length: s.Length}}, Timeout: spokeclock.FromDuration(time.Minute)}
	for _, kind := range s.Mix {
		if kind.Key == "" {
			kind.Key = workspaceKey
		}
		plan.Mix = append(plan.Mix, kind)
	}
	for _, entry := range r.entries {
		if len(s.Entries) == 0 || slices.Contains(s.Entries, entry.name) {
			plan.Targets = append(plan.Targets, "http://"+entry.callers)
		}
	}
	load := &runningLoad{done: make(chan struct{})}
	r.loads[s.Name] = load
	go func() {
		defer close(load.done)
		result, err := spokeload.Run(context.Background(), plan, r.observe)
		if err != nil {
			r.violated("load %s: %s", s.Name, err)
			return
		}
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.results = append(r.results, result)
	}()
}

func (r *runner) observe(reply *spokeload.Reply) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replies = append(r.replies, reply)
}

// inBackground begins a step under a name to join later.
func (r *runner) inBackground(name string, do func()) {
	group := &sync.WaitGroup{}
	r.pending[name] = group
	group.Go(do)
}

func (r *runner) checkRuns(where string, s *runsStep) {
	if count := r.runs()[s.Body]; count < s.Min || count > s.Max {
		r.violated("%s: %s ran %d times instead of %d to %d", where, s.Body, count, s.Min, s.Max)
	}
}

// checkArrival looks whether a server gets requests for a while.
func (r *runner) checkArrival(where string, s *arrivalStep) {
	before := r.arrivals(s.Server)
	time.Sleep(s.Quiet.Duration())
	if after := r.arrivals(s.Server); after > before {
		r.violated("%s: %s got %d requests after it was to get none", where, s.Server, after-before)
	}
}

func (r *runner) arrivals(server string) int64 {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	use, err := spokehttp.GetJSON[spokestandin.EngineCounters](ctx, r.client, "http://"+r.serverAddress(server)+"/use")
	if err != nil {
		return 0
	}
	return use.Requests
}

func (r *runner) command(where string, s *commandStep) {
	if s.Background != "" {
		foreground := *s
		foreground.Background = ""
		r.inBackground(s.Background, func() { r.command(where, &foreground) })
		return
	}
	if s.ID == "" {
		s.ID = uuid.NewString()
	}
	started := time.Now()
	pending, err := r.giveCommand(s)
	if s.Within > 0 && time.Since(started) > s.Within.Duration() {
		r.violated("%s: the command took %s", where, time.Since(started))
	}
	switch {
	case s.Error == "" && err != nil:
		r.violated("%s: %s", where, err)
	case s.Error != "" && (err == nil || !strings.Contains(err.Error(), s.Error)):
		r.violated("%s: the error is %v instead of %q", where, err, s.Error)
	case s.Error == "" && !slices.Equal(pending, s.Pending):
		r.violated("%s: pending in %v instead of %v", where, pending, s.Pending)
	}
}

func (r *runner) giveCommand(s *commandStep) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	client := r.operator(s.Entry)
	if s.Mark != "" {
		applied, err := client.Mark(ctx, s.Instance, s.Mark, s.ID)
		if err != nil {
			return nil, err
		}
		return applied.Pending, nil
	}
	declaration := s.Apply
	var gap int
	if n, _ := fmt.Sscanf(s.Apply, "gap %d", &gap); n == 1 {
		declaration = r.declaration(gap)
	}
	base := s.Base
	if base == 0 {
		base = spokeoperate.NewestRevision
	}
	applied, err := client.Apply(ctx, declaration, base, s.AllowPending, s.ID)
	if err != nil {
		return nil, err
	}
	return applied.Pending, nil
}

func (r *runner) await(where string, s *awaitStep) {
	var names []string
	for _, entry := range r.entries {
		if s.Every || entry.name == s.Entry {
			names = append(names, entry.name)
		}
	}
	for _, name := range names {
		r.awaitAt(where, name, s)
	}
}

func (r *runner) awaitAt(where, name string, s *awaitStep) {
	deadline := time.Now().Add(max(s.Within, s.Holds).Duration())
	for {
		met := r.met(name, s)
		if s.Holds > 0 && !met {
			r.violated("%s: %q at %s did not hold: %s", where, s.Query, name, r.rowsNow(name))
			return
		}
		if s.Holds == 0 && met {
			return
		}
		if time.Now().After(deadline) {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if s.Holds == 0 {
		r.violated("%s: %q at %s not within %d ms", where, s.Query, name, s.Within)
	}
}

// rowsNow tells what an entry instance knows of the servers, to explain a
// violation.
func (r *runner) rowsNow(name string) string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	table, err := r.operator(name).Ask(ctx, "servers")
	if err != nil {
		return err.Error()
	}
	var rows []string
	for _, row := range table.Rows {
		rows = append(rows, strings.Join(row.Cells, " "))
	}
	return strings.Join(rows, "; ")
}

func (r *runner) met(name string, s *awaitStep) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	table, err := r.operator(name).Ask(ctx, s.Query)
	if err != nil {
		return false
	}
	if s.Rows != nil && len(table.Rows) != *s.Rows {
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
