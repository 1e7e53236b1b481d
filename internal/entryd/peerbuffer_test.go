package entryd_test

import (
	"net"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/internal/entryd"
)

// acceptedListener passes on the sockets that it accepts.
type acceptedListener struct {
	*net.TCPListener
	accepted chan *net.TCPConn
}

func (l acceptedListener) Accept() (net.Conn, error) {
	c, err := l.AcceptTCP()
	if err == nil {
		l.accepted <- c
	}
	return c, err
}

// Guards against sockets of peers without TLS whose receive buffers the kernel grows to
// megabytes while the process does not read them.
func TestReceiveBuffersOfPeersAreBounded(t *testing.T) {
	accepted := make(chan *net.TCPConn, 1)
	e := startEntry(t, entryd.Options{ListenFunc: func(role entryd.ListenerRole, addr string) (net.Listener, error) {
		l, err := net.Listen("tcp", addr)
		if err == nil && role == entryd.PeerListener {
			l = acceptedListener{l.(*net.TCPListener), accepted}
		}
		return l, err
	}})
	c, err := net.Dial("tcp", e.PeerAddr())
	assert.NilError(t, err)
	defer c.Close()
	socket, err := (<-accepted).SyscallConn()
	assert.NilError(t, err)
	waitFor(t, "a receive buffer that the kernel does not grow", func() bool {
		bounded := false
		err := socket.Control(func(fd uintptr) {
			lock, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_BUF_LOCK)
			bounded = err == nil && lock&2 != 0 // SOCK_RCVBUF_LOCK
		})
		return err == nil && bounded
	})
}
