package spokeentry

import (
	"context"
	"net/http"

	goahttp "goa.design/goa/v3/http"

	"mulberryspoke.example/mulberryspoke/gen/chat"
	"mulberryspoke.example/mulberryspoke/gen/command"
	chatserver "mulberryspoke.example/mulberryspoke/gen/http/chat/server"
	commandserver "mulberryspoke.example/mulberryspoke/gen/http/command/server"
	plainserver "mulberryspoke.example/mulberryspoke/gen/http/plain/server"
	queryserver "mulberryspoke.example/mulberryspoke/gen/http/query/server"
	"mulberryspoke.example/mulberryspoke/gen/plain"
	"mulberryspoke.example/mulberryspoke/gen/query"
	"mulberryspoke.example/mulberryspoke/spokehttp"
	"mulberryspoke.example/mulberryspoke/spokeserve"
)

// callerHandler returns the HTTP handler for callers.
func (e *Entry) callerHandler() http.Handler {
	mux := goahttp.NewMuxer()
	chatserver.New(chat.NewEndpoints(e.server), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, e.logWriteError, nil).Mount(mux)
	plainserver.New(plain.NewEndpoints(e.server), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, e.logWriteError, nil).Mount(mux)
	mux.Handle(http.MethodGet, "/ready", e.handleReadiness)
	return spokeserve.WithRequestDetails(mux)
}

// operatorHandler returns the HTTP handler for operators and metrics.
func (e *Entry) operatorHandler() http.Handler {
	mux := goahttp.NewMuxer()
	commandserver.New(command.NewEndpoints(e.commands), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, e.logWriteError, nil).Mount(mux)
	queryserver.New(query.NewEndpoints(e.queries), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, e.logWriteError, nil).Mount(mux)
	mux.Handle(http.MethodGet, "/ready", e.handleReadiness)
	mux.Handle(http.MethodGet, "/metrics", spokehttp.MetricsHandler(e.metrics))
	return mux
}

func (e *Entry) logWriteError(_ context.Context, _ http.ResponseWriter, err error) {
	e.log.Debug().Err(err).Msg("Response could not be written.")
}

// handleReadiness answers the readiness probe of the platform's balancer.
func (e *Entry) handleReadiness(w http.ResponseWriter, _ *http.Request) {
	if e.unready.Load() || !e.server.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
