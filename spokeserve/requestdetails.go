package spokeserve

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"time"

	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokememory"
	"mulberryspoke.example/mulberryspoke/spoketrace"
)

// requestDetails holds the parts of a request that the generated server does not
// pass to the service, and the status of the response.
type requestDetails struct {
	method         string
	query          string
	contentType    string
	responseStatus int
	// contentLength is the announced length of the body, negative if it is not known.
	contentLength int64
	// reservation is what the request holds, from the reading of its body.
	reservation *spokememory.Reservation
	writer      http.ResponseWriter
}

type requestDetailsKey struct{}

// WithRequestDetails wraps the generated server's handler. It lets a request's
// method, query and content type reach a plain service and the service's status
// reach the caller, continues the caller's trace, and makes a broken answer look broken
// to every caller.
func WithRequestDetails(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer spokehttp.ResetOnAbort(w, r)
		details := &requestDetails{method: r.Method, query: r.URL.RawQuery, contentType: r.Header.Get("Content-Type"), contentLength: r.ContentLength, writer: w}
		defer details.release()
		ctx := spoketrace.Extract(r.Context(), r.Header)
		ctx = context.WithValue(ctx, requestDetailsKey{}, details)
		next.ServeHTTP(&statusWriter{ResponseWriter: w, details: details}, r.WithContext(ctx))
	})
}

func requestDetailsFrom(ctx context.Context) *requestDetails {
	details, ok := ctx.Value(requestDetailsKey{}).(*requestDetails)
	if !ok {
		panic("spokeserve: request was not wrapped by WithRequestDetails")
	}
	return details
}

// release returns the bytes that the request holds.
func (d *requestDetails) release() {
	if d.reservation != nil {
		d.reservation.Release()
	}
}

// closeAfterResponse closes the connection after the response, as the rest of the body
// would have to be read otherwise.
func (d *requestDetails) closeAfterResponse() {
	d.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(d.writer).SetReadDeadline(time.Now())
}

// setStatus sets the status of the response to that of the backend server.
func setStatus(ctx context.Context, status int) {
	requestDetailsFrom(ctx).responseStatus = status
}

// forwardedPath returns the escaped path and query for the backend server. It
// returns false for a path that a server might resolve to another path, because
// that path could belong to a route with another idempotency setting.
func (d *requestDetails) forwardedPath(servicePath string) (string, bool) {
	full := "/" + servicePath
	cleaned := path.Clean(full)
	if cleaned != full && cleaned+"/" != full {
		return "", false
	}
	target := url.URL{Path: full, RawQuery: d.query}
	return target.RequestURI(), true
}

// statusWriter replaces the generated server's status 200 with the backend server's
// status.
type statusWriter struct {
	http.ResponseWriter
	details *requestDetails
}

// WriteHeader writes the backend server's status if it is set and status is 200, and
// status otherwise.
func (w *statusWriter) WriteHeader(status int) {
	if status == http.StatusOK && w.details.responseStatus != 0 {
		status = w.details.responseStatus
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
