package entryd

import (
	"bufio"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/limpettrail/limpettrail/internal/ingressd"
)

// maxGobMessage bounds one message of gob in a call. The decoder allocates the length that a
// message declares, up to 10 MB, before it arrives. The largest message of a call is a few
// hundred bytes.
const maxGobMessage = 16 << 10

var (
	errGobTooLong    = errors.New("entryd: a message of a call is too long")
	errRPCNotGranted = errors.New("entryd: the calls of all peers take too much memory")
)

// serverCodec is the server's side of the encoding of net/rpc, in which the declared length of
// each message is checked and charged before it is read.
type serverCodec struct {
	conn  net.Conn
	until time.Time // until when calls are served
	in    *gobLimiter
	dec   *gob.Decoder
	enc   *gob.Encoder
	out   *bufio.Writer
}

func newServerCodec(conn net.Conn, until time.Time) *serverCodec {
	guarded, _ := conn.(*ingressd.Conn) // nil in tests without a listener
	in := &gobLimiter{r: bufio.NewReader(io.LimitReader(conn, maxRPCRequest)), guarded: guarded}
	out := bufio.NewWriter(conn)
	return &serverCodec{conn: conn, until: until, in: in, dec: gob.NewDecoder(in), enc: gob.NewEncoder(out), out: out}
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error { return c.dec.Decode(r) }

// ReadRequestBody implements rpc.ServerCodec. The call is handed on when it returns.
func (c *serverCodec) ReadRequestBody(body any) error {
	err := c.dec.Decode(body)
	if err == nil && !c.in.guarded.BeginServing() {
		return net.ErrClosed
	}
	c.conn.SetDeadline(c.until)
	return err
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	if err := errors.Join(c.enc.Encode(r), c.enc.Encode(body)); err != nil {
		c.conn.Close()
		return err
	}
	return c.out.Flush()
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

// gobLimiter reads messages of gob and refuses those that declare a length above
// maxGobMessage. It implements io.ByteReader, so that the decoder does not read ahead.
type gobLimiter struct {
	r       *bufio.Reader
	guarded *ingressd.Conn // nil if none
	charged int64
	// prefix is how many bytes of the current length are missing, length what is known of it,
	// left how many bytes of the message follow.
	prefix int
	length uint64
	left   uint64
}

// Read implements io.Reader.
func (l *gobLimiter) Read(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if l.left == 0 { // one byte of the length
		b, err := l.ReadByte()
		if err != nil {
			return 0, err
		}
		p[0] = b
		return 1, nil
	}
	n, err := l.r.Read(p[:min(uint64(len(p)), l.left)])
	l.left -= uint64(n)
	return n, err
}

// ReadByte implements io.ByteReader.
func (l *gobLimiter) ReadByte() (byte, error) {
	b, err := l.r.ReadByte()
	if err != nil {
		return 0, err
	}
	switch {
	case l.left > 0:
		l.left--
		return b, nil
	case l.prefix > 0:
		l.prefix--
		l.length = l.length<<8 | uint64(b)
	case b < 0x80:
		l.length = uint64(b)
	default: // the length follows in as many bytes
		l.length, l.prefix = 0, 256-int(b)
		if l.prefix > 8 {
			return 0, errGobTooLong
		}
		return b, nil
	}
	if l.prefix > 0 {
		return b, nil
	}
	if l.length > maxGobMessage {
		return 0, errGobTooLong
	}
	if extra := int64(l.length) - l.charged; extra > 0 {
		if !l.guarded.Charge(extra) {
			return 0, errRPCNotGranted
		}
		l.charged += extra
	}
	l.left = l.length
	return b, nil
}
