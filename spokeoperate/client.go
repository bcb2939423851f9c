package spokeoperate

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"

	goahttp "goa.design/goa/v3/http"

	"mulberryspoke.example/mulberryspoke/gen/command"
	commandclient "mulberryspoke.example/mulberryspoke/gen/http/command/client"
	queryclient "mulberryspoke.example/mulberryspoke/gen/http/query/client"
	"mulberryspoke.example/mulberryspoke/gen/query"
	"mulberryspoke.example/mulberryspoke/gen/types"
	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spokehttp"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindUnreachable means that the entry instance did not answer.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the entry instance refused the call.
	KindRefused Kind = "refused"
)

// NewestRevision is the base revision that means the newest one.
const NewestRevision = -1

const (
	dialTimeout = 30 * spokeclock.Second
	idleTimeout = 30 * spokeclock.Second
	// maxResponseBytes bounds what a response may take in memory.
	maxResponseBytes = 64 << 20
	// maxErrorBytes is the part of an error that is shown, as it may quote a response.
	maxErrorBytes = 4 << 10
)

// httpClient is used by all clients.
var httpClient = newHTTPClient()

func newHTTPClient() *http.Client {
	transport := spokehttp.NewTransport((&net.Dialer{Timeout: dialTimeout.Duration()}).DialContext)
	transport.Proxy = http.ProxyFromEnvironment
	transport.IdleConnTimeout = idleTimeout.Duration()
	transport.OpenHoldFunc = spokehttp.LimitEach(maxResponseBytes)
	return &http.Client{Transport: transport}
}

// newResponseDecoder returns a decoder of a whole body. The decoders of goa stop at the end of
// the value, so that a body that breaks off behind it would count as complete.
func newResponseDecoder(response *http.Response) goahttp.Decoder {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return failedDecoder{err}
	}
	response.Body = io.NopCloser(bytes.NewReader(text))
	return goahttp.ResponseDecoder(response)
}

// failedDecoder is the decoder of a body that could not be read.
type failedDecoder struct {
	err error
}

// Decode implements goahttp.Decoder.
func (d failedDecoder) Decode(any) error { return d.err }

// Client calls the operators' API of one entry instance. It is safe for
// concurrent use.
type Client struct {
	authorization string
	command       *command.Client
	query         *query.Client
}

// NewClient returns a client of the entry instance whose operators' API is at a
// URL.
func NewClient(operatorURL, key string) *Client {
	parsed, err := url.Parse(operatorURL)
	if err != nil {
		parsed = &url.URL{Scheme: "http", Host: operatorURL}
	}
	commands := commandclient.NewClient(parsed.Scheme, parsed.Host, httpClient, goahttp.RequestEncoder, newResponseDecoder, false)
	queries := queryclient.NewClient(parsed.Scheme, parsed.Host, httpClient, goahttp.RequestEncoder, newResponseDecoder, false)
	return &Client{
		authorization: "Bearer " + key,
		command:       command.NewClient(commands.Apply(), commands.Mark()),
		query:         query.NewClient(queries.Get(), queries.Diff(), queries.Ask(), queries.Places()),
	}
}

// Apply puts a declaration in force. Its errors, like those of every method, are
// of kind KindRefused, with the instance's message, or KindUnreachable.
func (c *Client) Apply(ctx context.Context, declaration string, base int64, allowPending bool, id string) (*command.Applied, error) {
	applied, err := c.command.Apply(ctx, &command.ApplyPayload{
		Authorization: &c.authorization, Declaration: declaration, BaseRevision: base, AllowPending: allowPending, CommandID: id,
	})
	return applied, clientError("apply", err)
}

// Mark drains, stops or restores an instance: mark is "drain", "stop" or "none".
func (c *Client) Mark(ctx context.Context, instance, mark, id string) (*command.Applied, error) {
	applied, err := c.command.Mark(ctx, &command.MarkPayload{Authorization: &c.authorization, Instance: instance, Mark: mark, CommandID: id})
	return applied, clientError(mark, err)
}

// Get returns the declaration in force.
func (c *Client) Get(ctx context.Context) (*query.GetResult, error) {
	result, err := c.query.Get(ctx, &query.GetPayload{Authorization: &c.authorization})
	return result, clientError("get", err)
}

// Diff compares a declaration with the one in force.
func (c *Client) Diff(ctx context.Context, declaration string) (*query.DiffResult, error) {
	result, err := c.query.Diff(ctx, &query.DiffPayload{Authorization: &c.authorization, Declaration: declaration})
	return result, clientError("diff", err)
}

// Ask runs a query of the operators' query language.
func (c *Client) Ask(ctx context.Context, queryText string) (*query.Table, error) {
	table, err := c.query.Ask(ctx, &query.AskPayload{Authorization: &c.authorization, Query: queryText})
	return table, clientError("query", err)
}

func clientError(operation string, err error) error {
	if err == nil {
		return nil
	}
	var refused *types.Refusal
	if errors.As(err, &refused) {
		return spokeerror.Newf(operation, KindRefused, "%s: %s (%s)", refused.Detail.Type, refused.Detail.Message, refused.Detail.Outcome)
	}
	if text := err.Error(); len(text) > maxErrorBytes {
		return spokeerror.Newf(operation, KindUnreachable, "%s...", text[:maxErrorBytes])
	}
	return spokeerror.New(operation, KindUnreachable, err)
}
