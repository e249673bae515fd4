package entry

import (
	"sync"
	"time"

	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

// voucher confirms the holders of other slots while the log is unavailable, and records when it did so. It does this
// only while this entry holds a slot itself.
type voucher struct {
	store     *conf.Store
	lease     func() rate.Lease
	mu        sync.Mutex
	vouchedAt map[int64]time.Time
}

func newVoucher(store *conf.Store, lease func() rate.Lease) *voucher {
	return &voucher{store: store, lease: lease, vouchedAt: make(map[int64]time.Time)}
}

// answer vouches for the holder if it is the one that this entry knows of. It also returns the time since this entry
// last vouched for a holder of the slot. For which holders an earlier holder of this entry's slot vouched is not known,
// so that time starts no earlier than this entry's lease.
func (v *voucher) answer(r *ctlpb.VouchRequest) *ctlpb.VouchResponse {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := &ctlpb.VouchResponse{SettingsVersion: v.store.State().Version}
	own, now, slot := v.lease(), time.Now(), int64(r.Slot)
	if !own.Valid(now) {
		return out
	}
	if r.Holder != "" && v.store.State().Slots[slot].Holder == r.Holder {
		out.Vouched = true
		v.vouchedAt[slot] = now
	}
	last := own.Since()
	if at := v.vouchedAt[slot]; at.After(last) {
		last = at
	}
	out.SinceMs = now.Sub(last).Milliseconds()
	return out
}
