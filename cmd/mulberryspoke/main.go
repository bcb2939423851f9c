// Command mulberryspoke is the entry instance and the operator's command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	parser := flags.NewNamedParser("mulberryspoke", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Serve model assistants and booking services on reclaimable instances"
	addCommands(parser)
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// exitCode prints an error and returns the status to exit with.
func exitCode(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "mulberryspoke: "+usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "mulberryspoke: "+err.Error())
		return exitFailed
	}
}

func addCommands(parser *flags.Parser) {
	add := func(name, short string, command any) {
		if _, err := parser.AddCommand(name, short, short+".", command); err != nil {
			panic("mulberryspoke: " + err.Error())
		}
	}
	add("entry", "Run an entry instance", &entryCommand{})
	add("platform", "Run an entry instance on the users' platform", &platformCommand{})
	add("demo", "Run a deployment on embedded stand-ins", &demoCommand{})
	add("apply", "Put a declaration in force", &applyCommand{})
	add("diff", "Compare a declaration with what is in force", &diffCommand{})
	add("get", "Print the declaration in force", &getCommand{})
	add("query", "Ask what runs where and why", &queryCommand{})
	add("drain", "Give an instance no new work", &markCommand{mark: "drain"})
	add("stop", "Give an instance no new work and move its work away", &markCommand{mark: "stop"})
	add("restore", "Take back a drain or a stop", &markCommand{mark: "none"})
	add("hash-key", "Print the SHA-256 of a key read from standard input", &hashCommand{})
}
