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
	// KindNotSent says that the request certainly did not reach the server.
	KindNotSent Kind = "not_sent"
	// KindNoAnswer says that the request may have taken effect.
	KindNoAnswer Kind = "no_answer"
	// KindRefused says that the server answered with a refusal.
	KindRefused Kind = "refused"
	// KindMalformed says that the body could not be decoded.
	KindMalformed Kind = "malformed"
)

const (
	maxBodyBytes    = 64 << 20
	contentTypeJSON = "application/json"
)

// StatusError is a refusal by its HTTP status.
type StatusError struct {
	// Code is the HTTP status.
	Code int
	// Body is the answer's body.
	Body string
}

// Error returns the status and the body in one line.
func (s *StatusError) Error() string {
	return http.StatusText(s.Code) + ": " + strings.TrimSpace(s.Body)
}

// StatusOf returns the HTTP status that an error carries, or zero.
func StatusOf(err error) int {
	var status *StatusError
	if errors.As(err, &status) {
		return status.Code
	}
	return 0
}

// PostJSON posts a JSON request and decodes a JSON answer. It returns an error of
// kind KindNotSent, KindNoAnswer, KindRefused or KindMalformed. It is safe for
// concurrent use.
func PostJSON[Answer any](ctx context.Context, client *http.Client, url string, request any) (Answer, error) {
	var answer Answer
	body, err := json.Marshal(request)
	if err != nil {
		return answer, spokeerror.New("encode request", KindNotSent, err)
	}
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return answer, spokeerror.New("make request", KindNotSent, err)
	}
	outgoing.Header.Set("Content-Type", contentTypeJSON)
	return do[Answer](client, outgoing)
}

// GetJSON reads a JSON answer. Its errors are those of Call.
func GetJSON[Answer any](ctx context.Context, client *http.Client, url string) (Answer, error) {
	var answer Answer
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return answer, spokeerror.New("make request", KindNotSent, err)
	}
	return do[Answer](client, outgoing)
}

// GetJSONIfChanged reads a JSON answer unless it still has a tag. It returns the
// answer's own tag, which is the same when there was nothing new to read. Its
// errors are those of Call.
func GetJSONIfChanged[Answer any](ctx context.Context, client *http.Client, url, tag string) (Answer, string, error) {
	var answer Answer
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return answer, "", spokeerror.New("make request", KindNotSent, err)
	}
	if tag != "" {
		outgoing.Header.Set("If-None-Match", tag)
	}
	answer, header, err := exchange[Answer](client, outgoing)
	if StatusOf(err) == http.StatusNotModified {
		return answer, tag, nil
	}
	return answer, header.Get("ETag"), err
}

func do[Answer any](client *http.Client, outgoing *http.Request) (Answer, error) {
	answer, _, err := exchange[Answer](client, outgoing)
	return answer, err
}

func exchange[Answer any](client *http.Client, outgoing *http.Request) (Answer, http.Header, error) {
	var answer Answer
	spoketrace.Inject(outgoing.Context(), outgoing.Header)
	response, err := client.Do(outgoing)
	if err != nil {
		return answer, nil, spokeerror.New("call", KindOfFailure(err), err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil {
		return answer, nil, spokeerror.New("read answer", KindNoAnswer, err)
	}
	if response.StatusCode >= http.StatusMultipleChoices {
		return answer, nil, spokeerror.New("call", KindRefused, &StatusError{Code: response.StatusCode, Body: string(text)})
	}
	if len(text) == 0 {
		return answer, response.Header, nil
	}
	if err := json.Unmarshal(text, &answer); err != nil {
		return answer, nil, spokeerror.New("decode answer", KindNoAnswer, err)
	}
	return answer, response.Header, nil
}

// DecodeJSON reads a JSON body of at most limit bytes and refuses unknown fields.
// It returns an error of kind KindMalformed.
func DecodeJSON[Request any](body io.Reader, limit int64) (Request, error) {
	var request Request
	decoder := json.NewDecoder(io.LimitReader(body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, spokeerror.New("decode request", KindMalformed, err)
	}
	return request, nil
}

// JSONHandler makes a handler of a function from a JSON request to a JSON answer.
// An error that carries a Status is sent with it, any other as a bad request.
func JSONHandler[Request, Answer any](f func(context.Context, Request) (Answer, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		request, err := decodeRequest[Request](r)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		ctx := spoketrace.Extract(r.Context(), r.Header)
		answer, err := f(ctx, request)
		if err != nil {
			writeFailure(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, answer)
	})
}

func decodeRequest[Request any](r *http.Request) (Request, error) {
	if r.Method == http.MethodGet {
		var request Request
		return request, nil
	}
	return DecodeJSON[Request](r.Body, maxBodyBytes)
}

func writeFailure(w http.ResponseWriter, err error) {
	status := StatusOf(err)
	if status == 0 {
		status = http.StatusBadRequest
	}
	http.Error(w, err.Error(), status)
}

// WriteJSON writes an answer as JSON with a status.
func WriteJSON(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", contentTypeJSON)
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer)
}
