package frame

import (
	"net/http"
	"net/http/httptrace"
)

// withConnTrace returns the request with a trace that sets connected once it has a connection. From then on the request
// may have reached the peer.
func withConnTrace(r *http.Request, connected *bool) *http.Request {
	t := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { *connected = true }}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), t))
}
