package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/ogen-go/ogen/ogenerrors"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/confio"
	"galenaward.example/galenaward/internal/wire/oasgen"
)

const stepDecode = "decode"

// NewError converts an error to the response that the caller receives.
func (h *handler) NewError(ctx context.Context, err error) *oasgen.FailureStatusCodeWithHeaders {
	f := h.entry.faultOf(err)
	out := &oasgen.FailureStatusCodeWithHeaders{StatusCode: f.Code.Status(), Response: failureBody(f, requestID(ctx))}
	if f.RetryAfterMS > 0 {
		out.RetryAfter = oasgen.NewOptInt(int((f.RetryAfterMS + 999) / 1000))
	}
	h.entry.metrics.Add("failed_"+string(f.Code), 1)
	return out
}

func failureBody(f *fault.Fault, id string) oasgen.Failure {
	e := oasgen.FailureError{
		Code: string(f.Code), Message: f.Message, Step: f.Step, Peer: f.Peer,
		Outcome: oasgen.FailureErrorOutcome(f.Outcome), RequestID: id,
	}
	if f.RetryAfterMS > 0 {
		e.RetryAfterMs = oasgen.NewOptInt64(f.RetryAfterMS)
	}
	return oasgen.Failure{Error: e}
}

// encodeFailure returns the body of a failure as JSON. It calls MarshalJSON of the generated type, since json.Marshal
// fails on optional fields that are not set.
func encodeFailure(f *fault.Fault, id string) []byte {
	body := failureBody(f, id)
	b, err := body.MarshalJSON()
	if err != nil {
		return []byte(`{}`)
	}
	return b
}

// faultOf returns the fault for an error of a handler, of the settings or of request decoding.
func (e *Entry) faultOf(err error) *fault.Fault {
	var f *fault.Fault
	var sec *ogenerrors.SecurityError
	var big *http.MaxBytesError
	switch {
	case errors.As(err, &f):
		return f
	case errors.As(err, &sec):
		return fault.New(fault.Unauthenticated, "authenticate", e.vm, "present a key as Authorization: Bearer KEY")
	case errors.As(err, &big):
		return fault.New(fault.BodyTooLarge, stepDecode, e.vm, "body is larger than %d bytes", big.Limit)
	case errors.Is(err, conf.ErrStale):
		return fault.New(fault.StaleVersion, "settings", e.vm, "%s", err)
	case errors.Is(err, conf.ErrDuplicate):
		return fault.New(fault.AlreadyExists, "settings", e.vm, "%s", err)
	case errors.Is(err, conf.ErrInvalid):
		return fault.New(fault.InvalidRequest, "settings", e.vm, "%s", err)
	case errors.Is(err, confio.ErrUnconfirmed):
		u := fault.New(fault.LogUnavailable, "settings", e.vm, "%s; read it back before trying again", err)
		return u.WithOutcome(fault.Unknown).WithRetryAfter(time.Second)
	}
	if c := ogenerrors.ErrorCode(err); c < http.StatusInternalServerError {
		return fault.New(fault.InvalidRequest, stepDecode, e.vm, "%s", err)
	}
	return fault.FromError(err, "handle", e.vm)
}

// decodeError responds to requests that fail before they reach a handler.
func (h *handler) decodeError(ctx context.Context, w http.ResponseWriter, _ *http.Request, err error) {
	writeFailure(ctx, w, h.entry.faultOf(err))
	h.entry.metrics.Add("failed_decode", 1)
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	writeFailure(r.Context(), w,
		fault.New(fault.UnknownRoute, stepRoute, h.entry.vm, "no route %s %s", r.Method, r.URL.Path))
}
