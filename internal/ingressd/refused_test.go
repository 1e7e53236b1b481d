package ingressd

import (
	"net"
	"net/http"
	"testing"

	"github.com/limpettrail/limpettrail/core/ingress"
)

// Guards against a 503 for a pipelined request that is handed on all the same: net/http starts
// its background read before the handler.
func TestPipelinedRequestIsNotAnsweredTwice(t *testing.T) {
	g := New(Options{Limits: ingress.Limits{Connections: 10, Bytes: 100 << 10, ConnectionCost: 1, Ordinary: 1 << 20}})
	x, _ := net.Pipe()
	y, _ := net.Pipe()
	c, other := g.Admit(x), g.Admit(y)
	first, _ := http.NewRequest("GET", "/a", nil)
	second, _ := http.NewRequest("DELETE", "/b", nil)
	c.received([]byte("GET /a HTTP/1.1\r\nHost: h\r\n\r\nDELETE /b HTTP/1.1\r\nHost: h\r\n\r\n"))
	if !c.begin(first) {
		t.Fatal("first")
	}
	c.becomeIdle() // the second request is in the buffer of the server and is parsed now
	other.BeginServing()
	st := g.Stats()
	if !other.Charge(100<<10 - st.Bytes) {
		t.Fatal("fill")
	}
	granted, answer := c.received([]byte("G")) // background read, before the handler of the second request
	other.Charge(-90 << 10)
	if handed := c.begin(second); !granted && answer && handed {
		t.Fatal("the caller was sent 503, and the request is handed on")
	}
}
