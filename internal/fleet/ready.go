package fleet

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"
)

const readyTimeout = 5 * time.Second

// serveReady serves the load balancer's check on any path: status 200 while the
// entry accepts jobs, 503 otherwise.
func (n *EntryNode) serveReady() error {
	l, err := net.Listen("tcp", n.opts.ReadyListen)
	if err != nil {
		return err
	}
	n.readyServer = &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !n.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
		ReadHeaderTimeout: readyTimeout, IdleTimeout: time.Minute, ErrorLog: log.New(io.Discard, "", 0),
	}
	n.wg.Go(func() { n.readyServer.Serve(l) })
	return nil
}
