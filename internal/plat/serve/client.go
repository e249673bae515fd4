package serve

import (
	"net"
	"net/http"
	"time"
)

const (
	dialTimeout         = time.Second
	clientIdleTimeout   = 20 * time.Second
	maxIdleConnsPerPeer = 64
	// maxHeadBytes bounds the status line and headers of a response. The default of http.Transport is 10 MB for each.
	maxHeadBytes = 64 << 10
)

// ClientOption configures a client.
type ClientOption func(*http.Transport)

// WithSingleUse gives each request a connection of its own, for servers whose responses do not name their request.
func WithSingleUse() ClientOption { return func(t *http.Transport) { t.DisableKeepAlives = true } }

// NewClient returns an HTTP client for peers and upstreams. It uses no proxy, follows no redirects and does not request
// compression.
func NewClient(opts ...ClientOption) *http.Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	t := &http.Transport{
		DialContext: d.DialContext, IdleConnTimeout: clientIdleTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}
	for _, o := range opts {
		o(t)
	}
	return &http.Client{
		Transport:     t,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
