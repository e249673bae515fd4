// Package store defines the interface to the platform's log service: partitions of keyed records with fenced writers,
// feeds that operators, upstreams and gateways publish, and a group that assigns partitions to its members.
package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrFenced means that a writer with a higher epoch holds the partition.
	ErrFenced = errors.New("fenced by a newer writer")
	// ErrSequence means that the sequence number of the append is not the writer's next one. The store did nothing.
	ErrSequence = errors.New("append out of sequence")
	// ErrCompacted means that records before an offset were removed. The newest record of each key is still there.
	ErrCompacted = errors.New("records were compacted")
	// ErrRefused means that the store refused the call and did nothing.
	ErrRefused = errors.New("refused by the store")
	// ErrInvalid means that the store can never accept the call as it is, and did nothing.
	ErrInvalid = errors.New("invalid for the store")
	// ErrOutcomeUnknown means that the outcome is unknown: no answer arrived, and the call may have taken effect or may
	// still take effect.
	ErrOutcomeUnknown = errors.New("no answer from the store")
)

// Record is a key and its newest value. A record with an empty value removes the key.
type Record struct {
	Key   string
	Value []byte
}

// Fence orders the writers of a partition by epoch and the appends of a writer by sequence number. The store rejects
// appends with a lower epoch than the partition's, and applies an append that is repeated with the same sequence number
// only once.
type Fence struct {
	Epoch    int64
	Sequence int64
}

// Page describes a page of the newest records of a partition; the records themselves were passed to the reader as they
// arrived. Consecutive pages do not form a consistent snapshot.
type Page struct {
	// After is the key after which the next page starts; empty on the last page.
	After string
	// End is the offset after the newest record.
	End int64
}

// Batch holds records of a feed, starting at an offset.
type Batch struct {
	Records []Record
	// Next is the offset at which to continue.
	Next int64
}

// Feed identifies a stream of records that the platform lets operators, upstreams or gateways write.
type Feed int

const (
	// Settings carries the operators' configuration.
	Settings Feed = iota
	// Upstreams carries the announcements of upstreams.
	Upstreams
	// Crashes carries reports between gateways about requests that crash upstreams.
	Crashes
)

// Assignment lists the partitions that are assigned to a member of the group.
type Assignment struct {
	// Generation increases with each change of the group.
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
	// Append writes all records or none. Without records, it only sets the epoch.
	Append(ctx context.Context, partition int, f Fence, records []Record) error
	// ReadNewest calls take with the newest record of each key greater than after, in key order, for one page of keys.
	// If it returns an error, take may have been called for some records of the page.
	ReadNewest(ctx context.Context, partition int, after string, take func(Record)) (Page, error)
}

// Feeds reads and publishes records of feeds.
type Feeds interface {
	// Snapshot returns the newest record of each key of the feed.
	Snapshot(ctx context.Context, f Feed) (Batch, error)
	// Follow returns records starting at offset from. It waits up to wait for the first one.
	Follow(ctx context.Context, f Feed, from int64, wait time.Duration) (Batch, error)
	// Publish adds all records or none to a feed that belongs to this system. The call is not fenced: after
	// ErrOutcomeUnknown the records may still be added, and they may be published again.
	Publish(ctx context.Context, f Feed, records []Record) error
}

// Group assigns the partitions to the members that renew their membership.
type Group interface {
	// Join starts or renews a membership for ttl and acknowledges the generation.
	Join(ctx context.Context, member string, generation int64, ttl time.Duration) (Assignment, error)
	// Leave ends a membership.
	Leave(ctx context.Context, member string) error
	// Owners returns the member that holds each partition.
	Owners(ctx context.Context) ([]Owner, error)
}

// Store is the complete log service.
type Store interface {
	Log
	Feeds
	Group
}
