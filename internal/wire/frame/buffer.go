package frame

import (
	"context"
	"encoding/json"
	"sync"

	"galenaward.example/galenaward/internal/plat/fault"
)

// Buffer stores the frames of one stream, so that a reader can start at any position and resume after a lost
// connection. It is safe for concurrent use.
type Buffer struct {
	mu      sync.Mutex
	frames  []Frame
	changed chan struct{}
}

// NewBuffer returns an empty buffer.
func NewBuffer() *Buffer { return &Buffer{changed: make(chan struct{})} }

// Chunk appends a frame of kind Chunk.
func (b *Buffer) Chunk(data json.RawMessage) { b.add(Frame{Kind: Chunk, Data: data}) }

// Done ends the stream successfully with its result.
func (b *Buffer) Done(data json.RawMessage) { b.add(Frame{Kind: Done, Data: data}) }

// Fail ends the stream with a fault.
func (b *Buffer) Fail(f *fault.Fault) { b.add(Frame{Kind: Fail, Fault: f}) }

// Ended reports whether the stream is complete or has failed.
func (b *Buffer) Ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ended()
}

// add appends a frame. Once the stream has ended, further frames are dropped.
func (b *Buffer) add(f Frame) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended() {
		return
	}
	f.Pos = len(b.frames)
	b.frames = append(b.frames, f)
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *Buffer) ended() bool {
	return len(b.frames) > 0 && b.frames[len(b.frames)-1].Last()
}

// From returns the frames from pos on and a channel that is closed when more are added.
func (b *Buffer) From(pos int) ([]Frame, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if pos >= len(b.frames) {
		return nil, b.changed
	}
	return b.frames[pos:len(b.frames):len(b.frames)], b.changed
}

// Next waits for the frame at pos and returns it.
func (b *Buffer) Next(ctx context.Context, pos int) (Frame, error) {
	for {
		fs, changed := b.From(pos)
		if len(fs) > 0 {
			return fs[0], nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return Frame{}, ctx.Err()
		}
	}
}
