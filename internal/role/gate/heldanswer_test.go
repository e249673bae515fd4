package gate

import (
	"io"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/serve"
)

// TestHeldAnswersShareOneBudget guards against answers that together take more memory than there is, and against memory that is
// not given back.
func TestHeldAnswersShareOneBudget(t *testing.T) {
	is := is.New(t)
	const total = 1 << 20
	g := &Gateway{answerBudget: serve.NewBudget(total, 0)}
	var answers []*HeldAnswer
	refused := 0
	for range 20 {
		a := g.HoldAnswer()
		answers = append(answers, a)
		is.NoErr(a.Add(freeAnswerBytes)) // Always free.
		var err error
		for range 40 {
			if err = a.Add(4 << 10); err != nil {
				break
			}
		}
		if err != nil {
			is.True(errors.Is(err, ErrAnswerMemory))
			refused++
		}
	}
	is.True(refused > 10)
	is.True(g.answerBudget.Used() > total/2)
	is.True(g.answerBudget.Used() <= total)
	before := g.answerBudget.Used()
	for _, a := range answers {
		a.End()
	}
	is.Equal(g.answerBudget.Used(), before/answerCost*endedCost)
	for _, a := range answers {
		a.Release()
		a.Release()
	}
	is.Equal(g.answerBudget.Used(), int64(0))
}

// TestReadAnswerKeepsToTheMemory guards against plain answers that are read beyond the memory there is, against short ones that
// need any, and against the loss of bytes where the reading stops.
func TestReadAnswerKeepsToTheMemory(t *testing.T) {
	tests := []struct {
		name        string
		size, total int
		read        int
		whole       bool
	}{
		{"empty", 0, 0, 0, true},
		{"short", 800, 0, 800, true},
		{"free", freeAnswerBytes, 0, freeAnswerBytes, false},
		{"long", 100_000, 8 << 20, 100_000, true},
		{"as long as may be read", maxBufferedAnswer, 8 << 20, maxBufferedAnswer, false},
		{"longer", 3 * maxBufferedAnswer, 8 << 20, maxBufferedAnswer, false},
		{"long without memory", 100_000, 0, freeAnswerBytes, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &Gateway{answerBudget: serve.NewBudget(int64(tt.total), 0)}
			other := g.HoldAnswer()
			is.NoErr(other.Add(freeAnswerBytes + 1)) // An answer that is alone is never refused.
			held := g.HoldAnswer()
			text := strings.Repeat("x", tt.size)
			r := strings.NewReader(text)
			b, whole, err := readAnswer(r, held)
			is.NoErr(err)
			is.Equal(len(b), tt.read)
			is.Equal(whole, tt.whole)
			rest, err := io.ReadAll(r)
			is.NoErr(err)
			is.Equal(string(b)+string(rest), text)
		})
	}
}
