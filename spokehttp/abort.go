package spokehttp

import "net/http"

// ResetOnAbort resets the connection if a handler that defers it aborts a response whose
// end is that of the connection, as it is for callers with HTTP/1.0: closing it would
// make the response look complete. All other responses are left to the HTTP library.
func ResetOnAbort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoAtLeast(1, 1) {
		return
	}
	cause := recover()
	if cause == nil {
		return
	}
	if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
		if lingering, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
			_ = lingering.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(cause)
}
