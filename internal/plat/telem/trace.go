package telem

import (
	"context"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"go.opentelemetry.io/otel/attribute"
)

const tracerName = "galenaward"

// TraceConfig configures the export of spans. Without OTLPURL and Lines no span is recorded; trace context is still
// propagated.
type TraceConfig struct {
	// OTLPURL is the OTLP/HTTP endpoint, such as http://127.0.0.1:4318/v1/traces.
	OTLPURL string
	// Lines receives one JSON object per span if OTLPURL is empty.
	Lines io.Writer
	// Role and VM are recorded as resource attributes of every span.
	Role, VM string
}

// Tracer creates spans and propagates W3C trace context between processes.
type Tracer struct {
	trace.Tracer
	provider   *sdktrace.TracerProvider
	propagator propagation.TraceContext
}

// NewProcessTracer returns the tracer of a process. It exports spans to the URL or, if that is empty and lines is set,
// as JSON lines to standard output.
func NewProcessTracer(ctx context.Context, role, vm, url string, lines bool) (*Tracer, error) {
	c := TraceConfig{OTLPURL: url, Role: role, VM: vm}
	if lines {
		c.Lines = os.Stdout
	}
	return NewTracer(ctx, c)
}

// NewTracer returns a tracer for the configuration.
func NewTracer(ctx context.Context, c TraceConfig) (*Tracer, error) {
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", tracerName+"-"+c.Role),
			attribute.String("host.name", c.VM))),
	}
	exp, err := newExporter(ctx, c)
	if err != nil {
		return nil, errors.Wrapf(err, "trace exporter for %q", c.OTLPURL)
	}
	if exp == nil {
		opts = append(opts, sdktrace.WithSampler(sdktrace.NeverSample()))
	} else {
		opts = append(opts, sdktrace.WithBatcher(exp))
	}
	p := sdktrace.NewTracerProvider(opts...)
	return &Tracer{Tracer: p.Tracer(tracerName), provider: p}, nil
}

func newExporter(ctx context.Context, c TraceConfig) (sdktrace.SpanExporter, error) {
	if c.OTLPURL != "" {
		return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(c.OTLPURL))
	}
	if c.Lines != nil {
		return stdouttrace.New(stdouttrace.WithWriter(c.Lines))
	}
	return nil, nil
}

// Inject writes the trace context of ctx to a carrier, such as propagation.HeaderCarrier.
func (t *Tracer) Inject(ctx context.Context, c propagation.TextMapCarrier) {
	t.propagator.Inject(ctx, c)
}

// Extract returns ctx with the trace context that the carrier contains.
func (t *Tracer) Extract(ctx context.Context, c propagation.TextMapCarrier) context.Context {
	return t.propagator.Extract(ctx, c)
}

// Close exports the remaining spans and shuts the exporter down.
func (t *Tracer) Close(ctx context.Context) error { return t.provider.Shutdown(ctx) }
