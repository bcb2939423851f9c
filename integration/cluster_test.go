package integration

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mulberryspoke.example/mulberryspoke/spokecase"
	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	operatorKey      = "operator-key"
	workspaceKey     = "workspace-key"
	otherKey         = "other-key"
	operationTimeout = 15 * time.Second
)

// cluster is a deployment whose programs run as separate processes. Faults are
// injected on these connections, by proxies of these names:
//
//	server/<name>              entry instances to a backend server
//	platform/<data centre>     entry instances of a data centre to the table service
//	cloud/<data centre>        entry instances of a data centre to the cloud API
//	link/<data centre>/<name>  entry instances of a data centre to an entry instance
type cluster struct {
	t                  *testing.T
	spec               deployment
	disabledMechanisms []string
	processes          map[string]*process
	proxies            map[string]faultProxy
	entries            []*entryProcess
	servers            []serverProcess
	spares             []serverProcess
	platform           platformAddresses
	client             *http.Client
}

type platformAddresses struct {
	table  string
	object string
	cloud  string
}

type entryProcess struct {
	name            string
	dataCentre      string
	callerAddress   string
	operatorAddress string
	peerAddress     string
}

type serverProcess struct {
	name       string
	dataCentre string
	service    string
	address    string
}

func startCluster(t *testing.T, spec deployment, disabledMechanisms []string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, spec: spec, disabledMechanisms: disabledMechanisms,
		processes: make(map[string]*process), proxies: make(map[string]faultProxy),
		client: spokehttp.NewClient(),
	}
	c.startPlatform()
	for _, dataCentre := range spec.DataCentres {
		c.startServers(dataCentre)
	}
	c.registerEntries()
	for _, entry := range c.entries {
		c.startEntry(entry)
	}
	c.applyInitialDeclaration()
	return c
}

func (c *cluster) startProgram(name, program string, args ...string) {
	c.processes[name] = startProcess(c.t, name, program, args...)
}

func (c *cluster) startPlatform() {
	c.platform = platformAddresses{table: spokecase.FreeAddress(c.t), object: spokecase.FreeAddress(c.t), cloud: spokecase.FreeAddress(c.t)}
	c.startProgram("table", "mulberrystandin", "table", "--address", c.platform.table)
	c.startProgram("object", "mulberrystandin", "object", "--address", c.platform.object)
	c.startProgram("cloud", "mulberrystandin", "cloud", "--address", c.platform.cloud)
	for _, address := range []string{c.platform.table, c.platform.object, c.platform.cloud} {
		c.awaitListening(address)
	}
	for _, dataCentre := range c.spec.DataCentres {
		c.startProxy("platform/"+dataCentre, c.platform.table)
		c.startProxy("cloud/"+dataCentre, c.platform.cloud)
	}
}

func (c *cluster) awaitListening(address string) {
	require.Eventually(c.t, func() bool {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			return false
		}
		_ = conn.Close()
		return true
	}, operationTimeout, 5*time.Millisecond, "%s does not listen", address)
}

// startProxy starts a fault proxy to the target address and returns the address
// that the proxy listens on.
func (c *cluster) startProxy(name, target string) string {
	listener, err := net.Listen("tcp", spokecase.FreeAddress(c.t))
	require.NoError(c.t, err)
	proxy := &spokestandin.Proxy{Target: target}
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go proxy.Serve(ctx, listener)
	proxied := faultProxy{Proxy: proxy, address: listener.Addr().String()}
	c.proxies[name] = proxied
	return proxied.address
}

// faultProxy is a fault-injecting proxy with the address that it listens on.
type faultProxy struct {
	*spokestandin.Proxy
	address string
}

func (c *cluster) startServers(dataCentre string) {
	for i := range c.spec.Engines {
		c.startServer(dataCentre, fmt.Sprintf("%s-engine-%d", dataCentre, i+1), "assistant")
	}
	for i := range c.spec.SpareEngines {
		c.startSpare(dataCentre, fmt.Sprintf("%s-spare-%d", dataCentre, i+1))
	}
	for i := range c.spec.PlainServers {
		c.startServer(dataCentre, fmt.Sprintf("%s-plain-%d", dataCentre, i+1), "booking")
	}
}

func (c *cluster) startEngine(name, address string) {
	args := []string{
		"engine", "--address", address, "--name", name,
		"--slots", fmt.Sprint(max(1, c.spec.Slots)), "--step-millis", fmt.Sprint(max(1, c.spec.StepTime)),
	}
	if c.spec.ChecksFencing {
		args = append(args, "--checks-orders")
	}
	c.startProgram(name, "mulberrystandin", args...)
}

