package main

// #include <stdlib.h>
import "C" // A cgo package: deploy/system.toml builds it with the external linker.

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"mulberryspoke.example/mulberryspoke/platform"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokelocality"
	"mulberryspoke.example/mulberryspoke/spokelog"
	"mulberryspoke.example/mulberryspoke/spokememory"
	"mulberryspoke.example/mulberryspoke/spokescarcity"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// localityFlags weigh what leaving the data centre costs a request to a model service.
type localityFlags struct {
	Routing        string  `long:"locality" env:"MULBERRYSPOKE_LOCALITY" description:"Whether a request leaves the data centre: decided (by load and cost) or constant (another data centre costs 3 ms)" choice:"decided" choice:"constant" default:"constant"`
	RoundTrip      int64   `long:"remote-round-trip-millis" env:"MULBERRYSPOKE_REMOTE_ROUND_TRIP" description:"Time in milliseconds that a request to another data centre takes longer, there and back" default:"2"`
	MegabytePrice  int64   `long:"remote-megabyte-price-millis" env:"MULBERRYSPOKE_REMOTE_MEGABYTE_PRICE" description:"Delay in milliseconds that is better than the transfer of a megabyte to another data centre" default:"50"`
	MaxWait        int64   `long:"remote-max-wait-millis" env:"MULBERRYSPOKE_REMOTE_MAX_WAIT" description:"Expected wait in milliseconds up to which a data centre takes requests of others; the shortest target of the first event if 0" default:"0"`
	SharePerSecond float64 `long:"remote-share-per-second" env:"MULBERRYSPOKE_REMOTE_SHARE_PER_SECOND" description:"Largest rise in a second of the fraction of requests that leave the data centre; none leave if 0" default:"0.8"`
	PrefixLifetime int64   `long:"prefix-lifetime-millis" env:"MULBERRYSPOKE_PREFIX_LIFETIME" description:"Time in milliseconds for which an engine with a cache of unknown size keeps an unused prefix" default:"30000"`
}

// settings returns the settings of the decision, or nil for a constant delay.
func (f localityFlags) settings() (*spokelocality.Settings, error) {
	if f.Routing == "constant" {
		return nil, nil
	}
	for _, flag := range []struct {
		name         string
		value, limit float64
	}{
		{"remote-round-trip-millis", float64(f.RoundTrip), maxRemoteMillis},
		{"remote-megabyte-price-millis", float64(f.MegabytePrice), maxRemoteMillis},
		{"remote-max-wait-millis", float64(f.MaxWait), maxRemoteMillis},
		{"remote-share-per-second", f.SharePerSecond, maxSharePerSecond},
		{"prefix-lifetime-millis", float64(f.PrefixLifetime), maxRemoteMillis},
	} {
		// A number that is NaN is not in range either.
		if isInRange := flag.value >= 0 && flag.value <= flag.limit; !isInRange {
			return nil, fmt.Errorf("--%s is %g; allowed: 0 to %g", flag.name, flag.value, flag.limit)
		}
	}
	return &spokelocality.Settings{
		RoundTrip: spokeclock.Millis(f.RoundTrip), MegabytePrice: spokeclock.Millis(f.MegabytePrice), MaxWait: spokeclock.Millis(f.MaxWait),
		SharePerSecond: f.SharePerSecond, PrefixLifetime: spokeclock.Millis(f.PrefixLifetime),
	}, nil
}

// The bounds of the flags keep their sums and products far from overflowing.
const (
	maxRemoteMillis   = 1e9
	maxSharePerSecond = 100
)

// platformCommand runs an entry instance on the users' platform.
type platformCommand struct {
	SettingsPath      string `long:"settings" description:"Settings file; if empty, the one that the platform names"`
	LogLevel          string `long:"log-level" env:"MULBERRYSPOKE_LOG_LEVEL" description:"debug, info, warn or error" default:"info"`
	LogLinesPerSecond int    `long:"log-lines-per-second" env:"MULBERRYSPOKE_LOG_LINES" description:"Largest number of log lines a second" default:"400"`
	BudgetMegabytes   int    `long:"caller-memory-mb" env:"MULBERRYSPOKE_CALLER_MEMORY_MB" description:"Memory in MB that callers' requests may hold; 0: a quarter of the settings' memory" default:"0"`
	Connections       int    `long:"caller-connections" env:"MULBERRYSPOKE_CALLER_CONNECTIONS" description:"Largest number of callers' connections; 0: derived from the settings' memory and descriptors" default:"0"`
	PeerConnections   int    `long:"peer-connections" env:"MULBERRYSPOKE_PEER_CONNECTIONS" description:"Largest number of connections from other entry instances; 0: derived from the settings' descriptors" default:"0"`
	ReturnOrder       string `long:"return-order" env:"MULBERRYSPOKE_RETURN_ORDER" description:"When refused callers come back: estimate (when their level is above zero) or schedule (one after the other, urgent ones first)" choice:"estimate" choice:"schedule" default:"estimate"`
	Admission         string `long:"admission" env:"MULBERRYSPOKE_ADMISSION" description:"Which requests to a model service are refused while its servers are short: none, forecast (those that are expected late, urgent and cheap ones last) or precedence (also those that make more urgent or cheaper ones late)" choice:"forecast" choice:"precedence" choice:"none" default:"none"`
	Locality          localityFlags
	TraceExporter     string `long:"trace" env:"MULBERRYSPOKE_TRACE" description:"Exporter of traces: none or json (to standard error)" default:"none"`
}

// Execute serves until the first SIGTERM or SIGINT, then shuts down gracefully.
// The second one ends the process at once. SIGHUP reloads the settings.
func (c *platformCommand) Execute([]string) error {
	// Until it is registered here, SIGHUP would end the process.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	locality, err := c.Locality.settings()
	if err != nil {
		return err
	}
	if c.SettingsPath == "" {
		c.SettingsPath = os.Getenv(platform.SettingsPathVariable)
	}
	limits, err := spokememory.OverridesFromFlags(c.BudgetMegabytes, c.Connections, c.PeerConnections)
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
	process := &platform.Process{Settings: settings, SettingsPath: c.SettingsPath, CallerLimits: limits, Locality: locality, SchedulesReturns: c.ReturnOrder == "schedule", Admission: c.admission(), ReloadSignals: reloads, Logs: logs.WithField("instance", settings.InstanceName)}
	return process.Run(ctx)
}

// admission returns the decision which requests are refused while servers are short, or nil
// for none.
func (c *platformCommand) admission() *spokescarcity.Admission {
	if c.Admission == "none" {
		return nil
	}
	return &spokescarcity.Admission{RefusesDisplacing: c.Admission == "precedence"}
}
