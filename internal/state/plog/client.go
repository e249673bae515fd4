package plog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"
)

const maxPageBytes = 64 << 20

// Client is an HTTP client of the log service. It implements Log.
type Client struct {
	base    string
	timeout time.Duration
	hc      *http.Client
}

// NewClient returns a client for the log service at the base URL. Timeout limits each request, in addition to the wait
// time of a read. HTTP proxies from the environment are ignored.
func NewClient(base string, timeout time.Duration) *Client {
	t := http.DefaultTransport.(*http.Transport).Clone()
	t.Proxy = nil
	return &Client{base: base, timeout: timeout, hc: &http.Client{Transport: t}}
}

// Append appends a record. It sends the request at most once and doesn't retry.
func (c *Client) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Wrapf(err, "append to stream %q", stream)
	}
	var out struct {
		Offset int64 `json:"offset"`
	}
	if err := c.do(req, &out); err != nil {
		return 0, errors.Wrapf(err, "append to stream %q", stream)
	}
	return out.Offset, nil
}

// Read returns a page of records starting at the offset.
func (c *Client) Read(ctx context.Context, stream string, from, waitMS int64) (Page, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+time.Duration(waitMS)*time.Millisecond)
	defer cancel()
	u := fmt.Sprintf("%s?from=%d&wait_ms=%d", c.url(stream), from, waitMS)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return Page{}, errors.Wrapf(err, "read stream %q", stream)
	}
	var p Page
	if err := c.do(req, &p); err != nil {
		return Page{}, errors.Wrapf(err, "read stream %q", stream)
	}
	return p, nil
}

func (c *Client) url(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

// do sends the request and decodes the response. It marks every failure as ErrUnavailable, unless the log says that it
// can never accept the request. After a failed request it closes the idle connections, so that connections that died
// while idle cost at most one timeout.
func (c *Client) do(req *http.Request, out any) error {
	resp, err := c.hc.Do(req)
	if err != nil {
		c.hc.CloseIdleConnections()
		return errors.Mark(err, ErrUnavailable)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return errors.Wrapf(ErrRejected, "log answered with status %d", resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrUnavailable, "log answered with status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(out); err != nil {
		return errors.Mark(err, ErrUnavailable)
	}
	return nil
}
