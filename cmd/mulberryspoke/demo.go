package main

import (
	"context"
	"fmt"
	"os"

	"mulberryspoke.example/mulberryspoke/examples"
	"mulberryspoke.example/mulberryspoke/spokedemo"
	"mulberryspoke.example/mulberryspoke/spokelog"
)

// demoCommand runs a whole deployment in this process.
type demoCommand struct {
	Once     bool   `long:"once" description:"Exit after the traffic instead of serving on"`
	Example  string `long:"example" description:"Deployment to run" choice:"doi_nho_tech" choice:"vembanad" default:"doi_nho_tech"`
	Address  string `long:"caller-address" description:"IP and port of the first entry instance; any free port if empty"`
	LogLevel string `long:"log-level" description:"debug, info, warn or error" default:"error"`
}

// Execute sends the example's traffic and prints each answer. It then serves until
// a signal, unless Once is set.
func (c *demoCommand) Execute([]string) error {
	example, err := spokedemo.ReadExample(examples.Files, c.Example)
	if err != nil {
		return err
	}
	logs, err := spokelog.New(os.Stderr, c.LogLevel)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go onSignals(cancel, func() { os.Exit(exitError) })
	local := &spokedemo.LocalDeployment{Example: example, Logs: logs, CallerAddress: c.Address}
	demo := &spokedemo.Demo{Deployment: local, Out: os.Stdout}
	if err := demo.Run(ctx); err != nil {
		return err
	}
	if !c.Once {
		fmt.Println("serving on " + local.CallerURLs()[0] + " until interrupted")
		<-ctx.Done()
	}
	cancel()
	local.Wait()
	return nil
}
