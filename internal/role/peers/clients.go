package peers

import (
	"context"
	"net/http"
	"time"

	"galenaward.example/galenaward/internal/state/conf"
	"galenaward.example/galenaward/internal/wire/ctlpb"
	"galenaward.example/galenaward/internal/wire/frame"
)

// ControlTimeout bounds a control request between processes.
const ControlTimeout = 2 * time.Second

const scheme = "http://"

// BaseURL returns the base BaseURL of a peer address.
func BaseURL(address string) string { return scheme + address }

// Clients creates control clients that share one HTTP client and its connections.
type Clients struct{ hc *http.Client }

// NewClients returns Clients that use the HTTP client.
func NewClients(hc *http.Client) *Clients { return &Clients{hc: hc} }

// HTTP returns the shared HTTP client.
func (c *Clients) HTTP() *http.Client { return c.hc }

// Entry returns a client for the entry process at the address.
func (c *Clients) Entry(address string) ctlpb.Entry {
	return ctlpb.NewEntryProtobufClient(BaseURL(address), c.hc)
}

// Sidecar returns a client for the sidecar at the address.
func (c *Clients) Sidecar(address string) ctlpb.Sidecar {
	return ctlpb.NewSidecarProtobufClient(BaseURL(address), c.hc)
}

// SidecarInstance returns a client for one instance of the sidecar at the address. Any other process that listens there
// rejects the requests.
func (c *Clients) SidecarInstance(address, instance string) ctlpb.Sidecar {
	return ctlpb.NewSidecarProtobufClient(BaseURL(address), instanceClient{c.hc, instance})
}

// instanceClient adds the expected instance to the headers of each request.
type instanceClient struct {
	hc       *http.Client
	instance string
}

// Do sends the request with the instance header.
func (c instanceClient) Do(req *http.Request) (*http.Response, error) {
	req.Header.Set(frame.InstanceHeader, c.instance)
	return c.hc.Do(req)
}

// syncer is the method that both control services provide for exchanging settings.
type syncer interface {
	Sync(ctx context.Context, r *ctlpb.SyncRequest) (*ctlpb.SyncResponse, error)
}

// FetchSettings requests the peer's settings and offers them to the store if they are newer.
func FetchSettings(ctx context.Context, from syncer, store *conf.Store) error {
	ctx, cancel := context.WithTimeout(ctx, ControlTimeout)
	defer cancel()
	resp, err := from.Sync(ctx, &ctlpb.SyncRequest{SettingsVersion: store.State().Version})
	if err != nil {
		return err
	}
	if len(resp.Snapshot) == 0 {
		store.Confirm()
		return nil
	}
	st, err := conf.Decode(resp.Snapshot)
	if err != nil {
		return err
	}
	store.StoreIfNewer(st)
	return nil
}

// AnswerSync handles a peer's request for settings. The snapshot is empty if the peer is up to date.
func AnswerSync(r *ctlpb.SyncRequest, store *conf.Store) (*ctlpb.SyncResponse, error) {
	st := store.State()
	out := &ctlpb.SyncResponse{SettingsVersion: st.Version}
	if r.SettingsVersion >= st.Version {
		return out, nil
	}
	b, err := st.Encode()
	if err != nil {
		return nil, err
	}
	out.Snapshot = b
	return out, nil
}
