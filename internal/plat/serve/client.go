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
)

// NewClient returns an HTTP client for peers and upstreams. It uses no proxy, follows no redirects and does not request
// compression.
func NewClient() *http.Client {
	d := &net.Dialer{Timeout: dialTimeout, KeepAlive: 5 * time.Second}
	return &http.Client{
		Transport: &http.Transport{
			DialContext: d.DialContext, IdleConnTimeout: clientIdleTimeout,
			MaxIdleConnsPerHost: maxIdleConnsPerPeer, DisableCompression: true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
