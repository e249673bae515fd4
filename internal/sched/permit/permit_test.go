package permit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var noon = time.Unix(1_700_000_000, 0)

const perSecond = 28.0

// TestAllocatorStartsEmpty guards against a successor that grants what its predecessor has granted already.
func TestAllocatorStartsEmpty(t *testing.T) {
	is := is.New(t)
	start := noon.Add(350 * time.Millisecond)
	a := NewAllocator(start)
	for _, at := range []time.Time{noon, start} {
		_, g := a.Grant(perSecond, 3, at)
		is.Equal(g.Permits, 0)
		is.Equal(g.Refused, 3)
	}
	_, g := a.Grant(perSecond, 3, start.Add(72*time.Millisecond))
	is.Equal(g.Permits, 2)
}

// TestAllocatorGrantsRateAndBurst guards against more permits in a window than the rate and the burst allow.
func TestAllocatorGrantsRateAndBurst(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(noon)
	granted := 0
	for ms := 10_000; ms < 12_000; ms++ { // The bucket is full.
		var g Grant
		a, g = a.Grant(perSecond, 2, noon.Add(time.Duration(ms)*time.Millisecond))
		granted += g.Permits
	}
	is.True(granted <= 2*perSecond+Burst)
	is.True(granted >= 2*perSecond+Burst-1)
}

// TestRetryAfterGrowsWithCompetition guards against many gateways that all ask for each permit of one upstream.
func TestRetryAfterGrowsWithCompetition(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(noon)
	a, first := a.Grant(perSecond, 1, noon)
	is.Equal(first.RetryAfter, time.Second/28)
	var last Grant
	for range 400 {
		a, last = a.Grant(perSecond, 1, noon)
	}
	is.Equal(last.RetryAfter, maxRetryAfter)
	_, later := a.Grant(perSecond, 100, noon.Add(20*time.Second))
	is.Equal(later.Permits, int(Burst))
	is.True(later.RetryAfter < 100*time.Millisecond)
}

// TestForgottenAllocatorGrantsNoMore guards against permits that are granted twice since the allocator's state was dropped.
func TestForgottenAllocatorGrantsNoMore(t *testing.T) {
	is := is.New(t)
	a := NewAllocator(noon)
	at := noon.Add(10 * time.Second)
	is.True(a.Forgettable(perSecond, noon, at))
	a, _ = a.Grant(perSecond, 4, at)
	is.True(!a.Forgettable(perSecond, noon, at))
	is.True(!a.Forgettable(perSecond, noon, at.Add(100*time.Millisecond)))
	is.True(a.Forgettable(perSecond, noon, at.Add(200*time.Millisecond)))
}

// TestValidityCountsFromTheRequest guards against permits whose answer was late: the time counts from the permit request.
func TestValidityCountsFromTheRequest(t *testing.T) {
	is := is.New(t)
	answered := noon.Add(200 * time.Millisecond)
	b, n := Borrower{}.WithWanted().WithWanted().Ask(noon)
	is.Equal(n, 2)
	b = b.WithGrant(noon, Grant{Permits: 2}, answered)
	is.Equal(b.Held(answered), 2)
	b, p, ok := b.Take(answered)
	is.True(ok)
	is.True(p.Valid(noon.Add(Validity - 1)))
	is.True(!p.Valid(noon.Add(Validity)))
	is.Equal(b.Held(noon.Add(Validity)), 0)
	_, _, ok = b.Take(noon.Add(Validity))
	is.True(!ok)
	b, void := b.WithoutExpired(noon.Add(Validity))
	is.Equal(void, 1)
	is.True(b.Empty(noon.Add(Validity)))
	is.True(!Permit{}.Valid(noon))
}

// TestBorrowerAsksOnce guards against a message for each request.
func TestBorrowerAsksOnce(t *testing.T) {
	is := is.New(t)
	b, n := Borrower{}.Ask(noon)
	is.Equal(n, 0)
	for range 10 {
		b = b.WithWanted()
	}
	b, n = b.Ask(noon)
	is.Equal(n, maxAsk)
	b, n = b.WithWanted().Ask(noon)
	is.Equal(n, 0) // The first message is under way.
	b = b.WithGrant(noon, Grant{Refused: 3, RetryAfter: 40 * time.Millisecond}, noon)
	is.Equal(b.DueIn(noon), 40*time.Millisecond)
	_, n = b.Ask(noon.Add(39 * time.Millisecond))
	is.Equal(n, 0)
	b, n = b.Ask(noon.Add(40 * time.Millisecond))
	is.Equal(n, 1)
	b = b.WithFailure(noon.Add(40 * time.Millisecond)).WithWanted()
	_, n = b.Ask(noon.Add(60 * time.Millisecond))
	is.Equal(n, 0)
}
