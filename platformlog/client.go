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

// ClientOptions configure a Client. Zero values select the defaults.
type ClientOptions struct {
	// BaseURL is the log's address, for example "http://10.0.0.9:7400".
	BaseURL string
	// DialTimeout bounds the establishment of a connection. Default 1 s.
	DialTimeout time.Duration
	// Timeout bounds one attempt to append. Default 3 s.
	Timeout time.Duration
	// ReadTimeout bounds a read, in addition to ReadRequest.Wait. Default 2 s.
	ReadTimeout time.Duration
}

// Defaults of ClientOptions.
const (
	DefaultDialTimeout  = time.Second
	DefaultTimeout      = 3 * time.Second
	DefaultReadTimeout  = 2 * time.Second
	maxIdleConnsPerHost = 8
	idleConnTimeout     = 30 * time.Second
	// maxReplyBytes bounds the reply to a read: base64 adds a third, and a
	// single record may exceed MaxBatchBytes.
	maxReplyBytes = 2*MaxBatchBytes + 2*MaxRecordBytes
)

// Client is a Log over HTTP. It is safe for concurrent use.
type Client struct {
	baseURL     string
	timeout     time.Duration
	readTimeout time.Duration
	http        *http.Client
	transport   *http.Transport
}

// NewClient returns a client, which connects on its first request.
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
		MaxIdleConnsPerHost: maxIdleConnsPerHost,
		IdleConnTimeout:     idleConnTimeout,
	}
	return &Client{
		baseURL: opts.BaseURL, timeout: opts.Timeout, readTimeout: opts.ReadTimeout,
		transport: t, http: &http.Client{Transport: t},
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

func (c *Client) url(stream string, q url.Values) string {
	return c.baseURL + "/v1/streams/" + url.PathEscape(stream) + "/records?" + q.Encode()
}

// Append implements Log.
func (c *Client) Append(ctx context.Context, stream string, id RecordID, body []byte) (Position, error) {
	if len(body) > MaxRecordBytes {
		return Position{}, Invalid.New("record of %d bytes exceeds the limit of %d", len(body), MaxRecordBytes)
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
		if isDialError(err) {
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
		return Position{}, OutcomeUnknown.Wrap(err, "decode append reply")
	}
	return Position{Offset: reply.Offset, Time: fromMicros(reply.TimeMicros)}, nil
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
		return Batch{}, Unavailable.Wrap(err, "decode read reply")
	}
	if resp.StatusCode == http.StatusGone {
		return Batch{}, NewExpiredOffset(r.From, reply.Oldest)
	}
	return reply.batch(r.From)
}

// batch converts the reply to a read from offset from. It verifies that the
// offsets are contiguous and that log times do not decrease.
func (r *ReadReply) batch(from int64) (Batch, error) {
	b := Batch{Oldest: r.Oldest, Next: r.Next, Now: fromMicros(r.NowMicros)}
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
			return Batch{}, Invalid.New("got offset %d, want %d", rec.Offset, from+int64(i))
		}
		if i > 0 && rec.TimeMicros < r.Records[i-1].TimeMicros {
			return Batch{}, Invalid.New("log time decreases at offset %d", rec.Offset)
		}
		b.Records[i] = Record{Offset: rec.Offset, Time: fromMicros(rec.TimeMicros), ID: id, Body: rec.Body}
	}
	return b, nil
}

func fromMicros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// isDialError reports whether the request failed before a connection was
// established.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// statusError maps an HTTP status to a typed error. other is the type for a
// status that does not tell whether the request had an effect.
func statusError(resp *http.Response, other *errorx.Type) error {
	switch resp.StatusCode {
	case http.StatusTooManyRequests:
		ms, _ := strconv.Atoi(resp.Header.Get(HeaderRetryAfterMillis))
		return NewThrottled(time.Duration(max(0, ms)) * time.Millisecond)
	case http.StatusServiceUnavailable:
		return Unavailable.New("log returned status %s", resp.Status)
	case http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge:
		return Invalid.New("log returned status %s", resp.Status)
	}
	return other.New("log returned status %s", resp.Status)
}

// drain reads up to 4096 remaining bytes of a body and closes it, so that the
// connection can be reused.
func drain(body io.ReadCloser) {
	io.CopyN(io.Discard, body, 4096)
	body.Close()
}
