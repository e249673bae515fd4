package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"galenaward.example/galenaward/internal/plat/group"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/state/confio"
	"galenaward.example/galenaward/internal/state/plog"
	"galenaward.example/galenaward/internal/stub/memlog"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

const (
	shortLease = 10 * time.Second
	longOutage = 10 * time.Minute
)

// testHolder is one entry of a slotFleet.
type testHolder struct {
	claimer *slotClaimer
	limiter *limiter
	voucher *voucher
	logCut  atomic.Bool
	// isolated is set while the holder cannot reach its peers.
	isolated atomic.Bool
	frozen   atomic.Bool
	dead     atomic.Bool
}

// faultyLog is the log as seen by one holder, which may be unable to reach it.
type faultyLog struct {
	plog.Log
	holder *testHolder
}

func (c faultyLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if c.holder.logCut.Load() || c.holder.frozen.Load() || c.holder.dead.Load() {
		return 0, plog.ErrUnavailable
	}
	return c.Log.Append(ctx, stream, data)
}

func (c faultyLog) Read(ctx context.Context, stream string, from, waitMS int64) (plog.Page, error) {
	if c.holder.logCut.Load() || c.holder.frozen.Load() || c.holder.dead.Load() {
		return plog.Page{}, plog.ErrUnavailable
	}
	return c.Log.Read(ctx, stream, from, waitMS)
}

// slotFleet is a set of entries that share slots and a log.
type slotFleet struct {
	log     *memlog.Log
	group   *group.Group
	holders []*testHolder
}

// memoryVoucherClient connects one holder to the others.
type memoryVoucherClient struct {
	fleet *slotFleet
	from  *testHolder
}

func (p memoryVoucherClient) ask(slot int64, q *ctlpb.VouchRequest) (*ctlpb.VouchResponse, error) {
	name := p.from.claimer.store.State().Slots[slot].Holder
	for _, h := range p.fleet.holders {
		if h.claimer.instance == name && !h.isolated.Load() && !p.from.isolated.Load() &&
			!h.frozen.Load() && !h.dead.Load() {
			return h.voucher.answer(q), nil
		}
	}
	return nil, errPartitioned
}

func (p memoryVoucherClient) Vouch(_ context.Context, slot, about int64, instance string) bool {
	resp, err := p.ask(slot, &ctlpb.VouchRequest{Slot: int32(about), Holder: instance})
	return err == nil && resp.Vouched
}

func (p memoryVoucherClient) LastVouched(_ context.Context, slot, about int64) (time.Duration, error) {
	resp, err := p.ask(slot, &ctlpb.VouchRequest{Slot: int32(about)})
	if err != nil {
		return 0, err
	}
	return time.Duration(resp.SinceMs) * time.Millisecond, nil
}

// add starts an entry on the VM that claims the slot.
func (r *slotFleet) add(vm string, slot int64) *testHolder {
	h := &testHolder{}
	store := conf.NewStore()
	f := confio.NewFollower(faultyLog{r.log, h}, store)
	h.limiter = newLimiter(limiterOptions{vm: vm, slot: slot, slots: 3, shares: 3, store: store, group: r.group})
	h.voucher = newVoucher(store, h.limiter.Lease)
	h.claimer = &slotClaimer{
		instance: fmt.Sprintf("%s.%d", vm, len(r.holders)), slot: slot, lease: shortLease, maxOutage: longOutage,
		follower: f, store: store, limiter: h.limiter, logger: log.NewNopLogger(), voucherClient: memoryVoucherClient{r, h},
	}
	r.holders = append(r.holders, h)
	r.group.Go(f.Run)
	r.group.Go(func(ctx context.Context) error {
		for ctx.Err() == nil {
			wait := slotPollInterval
			if !h.frozen.Load() && !h.dead.Load() {
				wait = h.claimer.step(ctx)
			}
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		return nil
	})
	return h
}

// countValid returns how many processes may use the slot now. A suspended process counts, since it may resume at any
// time.
func (r *slotFleet) countValid(slot int64) int {
	n := 0
	for _, h := range r.holders {
		if h.claimer.slot == slot && !h.dead.Load() && h.limiter.Lease().Valid(time.Now()) {
			n++
		}
	}
	return n
}

// checkExclusive lets the time pass and fails the test if two processes may use the same slot at any time.
func (r *slotFleet) checkExclusive(t *testing.T, d time.Duration) {
	t.Helper()
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for s := range int64(3) {
			if n := r.countValid(s); n > 1 {
				t.Fatalf("%d processes may use slot %d", n, s)
			}
		}
	}
}

