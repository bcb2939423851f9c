package spoketrace

import (
	"context"
	"io"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/trace"
	spans "go.opentelemetry.io/otel/trace"

	"mulberryspoke.example/mulberryspoke/spokeerror"
)

// Kind is the kind of an error of this package.
type Kind string

// KindExporter means that the exporter is unknown or cannot be set up.
const KindExporter Kind = "exporter"

const tracerName = "mulberryspoke"

// Exporter is the destination of finished spans.
type Exporter string

const (
	// ExporterNone discards spans.
	ExporterNone Exporter = "none"
	// ExporterJSON writes spans as JSON to the given writer.
	ExporterJSON Exporter = "json"
)

// Start installs the exporter and the propagation of trace contexts for the
// whole process. The returned function writes the remaining spans and stops the
// exporter. It returns an error of kind KindExporter if the exporter is unknown
// or cannot be set up.
func Start(exporter Exporter, w io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	switch exporter {
	case ExporterNone, "":
		return func(context.Context) error { return nil }, nil
	case ExporterJSON:
		return startJSON(w)
	default:
		return nil, spokeerror.Newf("start tracing", KindExporter, "%q is not one of none, json", exporter)
	}
}

func startJSON(w io.Writer) (func(context.Context) error, error) {
	spanExporter, err := stdouttrace.New(stdouttrace.WithWriter(w))
	if err != nil {
		return nil, spokeerror.New("start tracing", KindExporter, err)
	}
	provider := trace.NewTracerProvider(trace.WithBatcher(spanExporter))
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

// Span is the span of one hop of a request.
type Span struct {
	span spans.Span
}

// StartSpan starts the span of a hop as a child of the span in ctx, and returns
// a context with the new span.
func StartSpan(ctx context.Context, hop string, attributes ...attribute.KeyValue) (context.Context, Span) {
	ctx, span := otel.Tracer(tracerName).Start(ctx, hop, spans.WithAttributes(attributes...))
	return ctx, Span{span: span}
}

// SetAttribute adds an attribute to the span.
func (s Span) SetAttribute(key, value string) {
	s.span.SetAttributes(attribute.String(key, value))
}

// End ends the span. A non-nil error marks it as failed.
func (s Span) End(err error) {
	if err != nil {
		s.span.SetStatus(codes.Error, err.Error())
	}
	s.span.End()
}

// Inject writes the trace context into the headers of an outgoing request.
func Inject(ctx context.Context, header http.Header) {
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(header))
}

// Extract returns a context that continues the trace of an incoming request.
func Extract(ctx context.Context, header http.Header) context.Context {
	return otel.GetTextMapPropagator().Extract(ctx, propagation.HeaderCarrier(header))
}
