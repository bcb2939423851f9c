package spokeoperate

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	goahttp "goa.design/goa/v3/http"

	"mulberryspoke.example/mulberryspoke/gen/command"
	commandclient "mulberryspoke.example/mulberryspoke/gen/http/command/client"
	queryclient "mulberryspoke.example/mulberryspoke/gen/http/query/client"
	"mulberryspoke.example/mulberryspoke/gen/query"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnreachable says that the entry instance did not answer.
	KindUnreachable Kind = "unreachable"
	// KindRefused says that the entry instance refused.
	KindRefused Kind = "refused"
)

// NewestRevision stands for whatever revision is in force.
const NewestRevision = -1

// Client speaks to one entry instance for an operator. It is safe for
// concurrent use.
type Client struct {
	authorization string
	command       *command.Client
	query         *query.Client
}

// NewClient returns a client of the entry instance at an operators' URL.
func NewClient(address, key string) *Client {
	parsed, err := url.Parse(address)
	if err != nil {
		parsed = &url.URL{Scheme: "http", Host: address}
	}
	commands := commandclient.NewClient(parsed.Scheme, parsed.Host, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	queries := queryclient.NewClient(parsed.Scheme, parsed.Host, http.DefaultClient, goahttp.RequestEncoder, goahttp.ResponseDecoder, false)
	return &Client{
		authorization: "Bearer " + key,
		command:       command.NewClient(commands.Apply(), commands.Mark()),
		query:         query.NewClient(queries.Get(), queries.Diff(), queries.Ask(), queries.Places()),
	}
}

// Apply puts a declaration in force. Its errors, like those of every method,
// are of kind KindRefused, with the instance's words, or KindUnreachable.
func (c *Client) Apply(ctx context.Context, declaration string, base int64, allowPending bool, id string) (*command.Applied, error) {
	applied, err := c.command.Apply(ctx, &command.ApplyPayload{
		Authorization: &c.authorization, Declaration: declaration, BaseRevision: base, AllowPending: allowPending, CommandID: id,
	})
	return applied, failure("apply", err)
}

// Mark drains, stops or restores an instance.
func (c *Client) Mark(ctx context.Context, instance, mark, id string) (*command.Applied, error) {
	applied, err := c.command.Mark(ctx, &command.MarkPayload{Authorization: &c.authorization, Instance: instance, Mark: mark, CommandID: id})
	return applied, failure(mark, err)
}

// Get returns the declaration in force.
func (c *Client) Get(ctx context.Context) (*query.GetResult, error) {
	result, err := c.query.Get(ctx, &query.GetPayload{Authorization: &c.authorization})
	return result, failure("get", err)
}

// Diff compares a declaration to what is in force.
func (c *Client) Diff(ctx context.Context, declaration string) (*query.DiffResult, error) {
	result, err := c.query.Diff(ctx, &query.DiffPayload{Authorization: &c.authorization, Declaration: declaration})
	return result, failure("diff", err)
}

// Ask answers a query.
func (c *Client) Ask(ctx context.Context, text string) (*query.Table, error) {
	table, err := c.query.Ask(ctx, &query.AskPayload{Authorization: &c.authorization, Query: text})
	return table, failure("query", err)
}

func failure(operation string, err error) error {
	if err == nil {
		return nil
	}
	var refused *types.Refusal
	if errors.As(err, &refused) {
		return spokeerror.Newf(operation, KindRefused, "%s: %s (%s)", refused.Detail.Type, refused.Detail.Message, refused.Detail.Outcome)
	}
	return spokeerror.New(operation, KindUnreachable, err)
}
