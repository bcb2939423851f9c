package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mulberryspoke.example/mulberryspoke/spokeentry"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// entryCommand runs an entry instance.
type entryCommand struct {
	spokeentry.Settings
}

// Execute serves until the first signal, then shuts down gracefully. A second
// signal ends the process at once.
func (c *entryCommand) Execute([]string) error {
	if err := c.Check(); err != nil {
		return err
	}
	logs, err := spokelog.New(os.Stderr, c.LogLevel)
	if err != nil {
		return err
	}
	flush, err := spoketrace.Start(spoketrace.Exporter(c.TraceExporter), os.Stderr)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	entry := &spokeentry.Entry{Settings: c.Settings, Logs: logs.WithField("instance", c.Name)}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go onSignals(cancel, entry.Kill)
	return entry.Run(ctx)
}

// onSignals calls shutDown at the first signal and kill at the second.
func onSignals(shutDown, kill func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	shutDown()
	<-signals
	kill()
}
