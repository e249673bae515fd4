package owner

import "galenaward.example/galenaward/internal/state/store"

// Limits are the sizes that the store accepts.
type Limits struct {
	// RecordBytes is the maximum size of a record, AppendBytes that of the records of one append together.
	RecordBytes, AppendBytes int
}

// DefaultLimits returns the limits that hold unless WithLimits sets others.
func DefaultLimits() Limits { return Limits{RecordBytes: 256 << 10, AppendBytes: 2 << 20} }

// batch is a sequence of records that become durable together.
type batch struct {
	records []store.Record
	// size is the number of bytes that the store counts for the records.
	size int
	// ticket is the ticket of the change that the batch is part of.
	ticket int64
}

// batchesOf divides the records of a change into batches of at most limit bytes.
func batchesOf(records []store.Record, limit int) []batch {
	var out []batch
	for _, part := range store.Divide(records, limit) {
		b := batch{records: part}
		for _, r := range part {
			b.size += r.Size()
		}
		out = append(out, b)
	}
	return out
}
