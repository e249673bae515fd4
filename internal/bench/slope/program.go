package slope

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"galenaward.example/galenaward/internal/state/chain"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/state/prog"
	"galenaward.example/galenaward/internal/stub/memlog"
)

const instance = "engine-0.aaaaaaaa"

// records returns the log records of a program with the given numbers of turns and tokens.
func records(root string, turns, tokens int) []prog.Record {
	out := []prog.Record{{Root: root, Epoch: 1, Open: &prog.Open{
		Program: root, Workspace: "demo", Model: "m", Budget: 1 << 40, Granted: 1 << 40, Holder: instance,
	}}}
	text := strings.Repeat("word", max(1, tokens/turns/2))
	for i := range turns {
		answer := json.RawMessage(fmt.Sprintf(`{"choices":[{"message":{"content":%q}}]}`, text))
		out = append(out, prog.Record{Root: root, Epoch: 1, Turn: &prog.Turn{
			Program: root, Number: i + 1, Key: fmt.Sprint("call-", i), Response: answer,
			Messages: []prog.Message{prog.NewTextMessage("user", text), prog.NewTextMessage("assistant", text)},
		}})
	}
	return out
}

func applyAll(rs []prog.Record) prog.Tree {
	var t prog.Tree
	for _, r := range rs {
		t = t.Apply(r)
	}
	return t
}

// Programs measures the memory that a program takes on its home, by tokens of history.
func Programs() []Row {
	var out []Row
	for _, tokens := range []int{1000, 8000, 60_000, 240_000} {
		turns := max(2, tokens*450/240_000)
		out = append(out, Row{
			"home: memory of one program", "token of history", tokens,
			heapBytes(func() any { return applyAll(records(instance+"~root", turns, tokens)) }), bytes,
		})
	}
	return out
}

// Takeover measures the time to read a program back from the log stream of its previous home, by programs in that
// stream.
func Takeover() ([]Row, error) {
	var out []Row
	for _, n := range []int{1, 10, 40} {
		l := memlog.New()
		for i := range n {
			if err := appendRecords(l, records(fmt.Sprintf("%s~root%d", instance, i), 450, 240_000)); err != nil {
				return nil, err
			}
		}
		var err error
		took := meanMicros(func() { _, err = chain.Resolve(context.Background(), l, instance+"~root0") })
		if err != nil {
			return nil, err
		}
		out = append(out,
			Row{"takeover: read back 450 turns", "program in the stream", n, took, micros},
			Row{"log: a home's stream", "program of 240,000 tokens", n, float64(l.Usage().Bytes), bytes})
	}
	return out, nil
}

// appendRecords appends each record to the log in a batch of its own, as a home does for each turn.
func appendRecords(l *memlog.Log, rs []prog.Record) error {
	for _, r := range rs {
		b, err := json.Marshal(plog.Batch[prog.Record]{ID: "0b7e3f5c-0000-0000-0000-000000000000", Records: []prog.Record{r}})
		if err != nil {
			return err
		}
		if _, err := l.Append(context.Background(), prog.HolderStream(instance), b); err != nil {
			return err
		}
	}
	return nil
}

// Checkpoint measures the size of the record that a takeover writes, by tokens of history.
func Checkpoint() ([]Row, error) {
	var out []Row
	for _, tokens := range []int{8000, 60_000, 240_000} {
		t := applyAll(records(instance+"~root", max(2, tokens*450/240_000), tokens))
		b, err := json.Marshal(prog.Record{Root: t.Root, Epoch: 1, Checkpoint: &prog.Checkpoint{Tree: &t}})
		if err != nil {
			return nil, err
		}
		out = append(out, Row{"log: checkpoint of one program", "token of history", tokens, float64(len(b)), bytes})
	}
	return out, nil
}
