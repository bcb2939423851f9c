// Command mulberryspoke runs entry instances and is the operators' command line.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

const (
	exitError = 1
	exitUsage = 2
)

func main() {
	parser := flags.NewNamedParser("mulberryspoke", flags.HelpFlag|flags.PassDoubleDash)
	parser.ShortDescription = "Serve model assistants and booking services on reclaimable instances"
	addCommands(parser)
	_, err := parser.Parse()
	os.Exit(exitCode(err))
}

// exitCode prints an error and returns the exit code.
func exitCode(err error) int {
	var usage *flags.Error
	var code exitCodeError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &code):
		return int(code)
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, "mulberryspoke: "+usage.Message)
		return exitUsage
	default:
		fmt.Fprintln(os.Stderr, "mulberryspoke: "+err.Error())
		return exitError
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
	add("demo", "Run a whole deployment with stand-ins in one process", &demoCommand{})
	add("apply", "Put a declaration in force", &applyCommand{})
	add("diff", "Compare a declaration with the one in force", &diffCommand{})
	add("check", "Examine a configuration without applying it", &checkCommand{})
	add("get", "Print the declaration in force", &getCommand{})
	add("query", "Query the state of the deployment", &queryCommand{})
	add("drain", "Send an instance no new requests", &markCommand{mark: "drain"})
	add("stop", "Send an instance no new requests and move its running ones to other instances", &markCommand{mark: "stop"})
	add("restore", "Undo a drain or a stop", &markCommand{mark: "none"})
	add("hash-key", "Print the SHA-256 of a key read from standard input", &hashCommand{})
}
