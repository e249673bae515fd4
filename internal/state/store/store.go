// Package store is what the product needs of the platform's log service: keyed records in partitions whose writers
// are fenced, feeds of what operators and upstreams publish, and a group that spreads partitions over its members.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrFenced means that a writer with a higher epoch holds the partition.
	ErrFenced = errors.New("fenced by a newer writer")
	// ErrSequence means that the append is not the next of its writer. The store did nothing.
	ErrSequence = errors.New("append out of sequence")
	// ErrCompacted means that records before an offset are gone; the newest record of each key still stands.
	ErrCompacted = errors.New("records were compacted")
	// ErrRefused means that the store answered that it did nothing.
	ErrRefused = errors.New("refused by the store")
	// ErrUnknown means that no answer came, so that the call may have taken effect or may still do so.
	ErrUnknown = errors.New("no answer from the store")
)

// Record is the newest value of a key. A record without a value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Fence orders the writers of one partition and the appends of one writer. The store refuses lower epochs, and does
// an append that is repeated with the same sequence number once.
type Fence struct {
	Epoch    int64
	Sequence int64
}

// Page is a part of the newest records of a partition, whose records were handed to the reader as they arrived. Pages
// that are read one after another are no snapshot.
type Page struct {
	// After is the key to go on behind; empty on the last page.
	After string
	// End is the offset behind the newest record.
	End int64
}

// Batch is the records of a feed from an offset on.
type Batch struct {
	Records []Record
	// Next is the offset to go on from.
	Next int64
}

// Feed names a stream of records that the platform lets others write.
type Feed int

const (
	// Settings is the operators' configuration.
	Settings Feed = iota
	// Upstreams is what upstreams tell of themselves.
	Upstreams
	// Crashes is what gateways tell each other of requests that crash upstreams.
	Crashes
)

// Assignment is what a member of the group holds.
type Assignment struct {
	// Generation rises with each change of the group.
	Generation int64
	Partitions []int
}

// Owner is the member that holds a partition.
type Owner struct {
	Partition int
	Member    string
}

// Log holds partitions of keyed records.
type Log interface {
	// Append writes the records all or none. No records only set the epoch.
	Append(ctx context.Context, partition int, f Fence, records []Record) error
	// Newest hands the newest record of each key behind the key after to take, in the order of keys. After an error, some
	// records of the page may have been taken.
	Newest(ctx context.Context, partition int, after string, take func(Record)) (Page, error)
}

// Feeds reads what operators, upstreams and gateways publish.
type Feeds interface {
	// Snapshot returns the newest record of each key of the feed.
	Snapshot(ctx context.Context, f Feed) (Batch, error)
	// Follow returns records from the offset on, and waits up to wait for the first.
	Follow(ctx context.Context, f Feed, from int64, wait time.Duration) (Batch, error)
	// Publish adds records to a feed of the product's own, all or none. It has no fence: after ErrUnknown the records may
	// still be added, and may be published again.
	Publish(ctx context.Context, f Feed, records []Record) error
}

// Group spreads the partitions over the members that keep joining.
type Group interface {
	// Join begins or keeps a membership and acknowledges the generation.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (Assignment, error)
	// Leave ends a membership.
	Leave(ctx context.Context, member string) error
	// Owners returns who holds which partition.
	Owners(ctx context.Context) ([]Owner, error)
}

// Store is the whole service.
type Store interface {
	Log
	Feeds
	Group
}
