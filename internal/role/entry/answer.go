package entry

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"galenaward.example/galenaward/internal/plat/fault"
	"galenaward.example/galenaward/internal/wire/chat"
	"galenaward.example/galenaward/internal/wire/frame"
)

const (
	// frameBuffer is the number of frames buffered between the home's connection and the caller's.
	frameBuffer = 16
	// keepAliveInterval is the time without events after which a comment is sent to keep the caller's stream alive.
	keepAliveInterval = 5 * time.Second
)

// answerStream reads the frames of one call at the entry.
type answerStream struct {
	frames <-chan frame.Frame
	ctx    context.Context
	first  frame.Frame
	entry  *Entry
	id     string
}

// frameSource runs a call and emits its frames, of which the last is Done or Fail.
type frameSource interface {
	run(ctx context.Context, emit func(frame.Frame))
}

// startCall starts the call and waits for its first frame. If that is a failure, it is returned as a fault, so that the
// caller receives its HTTP status.
func (e *Entry) startCall(ctx context.Context, id string, from frameSource) (*answerStream, *fault.Fault) {
	ch := make(chan frame.Frame, frameBuffer)
	e.group.Go(func(context.Context) error {
		defer close(ch)
		from.run(ctx, func(f frame.Frame) {
			select {
			case ch <- f:
			case <-ctx.Done():
			}
		})
		return nil
	})
	a := &answerStream{frames: ch, ctx: ctx, entry: e, id: id}
	a.first = a.next()
	if a.first.Kind == frame.Fail {
		return nil, a.first.Fault
	}
	return a, nil
}

// next returns the next frame. If the stream was interrupted, it is a failure.
func (a *answerStream) next() frame.Frame {
	select {
	case f, ok := <-a.frames:
		if ok {
			return f
		}
	case <-a.ctx.Done():
	}
	return frame.Frame{Kind: frame.Fail, Fault: a.cutFault()}
}

// cutFault returns the fault of an interrupted stream: the cause of the cancellation if that is a fault.
func (a *answerStream) cutFault() *fault.Fault {
	if f, ok := context.Cause(a.ctx).(*fault.Fault); ok {
		return f
	}
	return fault.New(fault.UpstreamTimeout, "relay", a.entry.vm,
		"the answer was interrupted: %v", context.Cause(a.ctx)).WithOutcome(fault.Unknown)
}

// readAll reads the answer to its end and returns the data of its Done frame.
func (a *answerStream) readAll() (json.RawMessage, *fault.Fault) {
	for f := a.first; ; f = a.next() {
		switch f.Kind {
		case frame.Done:
			return f.Data, nil
		case frame.Fail:
			return nil, f.Fault
		}
	}
}

// eventReader encodes an answer as server-sent events. Only a complete answer ends with chat.DoneMarker.
type eventReader struct {
	answer  *answerStream
	buf     []byte
	started bool
	ended   bool
}

// Read copies encoded events to p and blocks until there is one.
func (v *eventReader) Read(p []byte) (int, error) {
	if len(v.buf) == 0 {
		if v.ended {
			return 0, io.EOF
		}
		v.fill()
	}
	n := copy(p, v.buf)
	v.buf = v.buf[n:]
	return n, nil
}

// WriteTo writes all events to w. With it, io.Copy needs no buffer.
func (v *eventReader) WriteTo(w io.Writer) (int64, error) {
	var sum int64
	for !v.ended || len(v.buf) > 0 {
		if len(v.buf) == 0 {
			v.fill()
		}
		n, err := w.Write(v.buf)
		sum += int64(n)
		v.buf = v.buf[:0]
		if err != nil {
			return sum, err
		}
	}
	return sum, nil
}

func (v *eventReader) fill() {
	if !v.started {
		v.started = true
		v.addFrame(v.answer.first)
		return
	}
	t := time.NewTimer(keepAliveInterval)
	defer t.Stop()
	select {
	case f, ok := <-v.answer.frames:
		if !ok {
			f = frame.Frame{Kind: frame.Fail, Fault: v.answer.cutFault()}
		}
		v.addFrame(f)
	case <-v.answer.ctx.Done():
		v.addFrame(frame.Frame{Kind: frame.Fail, Fault: v.answer.cutFault()})
	case <-t.C:
		v.buf = append(v.buf, ": keep-alive\n\n"...)
	}
}

func (v *eventReader) addFrame(f frame.Frame) {
	switch f.Kind {
	case frame.Chunk:
		v.addEvent(f.Data)
	case frame.Done:
		v.ended = true
		v.addEvent([]byte(chat.DoneMarker))
	case frame.Fail:
		v.ended = true
		v.answer.entry.metrics.Add("streams_cut", 1)
		v.addEvent(encodeFailure(f.Fault, v.answer.id))
	}
}

func (v *eventReader) addEvent(data []byte) {
	v.buf = append(v.buf, "data: "...)
	v.buf = append(v.buf, data...)
	v.buf = append(v.buf, "\n\n"...)
}
