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

	"mulberryspoke.example/mulberryspoke/spokecloud"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	operatorKey  = "operator-key"
	workspaceKey = "workspace-key"
	otherKey     = "other-key"
	patience     = 15 * time.Second
)

// cluster is a deployment of real processes. Every connection between two of
// them can be put through a fault proxy:
//
//	server/<name>        entry instances to a backend server
//	platform/<place>     entry instances of a data centre to the table service
//	cloud/<place>        entry instances of a data centre to the cloud API
//	link/<place>/<name>  entry instances of a data centre to another instance
type cluster struct {
	t         *testing.T
	shape     deployment
	switchOff []string
	processes map[string]*process
	proxies   map[string]placedProxy
	entries   []*entryProcess
	servers   []serverProcess
	spares    []serverProcess
	platform  platformAddresses
	client    *http.Client
}

type platformAddresses struct {
	table  string
	object string
	cloud  string
}

type entryProcess struct {
	name     string
	place    string
	callers  string
	operator string
	peers    string
}

type serverProcess struct {
	name    string
	place   string
	service string
	address string
}

func startCluster(t *testing.T, shape deployment, switchOff []string) *cluster {
	t.Helper()
	c := &cluster{
		t: t, shape: shape, switchOff: switchOff,
		processes: make(map[string]*process), proxies: make(map[string]placedProxy),
		client: spokehttp.NewClient(),
	}
	c.startPlatform()
	for _, place := range shape.DataCentres {
		c.startServers(place)
	}
	c.planEntries()
	for _, entry := range c.entries {
		c.startEntry(entry)
	}
	c.applyFirst()
	return c
}

func (c *cluster) run(name, program string, args ...string) {
	c.processes[name] = startProcess(c.t, name, program, args...)
}

func (c *cluster) startPlatform() {
	c.platform = platformAddresses{table: freeAddress(c.t), object: freeAddress(c.t), cloud: freeAddress(c.t)}
	c.run("table", "mulberrystandin", "table", "--address", c.platform.table)
	c.run("object", "mulberrystandin", "object", "--address", c.platform.object)
	c.run("cloud", "mulberrystandin", "cloud", "--address", c.platform.cloud)
	for _, address := range []string{c.platform.table, c.platform.object, c.platform.cloud} {
		c.awaitListening(address)
	}
	for _, place := range c.shape.DataCentres {
		c.proxy("platform/"+place, c.platform.table)
		c.proxy("cloud/"+place, c.platform.cloud)
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
	}, patience, 5*time.Millisecond, "%s does not listen", address)
}

// proxy puts a fault proxy before an address and returns its own.
func (c *cluster) proxy(name, target string) string {
	listener, err := net.Listen("tcp", freeAddress(c.t))
	require.NoError(c.t, err)
	proxy := &spokestandin.Proxy{Target: target}
	ctx, cancel := context.WithCancel(context.Background())
	c.t.Cleanup(cancel)
	go proxy.Serve(ctx, listener)
	placed := placedProxy{Proxy: proxy, address: listener.Addr().String()}
	c.proxies[name] = placed
	return placed.address
}

// placedProxy is a fault proxy and where it listens.
type placedProxy struct {
	*spokestandin.Proxy
	address string
}

func (c *cluster) startServers(place string) {
	for i := range c.shape.Engines {
		c.startServer(place, fmt.Sprintf("%s-engine-%d", place, i+1), "assistant")
	}
	for i := range c.shape.Spares {
		c.startSpare(place, fmt.Sprintf("%s-spare-%d", place, i+1))
	}
	for i := range c.shape.Plains {
		c.startServer(place, fmt.Sprintf("%s-plain-%d", place, i+1), "booking")
	}
}

func (c *cluster) startEngine(name, address string) {
	args := []string{
		"engine", "--address", address, "--name", name,
		"--slots", fmt.Sprint(max(1, c.shape.Slots)), "--step-millis", fmt.Sprint(max(1, c.shape.Step)),
	}
	if c.shape.ChecksOrders {
		args = append(args, "--checks-orders")
	}
	c.run(name, "mulberrystandin", args...)
}

// startSpare runs an engine that is not listed until the cloud API starts it.
func (c *cluster) startSpare(place, name string) {
	address := freeAddress(c.t)
	c.startEngine(name, address)
	c.awaitListening(address)
	c.spares = append(c.spares, serverProcess{name: name, place: place, service: "assistant", address: address})
	c.control("cloud", spokestandin.CloudControlRequest{Pool: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleBackend, Service: "assistant", DataCentre: place, Address: address, MachineClass: "small", Reclaimable: true,
	}}})
}

func (c *cluster) startServer(place, name, service string) {
	s := serverProcess{name: name, place: place, service: service, address: freeAddress(c.t)}
	if service == "assistant" {
		c.startEngine(name, s.address)
	} else {
		c.run(name, "mulberrystandin", "plain", "--address", s.address, "--name", name, "--work-millis", fmt.Sprint(c.shape.Work))
	}
	c.awaitListening(s.address)
	c.servers = append(c.servers, s)
	shown := c.proxy("server/"+name, s.address)
	c.control("cloud", spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
		Name: name, Role: spokecloud.RoleBackend, Service: service, DataCentre: place, Address: shown,
		MachineClass: "small", Reclaimable: service == "assistant",
	}}})
}

