package spokehttp

import (
	"errors"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Serve answers a listener's connections until the server is shut down or
// closed. Any other end is logged.
func Serve(server *http.Server, listener net.Listener, log zerolog.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Msg("Listener failed.")
	}
}

// MetricsHandler returns a handler that writes a set's metrics and those of the process.
func MetricsHandler(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}
}