// startSpare runs an engine and adds it to the cloud API's pool. The instance
// list shows it only after the cloud API was asked to start it.
func (c *cluster) startSpare(dataCentre, name string) {
	address := spokecase.FreeAddress(c.t)
	c.startEngine(name, address)
	c.awaitListening(address)
	c.spares = append(c.spares, serverProcess{name: name, dataCentre: dataCentre, service: "assistant", address: address})
	c.sendControl("cloud", spokestandin.CloudControlRequest{Pool: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleBackend, Service: "assistant", DataCentre: dataCentre, Address: address, MachineClass: "small", Reclaimable: true,
	}}})
}

func (c *cluster) startServer(dataCentre, name, service string) {
	s := serverProcess{name: name, dataCentre: dataCentre, service: service, address: spokecase.FreeAddress(c.t)}
	if service == "assistant" {
		c.startEngine(name, s.address)
	} else {
		c.startProgram(name, "mulberrystandin", "plain", "--address", s.address, "--name", name, "--work-millis", fmt.Sprint(c.spec.ProcessingTime))
	}
	c.awaitListening(s.address)
	c.servers = append(c.servers, s)
	proxyAddress := c.startProxy("server/"+name, s.address)
	c.sendControl("cloud", spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleBackend, Service: service, DataCentre: dataCentre, Address: proxyAddress,
		MachineClass: "small", Reclaimable: service == "assistant", Generation: c.serverGeneration(s),
	}}})
}

// serverGeneration returns the run of a plain server, or zero for an engine.
func (c *cluster) serverGeneration(s serverProcess) int64 {
	if s.service == "assistant" {
		return 0
	}
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	runs, err := spokehttp.GetJSON[spokestandin.RunCounts](ctx, c.client, "http://"+s.address+"/runs")
	require.NoError(c.t, err)
	return runs.Generation
}

// registerEntries assigns the addresses of the entry instances and adds them to
// the instance list, which gives each data centre the addresses of its own link
// proxies.
func (c *cluster) registerEntries() {
	for _, dataCentre := range c.spec.DataCentres {
		for i := range c.spec.EntryInstances {
			c.entries = append(c.entries, &entryProcess{
				name: fmt.Sprintf("%s-entry-%d", dataCentre, i+1), dataCentre: dataCentre,
				callerAddress: spokecase.FreeAddress(c.t), operatorAddress: spokecase.FreeAddress(c.t), peerAddress: spokecase.FreeAddress(c.t),
			})
		}
	}
	for _, entry := range c.entries {
		registration := spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
			Name: entry.name, Role: spokecloud.RoleEntry, DataCentre: entry.dataCentre, Address: entry.peerAddress,
		}}}
		for _, viewer := range c.spec.DataCentres {
			address := c.startProxy("link/"+viewer+"/"+entry.name, entry.peerAddress)
			registration.AddressOverrides = append(registration.AddressOverrides, spokestandin.AddressOverride{Viewer: viewer, Instance: entry.name, Address: address})
		}
		c.sendControl("cloud", registration)
	}
}

func (c *cluster) startEntry(entry *entryProcess) {
	args := []string{
		"entry", "--name", entry.name, "--data-centre", entry.dataCentre,
		"--caller-address", entry.callerAddress, "--operator-address", entry.operatorAddress, "--peer-address", entry.peerAddress,
		"--table-url", "http://" + c.proxies["platform/"+entry.dataCentre].address,
		"--object-url", "http://" + c.platform.object,
		"--cloud-url", "http://" + c.proxies["cloud/"+entry.dataCentre].address,
		"--list-url", "http://" + c.proxies["cloud/"+entry.dataCentre].address + "/view/" + entry.dataCentre,
		"--operator-key-sha256", spokeconfig.HashKey(operatorKey),
		"--unready-millis", fmt.Sprint(c.spec.UnreadyDelay), "--log-level", "debug",
	}
	for _, name := range c.disabledMechanisms {
		args = append(args, "--switch-off", name)
	}
	c.startProgram(entry.name, "mulberryspoke", args...)
	c.awaitListening(entry.operatorAddress)
}

