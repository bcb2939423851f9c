package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"

	"mulberryspoke.example/mulberryspoke/gen/command"
	"mulberryspoke.example/mulberryspoke/gen/query"
	"mulberryspoke.example/mulberryspoke/spokeconfig"
	"mulberryspoke.example/mulberryspoke/spokeoperate"
)

const operatorTimeout = 15 * time.Second

// operatorFlags are the flags of every operators' command.
type operatorFlags struct {
	URL  string `long:"url" env:"MULBERRYSPOKE_OPERATOR_URL" description:"Operators' address of an entry instance" default:"http://127.0.0.1:8081"`
	Key  string `long:"key" env:"MULBERRYSPOKE_OPERATOR_KEY" description:"Operators' key" required:"true"`
	JSON bool   `long:"json" description:"Print JSON instead of a table"`
}

func (f *operatorFlags) newClient() *spokeoperate.Client {
	return spokeoperate.NewClient(f.URL, f.Key)
}

// changeFlags are the flags of every command that changes the configuration.
type changeFlags struct {
	operatorFlags
	CommandID string `long:"command-id" description:"Identity of the command; give the same to repeat one whose outcome is unknown"`
}

// commandID returns the command's identity. It is generated if the flag is not set.
func (f *changeFlags) commandID() string {
	if f.CommandID == "" {
		f.CommandID = uuid.NewString()
	}
	return f.CommandID
}

// fileArgument is the argument that names a declaration's file.
type fileArgument struct {
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"Declaration"`
	} `positional-args:"yes" required:"yes"`
}

func (f *fileArgument) readDeclaration() (string, error) {
	text, err := os.ReadFile(f.Arguments.File)
	return string(text), err
}

type applyCommand struct {
	changeFlags
	fileArgument
	Base         int64 `long:"base-revision" description:"Revision that the declaration rests on; -1 takes the newest" default:"-1"`
	AllowPending bool  `long:"allow-pending" description:"Accept while a data centre cannot be reached"`
}

// Execute puts the declaration in force and prints the data centres where it is.
func (c *applyCommand) Execute([]string) error {
	text, err := c.readDeclaration()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	applied, err := c.newClient().Apply(ctx, text, c.Base, c.AllowPending, c.commandID())
	if err != nil {
		return withCommandID(err, c.CommandID)
	}
	return printApplied(c.JSON, applied)
}

// withCommandID adds the command's identity to its error, so that the operator can
// repeat a command whose outcome is unknown.
func withCommandID(err error, id string) error {
	return fmt.Errorf("%w; command id %s", err, id)
}

type diffCommand struct {
	operatorFlags
	fileArgument
}

// Execute prints the changes that applying the declaration would make.
func (c *diffCommand) Execute([]string) error {
	text, err := c.readDeclaration()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	result, err := c.newClient().Diff(ctx, text)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(result)
	}
	fmt.Printf("in force: revision %d\n", result.Revision)
	for _, change := range result.Changes {
		fmt.Println(change.Change, change.Item)
	}
	return nil
}

type getCommand struct {
	operatorFlags
}

// Execute prints the declaration in force.
func (c *getCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	result, err := c.newClient().Get(ctx)
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(result)
	}
	fmt.Printf("# revision %d\n%s", result.Revision, result.Declaration)
	return nil
}

type queryCommand struct {
	operatorFlags
}

// Execute prints the result of a query.
func (c *queryCommand) Execute(words []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	table, err := c.newClient().Ask(ctx, strings.Join(words, " "))
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(table)
	}
	return printTable(table)
}

type markCommand struct {
	changeFlags
	Arguments struct {
		Instance string `positional-arg-name:"INSTANCE" description:"Instance"`
	} `positional-args:"yes" required:"yes"`

	mark string
}

// Execute sets the mark on the instance and prints where that is in force.
func (c *markCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), operatorTimeout)
	defer cancel()
	applied, err := c.newClient().Mark(ctx, c.Arguments.Instance, c.mark, c.commandID())
	if err != nil {
		return withCommandID(err, c.CommandID)
	}
	return printApplied(c.JSON, applied)
}

type hashCommand struct{}

// Execute prints the SHA-256 of a key.
func (c *hashCommand) Execute([]string) error {
	scanner := bufio.NewScanner(os.Stdin)
	if !scanner.Scan() || scanner.Text() == "" {
		return errors.New("standard input is empty; allowed: a key on one line")
	}
	fmt.Println(spokeconfig.HashKey(scanner.Text()))
	return nil
}

func printApplied(asJSON bool, applied *command.Applied) error {
	if asJSON {
		return printJSON(applied)
	}
	fmt.Printf("revision %d accepted\n", applied.Revision)
	for _, change := range applied.Changes {
		fmt.Println(change.Change, change.Item)
	}
	fmt.Println("in force: " + strings.Join(applied.InForce, ", "))
	if len(applied.Pending) > 0 {
		fmt.Println("pending: " + strings.Join(applied.Pending, ", "))
	}
	return nil
}

func printTable(table *query.Table) error {
	out := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(out, strings.Join(table.Columns, "\t"))
	for _, row := range table.Rows {
		_, _ = fmt.Fprintln(out, strings.Join(row.Cells, "\t"))
	}
	return out.Flush()
}

func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
