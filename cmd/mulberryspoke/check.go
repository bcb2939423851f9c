package main

import (
	"context"
	"fmt"
	"os"
	"slices"

	"mulberryspoke.example/mulberryspoke/platform"
	"mulberryspoke.example/mulberryspoke/spokecheck"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
)

// Exit codes of the check, for scripts. A file that can't be read exits with exitError.
const (
	exitFoundWarnings = 3
	exitFoundErrors   = 4
)

const (
	formatDeclaration = "declaration"
	formatPlatform    = "platform"
)

// checkCommand examines a configuration without applying it.
type checkCommand struct {
	fileArgument
	Format  string `long:"format" description:"Format of the files: declaration (YAML) or platform (JSON of the users' platform)" choice:"declaration" choice:"platform" default:"declaration"`
	Against string `long:"against" description:"File with the configuration in force, to compare with"`
	URL     string `long:"url" env:"MULBERRYSPOKE_OPERATOR_URL" description:"Operators' address of an entry instance" default:"http://127.0.0.1:8081"`
	Key     string `long:"key" env:"MULBERRYSPOKE_OPERATOR_KEY" description:"Operators' key; if set, the configuration in force is read from the deployment"`
	JSON    bool   `long:"json" description:"Print JSON instead of text"`
}

// checkReport is the result of a check.
type checkReport struct {
	Findings    []spokecheck.Finding    `json:"findings"`
	Differences []spokecheck.Difference `json:"differences"`
}

// exitCodeError ends the command with an exit code after its output was printed.
type exitCodeError int

// Error returns the exit code as text.
func (e exitCodeError) Error() string { return fmt.Sprintf("exit code %d", int(e)) }

// Execute prints the findings and the differences from the configuration in force.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Arguments.File)
	if err != nil {
		return err
	}
	proposed, err := c.decode(text)
	if err != nil {
		return err
	}
	report := checkReport{Findings: []spokecheck.Finding{}, Differences: []spokecheck.Difference{}}
	if c.Format == formatDeclaration {
		report.Findings = append(report.Findings, spokecheck.Validate(&proposed)...)
	}
	report.Findings = append(report.Findings, spokecheck.Examine(&proposed)...)
	inForce, err := c.inForce()
	if err != nil {
		return err
	}
	if inForce != nil {
		report.Differences = append(report.Differences, spokecheck.Compare(inForce, &proposed)...)
	}
	if err := c.print(report); err != nil {
		return err
	}
	return report.exitError()
}

func (c *checkCommand) decode(text []byte) (spokeconfig.Declaration, error) {
	if c.Format == formatPlatform {
		return platform.DecodeConfiguration(text)
	}
	return spokeconfig.Decode(text)
}

// inForce returns the configuration to compare with, or nil if none is named.
func (c *checkCommand) inForce() (*spokeconfig.Declaration, error) {
	var text []byte
	switch {
	case c.Against != "":
		read, err := os.ReadFile(c.Against)
		if err != nil {
			return nil, err
		}
		text = read
	case c.Key != "" && c.Format == formatDeclaration:
		ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
		defer cancel()
		result, err := spokeoperate.NewClient(c.URL, c.Key).Get(ctx)
		if err != nil {
			return nil, err
		}
		text = []byte(result.Declaration)
	default:
		return nil, nil //nolint:nilnil // Nil means that there is nothing to compare with.
	}
	declaration, err := c.decode(text)
	return &declaration, err
}

func (c *checkCommand) print(report checkReport) error {
	if c.JSON {
		return printJSON(report)
	}
	for _, finding := range report.Findings {
		fmt.Printf("%s: %s: %s (%s)\n", finding.Severity(), finding.Place(), finding.Text(), finding.Rule())
	}
	for _, difference := range report.Differences {
		fmt.Println(difference)
	}
	return nil
}

// exitError returns the exit code of the gravest finding, or nil without findings.
func (r checkReport) exitError() error {
	isError := func(finding spokecheck.Finding) bool { return finding.Severity() == spokecheck.SeverityError }
	switch {
	case slices.ContainsFunc(r.Findings, isError):
		return exitCodeError(exitFoundErrors)
	case len(r.Findings) > 0:
		return exitCodeError(exitFoundWarnings)
	default:
		return nil
	}
}