// declaration returns the declaration of the deployment. Tests distinguish its
// versions by the token gap target.
func (c *cluster) declaration(tokenGapMillis int) string {
	var b strings.Builder
	b.WriteString("version: 1\ndata_centres:\n")
	for _, dataCentre := range c.spec.DataCentres {
		fmt.Fprintf(&b, "  - {name: %s, region: test}\n", dataCentre)
	}
	routing := c.spec.Routing
	if routing == "" {
		routing = "score"
	}
	fmt.Fprintf(&b, `services:
  - {name: assistant, kind: model, first_token_target_millis: 1900, token_gap_target_millis: %d, timeout_millis: 60000, long_answer_tokens: 200, routing: %s, checks_orders: %t, managed: %t, least_instances: %d}
  - name: booking
    kind: plain
    timeout_millis: 20000
    reports_outcomes: %t
    routes:
      - {method: POST, path: /payments, idempotent: false}
      - {method: POST, path: /status, idempotent: true}
workspaces:
  - {name: crews, key_sha256: %s, priority: 6}
  - {name: farms, key_sha256: %s, priority: 4}
`, tokenGapMillis, routing, c.spec.ChecksFencing, c.spec.MinManagedInstances > 0, c.spec.MinManagedInstances, c.spec.ReportsOutcomes, spokeconfig.HashKey(workspaceKey), spokeconfig.HashKey(otherKey))
	if c.spec.MinManagedInstances > 0 {
		b.WriteString("prices:\n")
		for _, dataCentre := range c.spec.DataCentres {
			fmt.Fprintf(&b, "  - {data_centre: %s, machine_class: small, reclaimable_per_hour: 0.4, on_demand_per_hour: 1.3}\n", dataCentre)
		}
	}
	return b.String()
}

// initialTokenGapMillis is also the value in testdata/configuration.yaml.
const initialTokenGapMillis = 61

// applyInitialDeclaration applies the declaration and waits until every entry
// instance is ready and lists all instances.
func (c *cluster) applyInitialDeclaration() {
	client := c.operatorClient(c.entries[0].name)
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
		defer cancel()
		applied, err := client.Apply(ctx, c.declaration(initialTokenGapMillis), spokeoperate.NewestRevision, true, "first")
		return err == nil && len(applied.Pending) == 0 && len(applied.InForce) == len(c.spec.DataCentres)
	}, operationTimeout, 100*time.Millisecond, "the initial declaration is not in force in every data centre")
	for _, entry := range c.entries {
		require.Eventually(c.t, func() bool { return c.hasCompleteView(entry) }, operationTimeout, 20*time.Millisecond, "%s is not ready or does not list all instances", entry.name)
	}
}

// hasCompleteView reports whether an entry instance is ready and lists every
// backend server and every entry instance of its data centre.
func (c *cluster) hasCompleteView(entry *entryProcess) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	servers, err := c.operatorClient(entry.name).Ask(ctx, "servers where state=live")
	if err != nil || len(servers.Rows) < len(c.servers) {
		return false
	}
	entries, err := c.operatorClient(entry.name).Ask(ctx, "entries")
	if err != nil || len(entries.Rows) != c.spec.EntryInstances {
		return false
	}
	response, err := http.Get("http://" + entry.callerAddress + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusNoContent
}

func (c *cluster) entry(name string) *entryProcess {
	for _, entry := range c.entries {
		if entry.name == name {
			return entry
		}
	}
	c.t.Fatalf("there is no entry instance %q", name)
	return nil
}

func (c *cluster) operatorClient(entry string) *spokeoperate.Client {
	return spokeoperate.NewClient("http://"+c.entry(entry).operatorAddress, operatorKey)
}

func (c *cluster) serverAddress(name string) string {
	for _, s := range c.servers {
		if s.name == name {
			return s.address
		}
	}
	c.t.Fatalf("there is no backend server %q", name)
	return ""
}

// sendControl sends a control request to the stand-in of the table service, the
// object store, the cloud API or a backend server.
func (c *cluster) sendControl(name string, request any) {
	address := map[string]string{"table": c.platform.table, "object": c.platform.object, "cloud": c.platform.cloud}[name]
	if address == "" {
		address = c.serverAddress(name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
	defer cancel()
	_, err := spokehttp.PostJSON[struct{}](ctx, c.client, "http://"+address+"/control", request)
	require.NoError(c.t, err)
}

// setProxyFaults sets the faults of the proxies that the pattern matches: a
// proxy's name, or a prefix of names followed by *.
func (c *cluster) setProxyFaults(pattern string, faults spokestandin.ProxyFaults) {
	found := false
	for name, proxy := range c.proxies {
		if name == pattern || (strings.HasSuffix(pattern, "*") && strings.HasPrefix(name, strings.TrimSuffix(pattern, "*"))) {
			proxy.SetFaults(faults)
			found = true
		}
	}
	require.True(c.t, found, "no proxy matches %q", pattern)
}

// bookingRuns counts the runs of each booking by its body, over the plain
// servers that respond.
func (c *cluster) bookingRuns() map[string]int {
	total := make(map[string]int)
	for _, s := range c.servers {
		if s.service != "booking" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), operationTimeout)
		runs, err := spokehttp.GetJSON[spokestandin.RunCounts](ctx, c.client, "http://"+s.address+"/runs")
		cancel()
		if err != nil {
			continue
		}
		for body, count := range runs.ByBody {
			total[body] += count
		}
	}
	return total
}
