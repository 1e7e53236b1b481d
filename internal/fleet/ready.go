package fleet

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/limpettrail/limpettrail/core/ingress"
	"github.com/limpettrail/limpettrail/internal/ingressd"
)

const (
	readyTimeout        = 5 * time.Second
	readyMaxHeaderBytes = 4 << 10
)

// serveReady serves the load balancer's check on any path: status 200 while the
// entry accepts jobs, 503 otherwise.
func (n *EntryNode) serveReady() error {
	l, err := net.Listen("tcp", n.opts.ReadyListen)
	if err != nil {
		return err
	}
	n.readyGuard = ingressd.New(ingressd.Options{
		Share: "ready", Limits: n.opts.Shares.Ready, Log: n.opts.Log, ReceiveBuffer: int(ingress.ReceiveBuffer),
	})
	n.readyServer = &http.Server{
		Handler: n.readyGuard.Handler(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !n.Ready() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})),
		ReadTimeout: readyTimeout, IdleTimeout: time.Minute, MaxHeaderBytes: readyMaxHeaderBytes, ErrorLog: log.New(io.Discard, "", 0),
		ConnState: ingressd.ConnState, ConnContext: ingressd.WithConn,
	}
	n.wg.Go(func() { n.readyServer.Serve(n.readyGuard.Listener(l)) })
	return nil
}

// jobLogSettled reports whether stored jobs are accepted or cannot be accepted for
// now.
func (n *EntryNode) jobLogSettled() bool {
	loaded, failed := n.keeper.LogRead()
	return jobLogSettled(loaded, failed, time.Since(n.started))
}

// jobLogSettled decides whether an entry of the given age may be ready as far as the
// log of stored jobs is concerned. A new process refuses stored jobs until it has read
// the log once. A log that cannot be read, or is read slowly, does not keep the entry
// out of service, because other jobs do not need it.
func jobLogSettled(loaded, failed bool, age time.Duration) bool {
	return loaded || failed || age >= startHoldTimeout
}
