package spokehttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"

	"mulberryspoke.example/mulberryspoke/spokeerror"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// Kind is the kind of an error of this package.
type Kind string

const (
	// KindNotSent means that the request is certain not to have been sent.
	KindNotSent Kind = "not_sent"
	// KindNoAnswer means that no usable response arrived. The request may have
	// taken effect.
	KindNoAnswer Kind = "no_answer"
	// KindRefused means that the server responded with an error status. The error
	// wraps a *StatusError.
	KindRefused Kind = "refused"
	// KindMalformed means that a request body could not be decoded.
	KindMalformed Kind = "malformed"
)

const (
	maxBodyBytes = 64 << 20
	// maxErrorBytes is the part of the body of an error response that is kept.
	maxErrorBytes   = 4 << 10
	contentTypeJSON = "application/json"
)

// StatusError is a response with an error status.
type StatusError struct {
	// Code is the HTTP status code.
	Code int
	// Body is the response body.
	Body string
}

// Error returns the status text and the body in one line.
func (s *StatusError) Error() string {
	return http.StatusText(s.Code) + ": " + strings.TrimSpace(s.Body)
}

// StatusOf returns the status code of the *StatusError in an error's chain, or
// zero if there is none.
func StatusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}

// PostJSON posts a JSON request and decodes the JSON response. It returns an
// error of kind KindNotSent, KindNoAnswer or KindRefused. It is safe for
// concurrent use.
func PostJSON[Response any](ctx context.Context, client *http.Client, url string, request any) (Response, error) {
	var response Response
	body, err := json.Marshal(request)
	if err != nil {
		return response, spokeerror.New("encode request", KindNotSent, err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return response, spokeerror.New("create request", KindNotSent, err)
	}
	outgoing.Header.Set("Content-Type", contentTypeJSON)
	return doRequest[Response](client, outgoing)
}

// GetJSON gets and decodes a JSON response. Its errors are those of PostJSON.
func GetJSON[Response any](ctx context.Context, client *http.Client, url string) (Response, error) {
	var response Response
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return response, spokeerror.New("create request", KindNotSent, err)
	}
	return doRequest[Response](client, outgoing)
}

// GetJSONIfChanged gets and decodes a JSON response unless its entity tag is
// still etag. It returns the current entity tag, which equals etag if the
// response is unchanged and was not read. An empty etag always reads. Its errors
// are those of PostJSON.
func GetJSONIfChanged[Response any](ctx context.Context, client *http.Client, url, etag string) (Response, string, error) {
	var response Response
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return response, "", spokeerror.New("create request", KindNotSent, err)
	}
	if etag != "" {
		outgoing.Header.Set("If-None-Match", etag)
	}
	response, header, err := roundTrip[Response](client, outgoing)
	if StatusOf(err) == http.StatusNotModified {
		return response, etag, nil
	}
	return response, header.Get("ETag"), err
}

func doRequest[Response any](client *http.Client, outgoing *http.Request) (Response, error) {
	response, _, err := roundTrip[Response](client, outgoing)
	return response, err
}

// roundTrip sends a request and decodes the JSON response. An empty body leaves
// the zero value.
func roundTrip[Response any](client *http.Client, outgoing *http.Request) (Response, http.Header, error) {
	var decoded Response
	spoketrace.Inject(outgoing.Context(), outgoing.Header)
	response, err := client.Do(outgoing)
	if err != nil {
		return decoded, nil, spokeerror.New("call", KindOfFailure(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode >= http.StatusMultipleChoices {
		text, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
		if err != nil {
			return decoded, nil, spokeerror.New("read response", KindNoAnswer, err)
		}
		return decoded, nil, spokeerror.New("call", KindRefused, &StatusError{Code: response.StatusCode, Body: string(text)})
	}
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes+1))
	if err != nil {
		return decoded, nil, spokeerror.New("read response", KindNoAnswer, err)
	}
	if len(text) > maxBodyBytes {
		return decoded, nil, spokeerror.Newf("read response", KindNoAnswer, "the response is longer than %d bytes", maxBodyBytes)
	}
	if len(text) == 0 {
		return decoded, response.Header, nil
	}
	if err := json.Unmarshal(text, &decoded); err != nil {
		return decoded, nil, spokeerror.New("decode response", KindNoAnswer, err)
	}
	return decoded, response.Header, nil
}

// Entries is a list whose entries other processes have written. Each is decoded by itself,
// and those that can't be are left out.
type Entries[Entry any] []Entry

// UnmarshalJSON implements json.Unmarshaler.
func (e *Entries[Entry]) UnmarshalJSON(text []byte) error {
	var texts []json.RawMessage
	if err := json.Unmarshal(text, &texts); err != nil {
		return err
	}
	*e = make(Entries[Entry], 0, len(texts))
	for _, entryText := range texts {
		var entry Entry
		if json.Unmarshal(entryText, &entry) == nil && string(entryText) != "null" {
			*e = append(*e, entry)
		}
	}
	return nil
}

// DecodeJSON decodes a JSON body of at most limit bytes. Unknown fields are
// errors. It returns an error of kind KindMalformed.
func DecodeJSON[Request any](body io.Reader, limit int64) (Request, error) {
	var request Request
	decoder := json.NewDecoder(io.LimitReader(body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, spokeerror.New("decode request", KindMalformed, err)
	}
	return request, nil
}

// JSONHandler returns a handler that decodes a JSON request, calls f and writes
// its response as JSON. The body of a GET request is not read. If f returns an
// error with a *StatusError in its chain, the handler responds with its code, and
// to any other error with 400 Bad Request.
func JSONHandler[Request, Response any](f func(context.Context, Request) (Response, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := decodeRequest[Request](r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx := spoketrace.Extract(r.Context(), r.Header)
		response, err := f(ctx, request)
		if err != nil {
			writeError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, response)
	})
}

func decodeRequest[Request any](r *http.Request) (Request, error) {
	if r.Method == http.MethodGet {
		var request Request
		return request, nil
	}
	return DecodeJSON[Request](r.Body, maxBodyBytes)
}

func writeError(w http.ResponseWriter, err error) {
	status := StatusOf(err)
	if status == 0 {
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}

// WriteJSON writes a status code and a value as a JSON body.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
