// Command mulberrystandin runs one stand-in for a component that an entry
// instance connects to: a model engine, a plain service, one of the platform's
// services, or a TCP proxy that injects faults. It is for tests and trials on
// loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokestandin"
)

const (
	exitError     = 1
	headerTimeout = time.Minute
)

func main() {
	parser := flags.NewNamedParser("mulberrystandin", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
			panic("mulberrystandin: " + err.Error())
		}
	}
	add("table", "Run a table service", &tableCommand{})
	add("object", "Run an object store", &objectCommand{})
	add("weight", "Run a weight store", &weightCommand{})
	add("cloud", "Run a cloud API with its list of instances", &cloudCommand{})
	add("engine", "Run a model engine", &engineCommand{})
	add("plain", "Run a plain service", &plainCommand{})
	add("proxy", "Run a TCP proxy that injects faults", &proxyCommand{})
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "mulberrystandin: "+err.Error())
		os.Exit(exitError)
	}
}

// listenFlags are the flags of every stand-in.
type listenFlags struct {
	Address string `long:"address" description:"IP and port to listen on" required:"true"`
}

func (f *listenFlags) serve(handler http.Handler) error {
	server := &http.Server{Addr: f.Address, Handler: handler, ReadHeaderTimeout: headerTimeout}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

type tableCommand struct {
	listenFlags
	ReadsPerSecond  float64 `long:"reads-per-second" description:"Limit of reads; 0 means 2000"`
	WritesPerSecond float64 `long:"writes-per-second" description:"Limit of transactions; 0 means 400"`
}

// Execute runs a table service.
func (c *tableCommand) Execute([]string) error {
	table := &spokestandin.TableService{ReadsPerSecond: c.ReadsPerSecond, WritesPerSecond: c.WritesPerSecond}
	return c.serve(table.Handler())
}

type objectCommand struct {
	listenFlags
}

// Execute runs an object store.
func (c *objectCommand) Execute([]string) error {
	return c.serve((&spokestandin.ObjectStore{}).Handler())
}

type weightCommand struct {
	listenFlags
	BytesPerSecond float64 `long:"bytes-per-second" description:"Limit of all downloads; 0 means 64 MiB"`
}

// Execute runs a weight store.
func (c *weightCommand) Execute([]string) error {
	return c.serve((&spokestandin.WeightStore{BytesPerSecond: c.BytesPerSecond}).Handler())
}

type cloudCommand struct {
	listenFlags
}

// Execute runs a cloud API.
func (c *cloudCommand) Execute([]string) error {
	return c.serve((&spokestandin.CloudAPI{}).Handler())
}

type engineCommand struct {
	listenFlags
	Name          string            `long:"name" description:"Name of the backend server" required:"true"`
	Slots         int               `long:"slots" description:"Answers at once" default:"8"`
	StepTime      spokeclock.Millis `long:"step-millis" description:"Time of a step" default:"10"`
	ChecksFencing bool              `long:"checks-orders" description:"Refuse old fencing numbers"`
}

// Execute runs a model engine.
func (c *engineCommand) Execute([]string) error {
	engine := &spokestandin.Engine{Name: c.Name, Slots: c.Slots, StepTime: c.StepTime.Duration(), ChecksFencing: c.ChecksFencing}
	handler := engine.Handler()
	go engine.Run(context.Background())
	return c.serve(handler)
}

type plainCommand struct {
	listenFlags
	Name    string            `long:"name" description:"Name of the backend server" required:"true"`
	RunTime spokeclock.Millis `long:"work-millis" description:"Time of a run"`
}

// Execute runs a plain service.
func (c *plainCommand) Execute([]string) error {
	return c.serve((&spokestandin.PlainServer{Name: c.Name, ProcessingTime: c.RunTime}).Handler())
}

type proxyCommand struct {
	listenFlags
	ProxyAddress  string `long:"listen" description:"IP and port to take connections on" required:"true"`
	TargetAddress string `long:"target" description:"IP and port to pass connections on to" required:"true"`
}

// Execute runs a fault proxy. Its control API listens on the Address of
// listenFlags.
func (c *proxyCommand) Execute([]string) error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", c.ProxyAddress)
	if err != nil {
		return err
	}
	proxy := &spokestandin.Proxy{Target: c.TargetAddress}
	go proxy.Serve(context.Background(), listener)
	return c.serve(proxy.ControlHandler())
}
