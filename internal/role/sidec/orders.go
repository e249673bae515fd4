package sidec

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/log"

	"galenaward.example/galenaward/internal/plat/telem"
	"galenaward.example/galenaward/internal/role/runner"
	"galenaward.example/galenaward/internal/state/conf"
)

const (
	reconcileInterval = time.Second
	orderTimeout      = 5 * time.Second
)

// orderSender sends the orders of the log to the engine, each with its log offset as the fencing number. It compares
// them with the orders that the engine has executed. If a previous process sends an old order late to an engine that
// does not check fencing numbers, the newest order is sent again to override it.
type orderSender struct {
	vm       string
	upstream *runner.Upstream
	store    *conf.Store
	logger   log.Logger
	// checksFencing says that the engine rejects orders with an old fencing number.
	checksFencing bool
}

// engineOrder is an order in the engine's protocol.
type engineOrder struct {
	Fence   int64  `json:"fence"`
	Action  string `json:"action"`
	Subject string `json:"subject"`
}

// Run sends orders until ctx ends.
func (s *orderSender) Run(ctx context.Context) error {
	for {
		changed := s.store.Changed()
		if orders := s.store.State().Orders[s.vm]; len(orders) > 0 {
			if err := s.reconcile(ctx, orders); err != nil && ctx.Err() == nil {
				telem.Warn(s.logger, "order_not_given", "err", err)
			}
		}
		select {
		case <-changed:
		case <-time.After(reconcileInterval):
		case <-ctx.Done():
			return nil
		}
	}
}

// reconcile sends the orders that the engine has not executed. It sends the newest one again if the engine does not
// check fencing numbers and executed an older order after it.
func (s *orderSender) reconcile(ctx context.Context, orders []conf.Order) error {
	done, err := s.executedOrders(ctx)
	if err != nil {
		return err
	}
	last := int64(0)
	if len(done) > 0 {
		last = done[len(done)-1].Fence
	}
	newest := orders[len(orders)-1].FencingToken
	for _, o := range orders {
		known := slices.ContainsFunc(done, func(d engineOrder) bool { return d.Fence == o.FencingToken })
		overruled := !s.checksFencing && o.FencingToken == newest && last < newest
		if known && !overruled {
			continue
		}
		if err := s.send(ctx, engineOrder{Fence: o.FencingToken, Action: o.Action, Subject: o.Subject}); err != nil {
			return err
		}
		telem.Info(s.logger, "order_given", "fence", o.FencingToken, "action", o.Action, "subject", o.Subject)
	}
	return nil
}

func (s *orderSender) executedOrders(ctx context.Context) ([]engineOrder, error) {
	resp, err := s.request(ctx, http.MethodGet, nil)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	var body struct {
		Orders []engineOrder `json:"orders"`
	}
	if err := decodeEngine(resp.Body, &body); err != nil {
		return nil, errors.Wrapf(err, "decode orders of the engine on %s", s.vm)
	}
	return body.Orders, nil
}

// send sends one order. Status 409 means that the engine has executed a later order and is not an error.
func (s *orderSender) send(ctx context.Context, o engineOrder) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	resp, err := s.request(ctx, http.MethodPost, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusConflict {
		return errors.Newf("engine on %s rejected order %d with status %d", s.vm, o.Fence, resp.StatusCode)
	}
	return nil
}

func (s *orderSender) request(ctx context.Context, method string, body []byte) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	context.AfterFunc(ctx, cancel)
	req, err := http.NewRequestWithContext(ctx, method, s.upstream.BaseURL+"/orders", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	resp, err := s.upstream.Client.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "%s /orders at engine on %s", method, s.vm)
	}
	return resp, nil
}
