package spokedemo

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokeload"
)

const (
	demoRate   = 8
	demoLength = 5 * spokeclock.Second
	demoSeed   = 1
	shownText  = 40
)

// Demo sends a deployment's traffic through it and prints each answer. Set its
// fields before Run.
type Demo struct {
	// Deployment is the deployment.
	Deployment *LocalDeployment
	// Out takes what is printed.
	Out io.Writer
}

// Run prints each answer and a last line that counts them. It returns an error
// of kind KindStart, or of kind KindLost when an answer was lost.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.Deployment.Start(ctx); err != nil {
		return err
	}
	d.banner()
	plan := spokeload.Plan{
		Seed: demoSeed, Targets: d.Deployment.CallerURLs(), Mix: d.Deployment.Example.Deployment.Traffic,
		Phases: []spokeload.Phase{{Rate: demoRate, Duration: demoLength}},
	}
	result, err := spokeload.Run(ctx, plan, d.show)
	if err != nil {
		return err
	}
	lost := result.FailedRequests()
	answered := result.CountVerdict(spokeload.VerdictComplete)
	_, _ = fmt.Fprintf(d.Out, "demo: %d answered, %d refused, %d lost\n", answered, result.SentRequests()-answered-lost, lost)
	if lost > 0 {
		return spokeerror.Newf("demo", KindRequestsLost, "%d requests", lost)
	}
	return nil
}

func (d *Demo) banner() {
	table := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "entry instance\tdata centre\tcallers\toperators")
	for _, entry := range d.Deployment.entries {
		s := entry.Settings
		_, _ = fmt.Fprintf(table, "%s\t%s\thttp://%s\thttp://%s\n", s.Name, s.DataCentre, s.CallerAddress, s.OperatorAddress)
	}
	_ = table.Flush()
}

func (d *Demo) show(reply *spokeload.RequestResult) {
	text := reply.AnswerText()
	if len(text) > shownText {
		text = text[:shownText] + "…"
	}
	_, _ = fmt.Fprintf(d.Out, "%-9s %-8s %5d ms  %s%s\n", reply.Kind(), reply.Verdict(), reply.TotalLatency(), text, reply.Detail())
}
