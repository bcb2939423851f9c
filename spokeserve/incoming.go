package spokeserve

import (
	"context"
	"net/http"
	"net/url"
	"path"

	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// incoming is what the API's generated code does not pass on of a request.
type incoming struct {
	method      string
	query       string
	contentType string
	status      int
}

type incomingKey struct{}

// WithRequestDetails wraps the API's handler, so that a plain service's method, query and
// status go through, and the caller's trace goes on.
func WithRequestDetails(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		in := &incoming{method: r.Method, query: r.URL.RawQuery, contentType: r.Header.Get("Content-Type")}
		ctx := spoketrace.Extract(r.Context(), r.Header)
		ctx = context.WithValue(ctx, incomingKey{}, in)
		next.ServeHTTP(&statusWriter{ResponseWriter: w, incoming: in}, r.WithContext(ctx))
	})
}

func incomingFrom(ctx context.Context) *incoming {
	in, ok := ctx.Value(incomingKey{}).(*incoming)
	if !ok {
		panic("spokeserve: a request did not come through Carry")
	}
	return in
}

// setStatus makes the answer carry a backend server's status.
func setStatus(ctx context.Context, status int) {
	incomingFrom(ctx).status = status
}

// pathWithin returns the escaped path and query for the backend server. It
// reports false for a path that a server might take for another one, whose
// route could be marked differently.
func (in *incoming) pathWithin(within string) (string, bool) {
	full := "/" + within
	cleaned := path.Clean(full)
	if cleaned != full && cleaned+"/" != full {
		return "", false
	}
	target := url.URL{Path: full, RawQuery: in.query}
	return target.RequestURI(), true
}

// statusWriter puts a backend server's status in place of the API's 200.
type statusWriter struct {
	http.ResponseWriter
	incoming *incoming
}

// WriteHeader writes the backend server's status if there is one.
func (w *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.incoming.status != 0 {
		status = w.incoming.status
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap gives the response controller the real writer.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
