package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"mulberryspoke.example/mulberryspoke/spokemeasure"
)

// measureCommand measures the product against its baselines.
type measureCommand struct {
	Only  string `long:"only" description:"One of head_of_line, slowed_servers, overload, recomputed_tokens; all if empty"`
	Seeds int    `long:"seeds" description:"Number of seeds" default:"3"`
	Out   string `long:"out" description:"Folder for plots; none if empty"`
}

// Execute prints each figure's median and range over the seeds.
func (c *measureCommand) Execute([]string) error {
	var seeds []uint64
	for seed := range c.Seeds {
		seeds = append(seeds, uint64(seed)+1)
	}
	var figures []spokemeasure.Measurement
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, "experiment\tvariant\tfigure\tmedian\tleast\tgreatest")
	err := spokemeasure.RunExperiments(context.Background(), c.Only, seeds, func(f spokemeasure.Measurement) error {
		figures = append(figures, f)
		_, err := fmt.Fprintf(out, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\n", f.Experiment, f.Variant, f.Name, f.Summary.Median, f.Summary.Min, f.Summary.Max)
		return err
	})
	_ = out.Flush()
	if err != nil || c.Out == "" {
		return err
	}
	return spokemeasure.WritePlots(figures, filepath.Join(c.Out, "plots"))
}
