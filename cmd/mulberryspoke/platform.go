package main

// #include <stdlib.h>
import "C" // A cgo package: deploy/system.toml builds it with the external linker.

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mulberryspoke.example/mulberryspoke/platform"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spokememory"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// platformCommand runs an entry instance on the users' platform.
type platformCommand struct {
	SettingsPath      string `long:"settings" description:"Settings file; if empty, the one that the platform names"`
	LogLevel          string `long:"log-level" env:"MULBERRYSPOKE_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
	LogLinesPerSecond int    `long:"log-lines-per-second" env:"MULBERRYSPOKE_LOG_LINES" description:"Largest number of log lines a second" default:"400"`
	BudgetMegabytes   int    `long:"caller-memory-mb" env:"MULBERRYSPOKE_CALLER_MEMORY_MB" description:"Memory in MB that callers' requests may hold; 0: a quarter of the settings' memory" default:"0"`
	Connections       int    `long:"caller-connections" env:"MULBERRYSPOKE_CALLER_CONNECTIONS" description:"Largest number of callers' connections; 0: derived from the settings' memory and descriptors" default:"0"`
	TraceExporter     string `long:"trace" env:"MULBERRYSPOKE_TRACE" description:"Exporter of traces: none or json (to standard error)" default:"none"`
}

// Execute serves until the first SIGTERM or SIGINT, then shuts down gracefully.
// The second one ends the process at once. SIGHUP reloads the settings.
func (c *platformCommand) Execute([]string) error {
	if c.SettingsPath == "" {
		c.SettingsPath = os.Getenv(platform.SettingsPathVariable)
	}
	limits, err := spokememory.OverridesFromFlags(c.BudgetMegabytes, c.Connections)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(c.SettingsPath)
	if err != nil {
		return err
	}
	ring := spokelog.NewRingWriter(os.Stdout)
	defer func() { _ = ring.Close() }()
	logs, err := spokelog.New(&spokelog.RateLimitedWriter{LinesPerSecond: c.LogLinesPerSecond, Out: ring}, c.LogLevel)
	if err != nil {
		return err
	}
	flush, err := spoketrace.Start(spoketrace.Exporter(c.TraceExporter), os.Stderr)
	if err != nil {
		return err
	}
	defer func() { _ = flush(context.Background()) }()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go onSignals(cancel, func() { os.Exit(exitError) })
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	process := &platform.Process{Settings: settings, SettingsPath: c.SettingsPath, CallerLimits: limits, ReloadSignals: reloads, Logs: logs.WithField("instance", settings.InstanceName)}
	return process.Run(ctx)
}
