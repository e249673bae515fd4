package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"regexp"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/plat/serve"
	"galenaward.example/galenaward/internal/plat/telem"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/propagation"
)

const (
	headerRequestID = "X-Request-Id"
	// retryOtherEntry is when a caller may send a refused request to another entry, which can serve it at once.
	retryOtherEntry = 10 * time.Millisecond
)

type requestIDKey struct{}

func requestID(ctx context.Context) string {
	id, _ := ctx.Value(requestIDKey{}).(string)
	return id
}

// secretPattern matches the secrets of the keys that galenaward issues.
var secretPattern = regexp.MustCompile(keyPrefix + `[a-z0-9]+_[a-z0-9]+`)

// wrap adds to each request an id, a trace span and a limit on the body, and flushes its response after every write. It
// refuses requests that are read too late in a shutdown, and ends others in time for a response.
func (e *Entry) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		ctx, release := e.shutdown.WithEnd(r.Context())
		defer release()
		ctx = context.WithValue(ctx, requestIDKey{}, id)
		ctx = e.tracer.Extract(ctx, propagation.HeaderCarrier(r.Header))
		ctx, span := e.tracer.Start(ctx, "entry")
		defer span.End()
		span.SetAttributes(attribute.String("request.id", id), attribute.String("http.route", r.URL.Path))
		w.Header().Set(headerRequestID, id)
		begun := time.Now()
		fw := &flushWriter{w: w, rc: http.NewResponseController(w)}
		if e.shutdown.Begun() {
			w.Header().Set("Connection", "close")
		}
		f := e.checkBody(w, r)
		if f == nil {
			f = e.checkShutdown()
		}
		if f != nil {
			writeFailure(ctx, fw, f)
		} else {
			next.ServeHTTP(fw, r.WithContext(ctx))
		}
		e.metrics.Add("requests", 1)
		telem.Debug(e.logger, "request", "request_id", id, "method", r.Method, "path", r.URL.Path,
			"status", fw.status, "ms", time.Since(begun).Milliseconds())
	})
}

// checkBody reads the body up to MaxBodyBytes. It rejects a body that contains a caller's key, since bodies are sent
// to upstreams.
func (e *Entry) checkBody(w http.ResponseWriter, r *http.Request) *fault.Fault {
	if r.Body == nil || r.Method == http.MethodGet {
		return nil
	}
	if f := e.checkType(r); f != nil {
		return f
	}
	limit := e.conf.MaxBodyBytes
	body, err := serve.ReadBody(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	if err != nil {
		return e.bodyFault(err, limit)
	}
	if e.carriesKey(body) {
		return fault.New(fault.InvalidRequest, stepDecode, e.vm,
			"the body contains a caller's key; send keys in the Authorization header only")
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	return nil
}

// checkShutdown refuses a request that was read after the entry stopped accepting them.
func (e *Entry) checkShutdown() *fault.Fault {
	if e.shutdown.Closed() {
		return fault.New(fault.Unready, stepDecode, e.vm, "the entry is shutting down").WithRetryAfter(retryOtherEntry)
	}
	return nil
}

// checkType accepts JSON bodies. A body without a type, or with the type that curl sends by default, counts as JSON.
func (e *Entry) checkType(r *http.Request) *fault.Fault {
	given := r.Header.Get("Content-Type")
	switch kind, _, _ := mime.ParseMediaType(given); kind {
	case "application/json":
	case "", "application/x-www-form-urlencoded":
		r.Header.Set("Content-Type", "application/json")
	default:
		return fault.New(fault.InvalidRequest, stepDecode, e.vm, "header Content-Type: %q is not application/json", given)
	}
	return nil
}

func (e *Entry) bodyFault(err error, limit int64) *fault.Fault {
	if _, ok := err.(*http.MaxBytesError); ok {
		return fault.New(fault.BodyTooLarge, stepDecode, e.vm, "body is larger than %d bytes", limit)
	}
	if errors.Is(err, serve.ErrBudget) {
		return fault.New(fault.Overloaded, stepDecode, e.vm, "%s", err).WithRetryAfter(retryOtherEntry)
	}
	return fault.New(fault.InvalidRequest, stepDecode, e.vm, "body could not be read: %s", err)
}

// carriesKey reports whether the body contains an issued key, also if it is written with JSON escapes.
func (e *Entry) carriesKey(body []byte) bool {
	if bytes.Contains(body, []byte(`\u`)) {
		var v any
		if json.Unmarshal(body, &v) == nil {
			if plain, err := json.Marshal(v); err == nil {
				body = plain
			}
		}
	}
	for _, s := range secretPattern.FindAll(body, -1) {
		if _, ok := e.store.State().KeyBySecret(string(s)); ok {
			return true
		}
	}
	return false
}

// flushWriter flushes after every write. It hides the optional methods of the ResponseWriter, such as ReadFrom, by
// which io.Copy would bypass it.
type flushWriter struct {
	w      http.ResponseWriter
	rc     *http.ResponseController
	status int
}

// Header returns the response headers.
func (f *flushWriter) Header() http.Header { return f.w.Header() }

// WriteHeader sends the status.
func (f *flushWriter) WriteHeader(status int) {
	f.status = status
	f.w.WriteHeader(status)
}

// Write sends the bytes.
func (f *flushWriter) Write(b []byte) (int, error) {
	n, err := f.w.Write(b)
	if err != nil {
		return n, err
	}
	return n, f.rc.Flush()
}

func writeFailure(ctx context.Context, w http.ResponseWriter, f *fault.Fault) {
	body := encodeFailure(f, requestID(ctx))
	w.Header().Set("Content-Type", "application/json")
	if f.RetryAfterMS > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt((f.RetryAfterMS+999)/1000, 10))
	}
	w.WriteHeader(f.Code.Status())
	_, _ = w.Write(append(body, '\n'))
}