// planEntries decides addresses and shows each data centre the others'
// instances through proxies.
func (c *cluster) planEntries() {
	for _, place := range c.shape.DataCentres {
		for i := range c.shape.Entries {
			c.entries = append(c.entries, &entryProcess{
				name: fmt.Sprintf("%s-entry-%d", place, i+1), place: place,
				callers: freeAddress(c.t), operator: freeAddress(c.t), peers: freeAddress(c.t),
			})
		}
	}
	for _, entry := range c.entries {
		control := spokestandin.CloudControlRequest{Register: []spokecloud.Instance{{
			Name: entry.name, Role: spokecloud.RoleEntry, DataCentre: entry.place, Address: entry.peers,
		}}}
		for _, viewer := range c.shape.DataCentres {
			address := c.proxy("link/"+viewer+"/"+entry.name, entry.peers)
			control.AddressOverrides = append(control.AddressOverrides, spokestandin.AddressOverride{Viewer: viewer, Instance: entry.name, Address: address})
		}
		c.control("cloud", control)
	}
}

func (c *cluster) startEntry(entry *entryProcess) {
	args := []string{
		"entry", "--name", entry.name, "--data-centre", entry.place,
		"--caller-address", entry.callers, "--operator-address", entry.operator, "--peer-address", entry.peers,
		"--table-url", "http://" + c.proxies["platform/"+entry.place].address,
		"--object-url", "http://" + c.platform.object,
		"--cloud-url", "http://" + c.proxies["cloud/"+entry.place].address,
		"--list-url", "http://" + c.proxies["cloud/"+entry.place].address + "/view/" + entry.place,
		"--operator-key-sha256", spokeconfig.HashKey(operatorKey),
		"--unready-millis", fmt.Sprint(c.shape.Unready), "--log-level", "debug",
	}
	for _, name := range c.switchOff {
		args = append(args, "--switch-off", name)
	}
	c.run(entry.name, "mulberryspoke", args...)
	c.awaitListening(entry.operator)
}

// declaration returns the test's declaration with a token gap target, which
// tells its versions apart.
func (c *cluster) declaration(gap int) string {
	var b strings.Builder
	b.WriteString("version: 1\ndata_centres:\n")
	for _, place := range c.shape.DataCentres {
		fmt.Fprintf(&b, "  - {name: %s, region: test}\n", place)
	}
	routing := c.shape.Routing
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
`, gap, routing, c.shape.ChecksOrders, c.shape.Managed > 0, c.shape.Managed, c.shape.ReportsOutcomes, spokeconfig.HashKey(workspaceKey), spokeconfig.HashKey(otherKey))
	if c.shape.Managed > 0 {
		b.WriteString("prices:\n")
		for _, place := range c.shape.DataCentres {
			fmt.Fprintf(&b, "  - {data_centre: %s, machine_class: small, reclaimable_per_hour: 0.4, on_demand_per_hour: 1.3}\n", place)
		}
	}
	return b.String()
}

const firstGap = 61

// applyFirst applies the declaration and waits until every instance is ready.
func (c *cluster) applyFirst() {
	client := c.operator(c.entries[0].name)
	require.Eventually(c.t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		applied, err := client.Apply(ctx, c.declaration(firstGap), spokeoperate.NewestRevision, true, "first")
		return err == nil && len(applied.Pending) == 0 && len(applied.InForce) == len(c.shape.DataCentres)
	}, patience, 100*time.Millisecond, "the first declaration is not in force")
	for _, entry := range c.entries {
		require.Eventually(c.t, func() bool { return c.complete(entry) }, patience, 20*time.Millisecond, "%s does not know all servers", entry.name)
	}
}

// complete reports whether an instance is ready and knows every server and
// every instance of its data centre.
func (c *cluster) complete(entry *entryProcess) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	servers, err := c.operator(entry.name).Ask(ctx, "servers where state=live")
	if err != nil || len(servers.Rows) < len(c.servers) {
		return false
	}
	entries, err := c.operator(entry.name).Ask(ctx, "entries")
	if err != nil || len(entries.Rows) != c.shape.Entries {
		return false
	}
	response, err := http.Get("http://" + entry.callers + "/ready")
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

func (c *cluster) operator(entry string) *spokeoperate.Client {
	return spokeoperate.NewClient("http://"+c.entry(entry).operator, operatorKey)
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

// control sends a control call to a stand-in.
func (c *cluster) control(name string, settings any) {
	address := map[string]string{"table": c.platform.table, "object": c.platform.object, "cloud": c.platform.cloud}[name]
	if address == "" {
		address = c.serverAddress(name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err := spokehttp.PostJSON[struct{}](ctx, c.client, "http://"+address+"/control", settings)
	require.NoError(c.t, err)
}

// setProxies sets the faults of every proxy whose name begins so.
func (c *cluster) setProxies(prefix string, faults spokestandin.ProxyFaults) {
	found := false
	for name, proxy := range c.proxies {
		if name == prefix || (strings.HasSuffix(prefix, "*") && strings.HasPrefix(name, strings.TrimSuffix(prefix, "*"))) {
			proxy.SetFaults(faults)
			found = true
		}
	}
	require.True(c.t, found, "there is no proxy %q", prefix)
}

// runs returns how often each booking ran, over all plain services.
func (c *cluster) runs() map[string]int {
	total := make(map[string]int)
	for _, s := range c.servers {
		if s.service != "booking" {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
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
