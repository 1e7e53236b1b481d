package entryd

import (
	"context"
	"errors"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/limpettrail/limpettrail/core/entry"
	"github.com/limpettrail/limpettrail/core/wire"
)

// RPCPreface opens a connection that carries net/rpc calls between entries.
// It has the length of link.Preface.
const RPCPreface = "LTRPC01\n"

// Bounds of the calls between entries.
const (
	maxRPCConnections = 1024
	maxRPCRequest     = 64 << 10 // bytes read from one calling connection
	maxRPCReply       = 24 << 20 // bytes read as the reply of one call
	rpcWait           = 5 * time.Second
	rpcTimeout        = 10 * time.Second // of one call, rpcWait included
	rpcLookupTimeout  = time.Second
	rpcAttempts       = 3
	rpcPause          = 100 * time.Millisecond
	maxPeersAsked     = 8
)

// SubmissionArgs name a submission, by its id or by team and key.
type SubmissionArgs struct {
	Submission wire.SubmissionID // zero if Key is given
	Team       string
	Key        string // a key or the text of a submission id
	// Wait is how long to wait for the answer, at most 5 s.
	Wait time.Duration
}

// SubmissionReply is the state of a submission at its owner.
type SubmissionReply struct {
	Entry      wire.Incarnation // the entry that answers
	Found      bool
	Done       bool
	Submission wire.SubmissionID
	Answer     entry.JobAnswer // if Done
}

// CancelReply says whether the job was found.
type CancelReply struct{ Found bool }

// ConfigReply is the configuration in force; Version 0 if there is none.
type ConfigReply struct {
	Version int64
	State   []byte
}

// peerService holds the methods that other entries call.
type peerService struct{ e *Entry }

func (p *peerService) record(a *SubmissionArgs) *record {
	if a.Submission != (wire.SubmissionID{}) {
		return p.e.table.get(a.Submission)
	}
	return p.e.table.find(a.Key, a.Team)
}

// Submission returns the state or the answer of a submission.
func (p *peerService) Submission(a *SubmissionArgs, r *SubmissionReply) error {
	r.Entry = p.e.Incarnation()
	rec := p.record(a)
	if rec == nil {
		return nil
	}
	r.Found = true
	r.Submission = rec.id
	wait := time.NewTimer(min(a.Wait, rpcWait))
	defer wait.Stop()
	select {
	case <-rec.done:
	case <-wait.C:
	case <-p.e.ctx.Done():
		return errors.New("entry is stopping")
	}
	if rec.finished() {
		r.Done = true
		r.Answer = rec.answer
	}
	return nil
}

// Cancel cancels a submission in progress.
func (p *peerService) Cancel(a *SubmissionArgs, r *CancelReply) error {
	rec := p.record(a)
	if r.Found = rec != nil; r.Found {
		p.e.send(entry.CancelJob{Submission: rec.id})
	}
	return nil
}

// Config returns the configuration in force.
func (p *peerService) Config(_ *struct{}, r *ConfigReply) error {
	c := p.e.config.Load()
	r.Version, r.State = c.Version, c.State
	return nil
}

func (e *Entry) newRPCServer() *rpc.Server {
	s := rpc.NewServer()
	if err := s.RegisterName("Peer", &peerService{e}); err != nil {
		panic(err) // the method set is fixed at compile time
	}
	return s
}

// serveRPC serves the calls of one connection, bounded in number, size and time.
func (e *Entry) serveRPC(server *rpc.Server, raw net.Conn) {
	defer raw.Close()
	defer e.rpcConns.Add(-1)
	if e.rpcConns.Add(1) > maxRPCConnections {
		return
	}
	stop := context.AfterFunc(e.ctx, func() { raw.Close() })
	defer stop()
	raw.SetDeadline(time.Now().Add(rpcTimeout))
	server.ServeConn(limitReads(raw, maxRPCRequest))
}

// call makes one call on a connection of its own.
func (e *Entry) call(ctx context.Context, addr, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, rpcTimeout)
	defer cancel()
	raw, err := e.opts.DialFunc(ctx, addr)
	if err != nil {
		return err
	}
	defer raw.Close()
	stop := context.AfterFunc(ctx, func() { raw.Close() })
	defer stop()
	if _, err := io.WriteString(raw, RPCPreface); err != nil {
		return err
	}
	client := rpc.NewClient(limitReads(raw, maxRPCReply))
	defer client.Close()
	return client.Call(method, args, reply)
}

// limitedConn reads at most limit bytes, so that a peer cannot make the gob
// decoder hold more.
type limitedConn struct {
	net.Conn
	r io.Reader
}

func limitReads(c net.Conn, limit int64) *limitedConn {
	return &limitedConn{Conn: c, r: io.LimitReader(c, limit)}
}

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// eachPeer calls ask for other known entries until it returns true.
func (e *Entry) eachPeer(ctx context.Context, ask func(context.Context, string) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, rpcLookupTimeout)
	defer cancel()
	asked := 0
	for _, p := range *e.known.Load() {
		if p.Incarnation == e.Incarnation() || asked == maxPeersAsked || ctx.Err() != nil {
			continue
		}
		asked++
		if ask(ctx, p.Peer) {
			return true
		}
	}
	return false
}

// askPeers looks for a job at the other entries, nil if none knows it.
func (e *Entry) askPeers(ctx context.Context, name, team string) *SubmissionReply {
	var reply SubmissionReply
	found := e.eachPeer(ctx, func(ctx context.Context, addr string) bool {
		reply = SubmissionReply{}
		args := SubmissionArgs{Team: team, Key: name}
		return e.call(ctx, addr, "Peer.Submission", &args, &reply) == nil && reply.Found
	})
	if !found {
		return nil
	}
	return &reply
}

func (e *Entry) cancelAtPeers(ctx context.Context, name, team string) bool {
	return e.eachPeer(ctx, func(ctx context.Context, addr string) bool {
		var reply CancelReply
		args := SubmissionArgs{Team: team, Key: name}
		return e.call(ctx, addr, "Peer.Cancel", &args, &reply) == nil && reply.Found
	})
}

// PeerConfig asks the entry at addr for its configuration.
func (e *Entry) PeerConfig(ctx context.Context, addr string) (ConfigReply, error) {
	var reply ConfigReply
	err := e.call(ctx, addr, "Peer.Config", &struct{}{}, &reply)
	return reply, err
}
