package spokeserve

import (
	"context"
	"net/http"
	"net/url"
	"path"
	"strconv"
	"sync/atomic"
	"time"

	"mulberryspoke.example/mulberryspoke/spokeclock"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokememory"
	"mulberryspoke.example/mulberryspoke/spokeplain"
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
	// holderCount is the number of those that need the reservation after the request's end.
	holderCount atomic.Int32
	writer      http.ResponseWriter
	// isForwarded is true once the response has been begun from a part of the answer.
	isForwarded bool
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

// release returns the bytes that the request holds, once the last holder has released them.
func (d *requestDetails) release() {
	if d.holderCount.Add(-1) < 0 && d.reservation != nil {
		d.reservation.Release()
	}
}

// retain keeps the bytes that the request holds until the returned function is called, also
// after the end of the request.
func (d *requestDetails) retain() func() {
	d.holderCount.Add(1)
	return d.release
}

// maxForwardingStall bounds the writing of one part of an answer that is forwarded as it
// comes, as its server is occupied until all of it is written. A part has up to 256 KB, so
// that callers who read at 52 KB/s keep their connection.
const maxForwardingStall = 5 * spokeclock.Second

// beginForwarding writes the head of an answer that is forwarded as it comes.
func (d *requestDetails) beginForwarding(response spokeplain.OpenResponse) {
	d.isForwarded = true
	d.writer.Header().Set("Content-Type", response.ContentType)
	if response.Length >= 0 {
		d.writer.Header().Set("Content-Length", strconv.FormatInt(response.Length, 10))
	}
	d.writer.WriteHeader(response.Status)
}

// forward writes a part of an answer that is forwarded as it comes, at most for timeLeft.
func (d *requestDetails) forward(part []byte, timeLeft spokeclock.Millis) error {
	deadline := time.Now().Add(min(timeLeft, maxForwardingStall).Duration())
	_ = http.NewResponseController(d.writer).SetWriteDeadline(deadline)
	_, err := d.writer.Write(part)
	return err
}

// endForwarding ends an answer that was forwarded as it came. One that is not whole is
// aborted, so that the caller does not take it for complete.
func (d *requestDetails) endForwarding(isWhole bool) {
	if !isWhole {
		panic(http.ErrAbortHandler)
	}
	// The deadline would also end the next request of the connection.
	_ = http.NewResponseController(d.writer).SetWriteDeadline(time.Time{})
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
// status otherwise. It writes nothing if the response has been begun.
func (w *statusWriter) WriteHeader(status int) {
	if w.details.isForwarded {
		return
	}
	if status == http.StatusOK && w.details.responseStatus != 0 {
		status = w.details.responseStatus
	}
	w.ResponseWriter.WriteHeader(status)
}

// Unwrap returns the wrapped writer for http.ResponseController.
func (w *statusWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
