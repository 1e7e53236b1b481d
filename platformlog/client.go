package platformlog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/joomcode/errorx"
)

// HeaderRetryAfterMillis carries the delay, in milliseconds, of a throttled request.
const HeaderRetryAfterMillis = "Retry-After-Ms"

// AppendReply is the JSON reply to POST /v1/streams/{stream}/records?id=ID.
type AppendReply struct {
	Offset     int64 `json:"offset"`
	TimeMicros int64 `json:"time_us"` // log time since 1970
}

// RecordReply is one record of a ReadReply.
type RecordReply struct {
	Offset     int64  `json:"offset"`
	TimeMicros int64  `json:"time_us"`
	ID         string `json:"id"`
	Body       []byte `json:"body"` // base64
}

// ReadReply is the JSON reply to GET /v1/streams/{stream}/records?from=&max=&wait_ms=.
// Status 410 carries the same object without records.
type ReadReply struct {
	Oldest    int64         `json:"oldest"`
	Next      int64         `json:"next"`
	NowMicros int64         `json:"now_us"`
	Records   []RecordReply `json:"records,omitempty"`
}

// ClientOptions configure a Client. Zero values take the defaults.
type ClientOptions struct {
	// BaseURL is the log's address, for example "http://10.0.0.9:7400".
	BaseURL string
	// DialTimeout bounds the connection set-up. Default 1 s.
	DialTimeout time.Duration
	// Timeout bounds an append. Default 3 s.
	Timeout time.Duration
	// ReadTimeout bounds a read beyond its long poll. Default 2 s.
	ReadTimeout time.Duration
}

// Defaults of ClientOptions.
const (
	DefaultDialTimeout = time.Second
	DefaultTimeout     = 3 * time.Second
	DefaultReadTimeout = 2 * time.Second
	idleConns          = 8
	idleTimeout        = 30 * time.Second
	// maxReplyBytes bounds a read reply: base64 adds a third, and one record
	// may exceed MaxBatchBytes.
	maxReplyBytes = 2*MaxBatchBytes + 2*MaxRecordBytes
)

// Client is a Log over HTTP. It is safe for concurrent use.
type Client struct {
	base        string
	timeout     time.Duration
	readTimeout time.Duration
	http        *http.Client
	transport   *http.Transport
}

// NewClient returns a client. It connects on the first request.
func NewClient(opts ClientOptions) *Client {
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.ReadTimeout <= 0 {
		opts.ReadTimeout = DefaultReadTimeout
	}
	t := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: opts.DialTimeout}).DialContext,
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{
		base: opts.BaseURL, timeout: opts.Timeout, readTimeout: opts.ReadTimeout,
		transport: t, http: &http.Client{Transport: t},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) url(stream string, q url.Values) string {
	return c.base + "/v1/streams/" + url.PathEscape(stream) + "/records?" + q.Encode()
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, id RecordID, body []byte) (Position, error) {
	if len(body) > MaxRecordBytes {
		return Position{}, Invalid.New("record of %d bytes exceeds %d", len(body), MaxRecordBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	target := c.url(stream, url.Values{"id": {id.String()}})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(body))
	if err != nil {
		return Position{}, Invalid.WrapWithNoMessage(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		if notSent(err) {
			return Position{}, Unavailable.WrapWithNoMessage(err)
		}
		return Position{}, OutcomeUnknown.WrapWithNoMessage(err)
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK {
		return Position{}, statusError(resp, OutcomeUnknown)
	}
	var reply AppendReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return Position{}, OutcomeUnknown.Wrap(err, "append reply")
	}
	return Position{Offset: reply.Offset, Time: micros(reply.TimeMicros)}, nil
}

// Read implements Log.
func (c *Client) Read(ctx context.Context, r ReadRequest) (Batch, error) {
	wait := min(r.Wait, MaxWait)
	ctx, cancel := context.WithTimeout(ctx, c.readTimeout+wait)
	defer cancel()
	q := url.Values{"from": {strconv.FormatInt(r.From, 10)}}
	if r.Max > 0 {
		q.Set("max", strconv.Itoa(r.Max))
	}
	if wait > 0 {
		q.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(r.Stream, q), nil)
	if err != nil {
		return Batch{}, Invalid.WrapWithNoMessage(err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Batch{}, Unavailable.WrapWithNoMessage(err)
	}
	defer drain(resp.Body)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return Batch{}, statusError(resp, Unavailable)
	}
	var reply ReadReply
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReplyBytes)).Decode(&reply); err != nil {
		return Batch{}, Unavailable.Wrap(err, "read reply")
	}
	if resp.StatusCode == http.StatusGone {
		return Batch{}, NewExpiredOffset(r.From, reply.Oldest)
	}
	return reply.batch(r.From)
}

// batch checks that the offsets are dense and the times do not decrease.
func (r *ReadReply) batch(from int64) (Batch, error) {
	b := Batch{Oldest: r.Oldest, Next: r.Next, Now: micros(r.NowMicros)}
	b.Records = make([]Record, len(r.Records))
	if from == FromOldest {
		from = r.Oldest
	}
	for i, rec := range r.Records {
		id, err := ParseRecordID(rec.ID)
		if err != nil {
			return Batch{}, Invalid.WrapWithNoMessage(err)
		}
		if rec.Offset != from+int64(i) {
			return Batch{}, Invalid.New("offset %d where %d was due", rec.Offset, from+int64(i))
		}
		if i > 0 && rec.TimeMicros < r.Records[i-1].TimeMicros {
			return Batch{}, Invalid.New("log time decreases at offset %d", rec.Offset)
		}
		b.Records[i] = Record{Offset: rec.Offset, Time: micros(rec.TimeMicros), ID: id, Body: rec.Body}
	}
	return b, nil
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// notSent reports whether the request failed before a connection existed.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError maps a status to a typed error; other is for a status that says
// nothing about the effect.
func statusError(resp *http.Response, other *errorx.Type) error {
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		ms, _ := strconv.Atoi(resp.Header.Get(HeaderRetryAfterMillis))
		return NewThrottled(time.Duration(max(0, ms)) * time.Millisecond)
	case http.StatusServiceUnavailable:
		return Unavailable.New("log answered %s", resp.Status)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return Invalid.New("log answered %s", resp.Status)
	}
	return other.New("log answered %s", resp.Status)
}

// drain reads the rest of a small body so that the connection can be reused.
func drain(body io.ReadCloser) {
	io.CopyN(io.Discard, body, 4096)
	body.Close()
}
