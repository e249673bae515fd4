package slope

import (
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"galenaward.example/galenaward/internal/sched/fairq"
	"galenaward.example/galenaward/internal/sched/member"
	"galenaward.example/galenaward/internal/sched/rate"
	"galenaward.example/galenaward/internal/sched/route"
	"galenaward.example/galenaward/internal/wire/ctlpb"
)

// httpOverhead is the number of header bytes of one control request and its response, as net/http writes them.
const httpOverhead = 420

func newTable(n int) member.Table {
	t := member.NewTable(time.Hour)
	for i := range n {
		t = t.WithReport(newNode(i))
	}
	return t
}

func newNode(i int) member.Node {
	return member.Node{
		VM: fmt.Sprint("engine-", i), Instance: fmt.Sprintf("engine-%d.aaaaaaaa", i), Address: "10.0.0.1:7000",
		DataCentre: "auckland", Models: []string{"m"}, Capacity: 8, Up: true, LastReport: time.Now(),
	}
}

// Members measures an entry's membership table by the number of sidecars.
func Members() []Row {
	var out []Row
	for _, n := range []int{22, 50, 400, 4600} {
		t := newTable(n)
		live := t.Alive(time.Now(), func(member.Node) bool { return true })
		rng := newRand()
		out = append(out,
			Row{"membership: memory", "sidecar that reports", n, heapBytes(func() any { return newTable(n) }), bytes},
			Row{
				"membership: one report applied", "sidecar that reports", n,
				meanMicros(func() { t.WithReport(newNode(0)) }), micros,
			},
			Row{
				"routing: one choice", "sidecar that reports", n,
				meanMicros(func() { route.DefaultPolicy().Order(live, "engine-0", "auckland", 3, rng) }), micros,
			})
	}
	return out
}

// Messages returns the size of each control request with its response and their headers.
func Messages() []Row {
	report := &ctlpb.ReportRequest{
		Vm: "engine-0123", Instance: "engine-0123.aaaaaaaa", Address: "10.10.10.10:7000", DataCentre: "auckland",
		Models: []string{"model-name-1"}, Running: 8, Queued: 3, Capacity: 8, UpstreamUp: true, SettingsVersion: 123456,
	}
	borrow := &ctlpb.BorrowRequest{Workspace: "workspace-0123", Slot: 123, Tokens: 3.5, Borrower: "entry-0123", Spent: []*ctlpb.Spend{{Loan: 1 << 62, Tokens: 2}}}
	vouch := &ctlpb.VouchRequest{Slot: 123, Holder: "entry-0123.aaaaaaaa"}
	size := func(m proto.Message) float64 { return float64(proto.Size(m) + httpOverhead) }
	return []Row{
		{"control: report and answer", "message", 1, size(report), bytes},
		{"control: loan request and answer", "message", 1, size(borrow), bytes},
		{"control: vouch and answer", "message", 1, size(vouch), bytes},
	}
}

// RateAndQueue measures the token bucket of a rate limit and the fair queue.
func RateAndQueue() []Row {
	var out []Row
	q := rate.Quota{Rate: 1e9, Burst: 1e9}
	b := rate.NewBucket(1e9, time.Now())
	out = append(out, Row{
		"rate: one request admitted", "request", 1,
		meanMicros(func() { b, _ = b.Refill(q, time.Now()).Take(1) }), micros,
	})
	for _, n := range []int{10, 100, 1000} {
		sq := fairq.NewQueue[int](time.Hour)
		now := time.Now()
		for i := range n {
			sq.Push(fairq.Item[int]{
				ID: fmt.Sprint(i), Workspace: fmt.Sprint("w", i%8), Weight: 1, Cost: 10, QueuedAt: now,
			})
		}
		out = append(out, Row{"queue: one request in and out", "waiting request", n, meanMicros(func() {
			it, _ := sq.Pop(now)
			sq.Settle(it, 10)
			sq.Push(it)
		}), micros})
	}
	return out
}
