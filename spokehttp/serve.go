package spokehttp

import (
	"errors"
	"net"
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// Serve serves the connections of a listener until the server is shut down or
// closed. If serving ends for another reason, it logs the error.
func Serve(server *http.Server, listener net.Listener, log zerolog.Logger) {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Msg("HTTP server stopped serving.")
	}
}

// MetricsHandler returns a handler that writes the metrics of a set and of the
// process in the Prometheus format.
func MetricsHandler(set *metrics.Set) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	}
}
