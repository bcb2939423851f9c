// Command mulberryload sends open-loop load to entry instances and checks every
// answer.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/goccy/go-yaml"
	"github.com/jessevdk/go-flags"

	"mulberryspoke.example/mulberryspoke/spokeload"
)

const exitError = 1

func main() {
	parser := flags.NewNamedParser("mulberryload", flags.HelpFlag|flags.PassDoubleDash)
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
			panic("mulberryload: " + err.Error())
		}
	}
	add("run", "Run a load plan against running entry instances", &runCommand{})
	add("measure", "Measure the product against its baselines", &measureCommand{})
	add("capacity", "Measure how a deployment's resource use grows with its size", &capacityCommand{})
	if _, err := parser.Parse(); err != nil {
		fmt.Fprintln(os.Stderr, "mulberryload: "+err.Error())
		os.Exit(exitError)
	}
}

// runCommand runs a load plan.
type runCommand struct {
	Targets   []string `long:"target" description:"URL of an entry instance, in place of the plan's"`
	Seed      uint64   `long:"seed" description:"Seed, in place of the plan's"`
	Arguments struct {
		Plan string `positional-arg-name:"PLAN" description:"Plan, as YAML"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the result as JSON. It returns an error if a request was neither
// answered in full nor refused with the correct outcome.
func (c *runCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Arguments.Plan)
	if err != nil {
		return err
	}
	var plan spokeload.Plan
	if err := yaml.UnmarshalWithOptions(text, &plan, yaml.DisallowUnknownField()); err != nil {
		return fmt.Errorf("%s: %s", c.Arguments.Plan, yaml.FormatError(err, false, false))
	}
	if len(c.Targets) > 0 {
		plan.Targets = c.Targets
	}
	if c.Seed != 0 {
		plan.Seed = c.Seed
	}
	result, err := spokeload.Run(context.Background(), plan, nil)
	if err != nil {
		return err
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(result); err != nil {
		return err
	}
	if brokenRequests := result.FailedRequests(); brokenRequests > 0 {
		return fmt.Errorf("%d requests were neither answered in full nor refused with the correct outcome", brokenRequests)
	}
	return nil
}
