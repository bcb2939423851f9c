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
	demoRequestsPerSecond = 8
	demoDuration          = 5 * spokeclock.Second
	demoSeed              = 1
	maxShownBytes         = 40
)

// Demo runs a deployment, sends its example traffic to the entry instances and
// prints the result of each request. Set its fields before Run.
type Demo struct {
	// Deployment is the deployment to start and to send traffic to.
	Deployment *LocalDeployment
	// Out receives the printed lines.
	Out io.Writer
}

// Run starts the deployment, prints a line for each request, and at the end the
// number of answered, refused and lost requests. It returns an error of kind
// KindStartFailed if the deployment cannot be started, and of kind
// KindRequestsLost if any request was lost.
func (d *Demo) Run(ctx context.Context) error {
	if err := d.Deployment.Start(ctx); err != nil {
		return err
	}
	d.printEntryInstances()
	plan := spokeload.Plan{
		Seed: demoSeed, Targets: d.Deployment.CallerURLs(), Mix: d.Deployment.Example.Deployment.Traffic,
		Phases: []spokeload.Phase{{Rate: demoRequestsPerSecond, Duration: demoDuration}},
	}
	result, err := spokeload.Run(ctx, plan, d.printResult)
	if err != nil {
		return err
	}
	lost := result.FailedRequests()
	answered := result.CountVerdict(spokeload.VerdictComplete)
	_, _ = fmt.Fprintf(d.Out, "demo: %d answered, %d refused, %d lost\n", answered, result.SentRequests()-answered-lost, lost)
	if lost > 0 {
		return spokeerror.Newf("demo", KindRequestsLost, "%d requests were lost", lost)
	}
	return nil
}

func (d *Demo) printEntryInstances() {
	table := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "entry instance\tdata centre\tcallers\toperators")
	for _, entry := range d.Deployment.entries {
		s := entry.Settings
		_, _ = fmt.Fprintf(table, "%s\t%s\thttp://%s\thttp://%s\n", s.Name, s.DataCentre, s.CallerAddress, s.OperatorAddress)
	}
	_ = table.Flush()
}

func (d *Demo) printResult(result *spokeload.RequestResult) {
	text := result.AnswerText()
	if len(text) > maxShownBytes {
		text = text[:maxShownBytes] + "…"
	}
	_, _ = fmt.Fprintf(d.Out, "%-9s %-8s %5d ms  %s%s\n", result.Kind(), result.Verdict(), result.TotalLatency(), text, result.Detail())
}
