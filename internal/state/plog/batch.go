package plog

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Batch is the body of one append: the records that a Committer appends together.
type Batch[R any] struct {
	// ID is unique per batch. A batch can occur twice in the stream, if the response to its first append was lost.
	ID      string `json:"id"`
	Records []R    `json:"records"`
}

// DecodeBatch decodes the batch in an entry.
func DecodeBatch[R any](e Entry) (Batch[R], error) {
	var b Batch[R]
	if err := json.Unmarshal(e.Data, &b); err != nil {
		return b, errors.Wrapf(err, "decode batch at offset %d", e.Offset)
	}
	return b, nil
}