func slotTest(t *testing.T, f func(t *testing.T, is *is.I, r *slotFleet, hs []*testHolder)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		r := &slotFleet{log: memlog.New(), group: group.New(ctx)}
		var hs []*testHolder
		for i := range int64(3) {
			hs = append(hs, r.add(fmt.Sprint("entry-", i), i))
		}
		r.checkExclusive(t, 5*time.Second)
		is := is.New(t)
		is.Equal(r.countValid(0)+r.countValid(1)+r.countValid(2), 3)
		f(t, is, r, hs)
		cancel()
		_ = r.group.Wait()
	})
}

func TestSlotIsReclaimedAfterHolderDies(t *testing.T) {
	slotTest(t, func(t *testing.T, is *is.I, r *slotFleet, hs []*testHolder) {
		hs[0].dead.Store(true)
		next := r.add("entry-9", 0)
		r.checkExclusive(t, shortLease)
		is.Equal(r.countValid(0), 0) // The lease has to expire first.
		r.checkExclusive(t, 2*shortLease)
		is.True(next.limiter.Lease().Valid(time.Now()))
		is.True(!next.limiter.Lease().FirstHolder) // Its buckets start empty.
	})
}

func TestRestartedProcessReclaimsSlotAtOnce(t *testing.T) {
	slotTest(t, func(t *testing.T, is *is.I, r *slotFleet, hs []*testHolder) {
		hs[0].dead.Store(true)
		r.add("entry-0", 0)
		r.checkExclusive(t, 3*time.Second)
		is.Equal(r.countValid(0), 1)
	})
}

func TestSlotsAreKeptDuringLogOutage(t *testing.T) {
	slotTest(t, func(t *testing.T, is *is.I, r *slotFleet, hs []*testHolder) {
		r.log.SetFaults(memlog.Faults{Down: true})
		r.checkExclusive(t, 6*shortLease)
		is.Equal(r.countValid(0)+r.countValid(1)+r.countValid(2), 3)
		r.checkExclusive(t, 2*longOutage)
		// A successor that cannot ask other holders waits for at most this time.
		is.Equal(r.countValid(0)+r.countValid(1)+r.countValid(2), 0)
	})
}

func TestIsolatedHolderLosesItsSlot(t *testing.T) {
	slotTest(t, func(t *testing.T, is *is.I, r *slotFleet, hs []*testHolder) {
		hs[0].logCut.Store(true)
		hs[0].isolated.Store(true)
		next := r.add("entry-9", 0)
		r.checkExclusive(t, 4*shortLease)
		is.True(next.limiter.Lease().Valid(time.Now()))
		is.True(!hs[0].limiter.Lease().Valid(time.Now()))
		hs[0].logCut.Store(false)
		hs[0].isolated.Store(false)
		r.checkExclusive(t, 4*shortLease)
		is.True(next.limiter.Lease().Valid(time.Now()))
	})
}

func TestVouchedHolderKeepsItsSlot(t *testing.T) {
	slotTest(t, func(t *testing.T, is *is.I, r *slotFleet, hs []*testHolder) {
		hs[0].logCut.Store(true) // The others are connected to it and to the log; so is the successor to the log.
		next := r.add("entry-9", 0)
		r.checkExclusive(t, 10*shortLease)
		is.True(hs[0].limiter.Lease().Valid(time.Now()))
		is.True(!next.limiter.Lease().Valid(time.Now()))
	})
}

// TestSlotsUnderRandomFaults disconnects, suspends, stops and restores entries at random and checks that no two of them
// ever may use the same slot.
func TestSlotsUnderRandomFaults(t *testing.T) {
	for seed := range uint64(150) {
		slotTest(t, func(t *testing.T, _ *is.I, r *slotFleet, hs []*testHolder) {
			rng := rand.New(rand.NewPCG(seed, seed))
			hs = append(hs, r.add("entry-8", 0), r.add("entry-9", 1))
			for range 60 {
				h := hs[rng.IntN(len(hs))]
				switch rng.IntN(6) {
				case 0:
					h.logCut.Store(rng.IntN(2) == 0)
				case 1:
					h.isolated.Store(rng.IntN(2) == 0)
				case 2:
					h.frozen.Store(rng.IntN(2) == 0)
				case 3:
					r.log.SetFaults(memlog.Faults{Down: rng.IntN(3) == 0})
				case 4:
					r.log.SetFaults(memlog.Faults{DropResponses: rng.IntN(2) == 0})
				case 5:
					r.log.SetFaults(memlog.Faults{})
				}
				r.checkExclusive(t, time.Duration(rng.IntN(20))*time.Second)
			}
		})
	}
}
