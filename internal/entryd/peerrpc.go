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
	"github.com/limpettrail/limpettrail/internal/link"
)

// RPCPreface is the first data on a connection for net/rpc calls between entries.
// It has the same length as link.Preface.
const RPCPreface = "LTRPC01\n"

// Limits of the calls between entries.
const (
	maxRPCConnections = 1024
	rpcShare          = 4        // of the connections of peers; the others are for agents
	maxRPCRequest     = 64 << 10 // bytes read from one connection of a calling entry
	maxRPCReply       = 24 << 20 // bytes read of the reply to one call
	maxRPCWait        = 5 * time.Second
	rpcTimeout        = 10 * time.Second // of one call, maxRPCWait included
	rpcLookupTimeout  = time.Second
	maxRPCAttempts    = 3
	rpcRetryDelay     = 100 * time.Millisecond
	maxPeersQueried   = 8
	maxLookups        = 32 // at a time; each has a connection, and callers cause them
)

// SubmissionArgs identify a submission by its ID, or by team and key.
type SubmissionArgs struct {
	Submission wire.SubmissionID // zero if Key is given
	Team       string
	Key        string // a key or the text form of a submission ID
	// Wait is how long the callee waits for the answer. It is limited to 5 s.
	Wait time.Duration
}

// SubmissionReply is the state of a submission at the entry that was called.
type SubmissionReply struct {
	Entry      wire.Incarnation // the entry that replies
	Found      bool
	Done       bool
	Submission wire.SubmissionID
	Answer     entry.JobAnswer // set if Done
}

// CancelReply is the reply to Peer.Cancel. Found reports whether the job was
// found.
type CancelReply struct{ Found bool }

// ConfigReply is the configuration in effect. Version is 0 if there is none.
type ConfigReply struct {
	Version int64
	State   []byte
}

// peerService implements the net/rpc methods that other entries call.
type peerService struct{ e *Entry }

func (p *peerService) find(a *SubmissionArgs) *submission {
	if a.Submission != (wire.SubmissionID{}) {
		return p.e.table.get(a.Submission)
	}
	return p.e.table.find(a.Key, a.Team)
}

// Submission returns the state of a submission, and its answer if it ends within
// a.Wait.
func (p *peerService) Submission(a *SubmissionArgs, r *SubmissionReply) error {
	r.Entry = p.e.Incarnation()
	sub := p.find(a)
	if sub == nil {
		return nil
	}
	r.Found = true
	r.Submission = sub.id
	wait := time.NewTimer(min(a.Wait, maxRPCWait))
	defer wait.Stop()
	select {
	case <-sub.done:
	case <-wait.C:
	case <-p.e.ctx.Done():
		return errors.New("entry is stopping")
	}
	if sub.finished() {
		r.Done = true
		r.Answer = sub.answer
	}
	return nil
}

// Cancel cancels a submission in progress.
func (p *peerService) Cancel(a *SubmissionArgs, r *CancelReply) error {
	sub := p.find(a)
	if r.Found = sub != nil; r.Found {
		p.e.send(entry.CancelJob{Submission: sub.id})
	}
	return nil
}

// Config returns the configuration in effect.
func (p *peerService) Config(_ *struct{}, r *ConfigReply) error {
	c := p.e.config.Load()
	r.Version, r.State = c.Version, c.State
	return nil
}

func (e *Entry) newRPCServer() *rpc.Server {
	s := rpc.NewServer()
	if err := s.RegisterName("Peer", &peerService{e}); err != nil {
		panic(err) // cannot happen: the method set is fixed at compile time
	}
	return s
}

// serveRPC serves the calls of one connection. The number of such connections, the bytes
// read and the duration are limited. The first call must arrive within
// link.HandshakeTimeout.
func (e *Entry) serveRPC(server *rpc.Server, raw net.Conn) {
	defer raw.Close()
	defer e.rpcConns.Add(-1)
	if e.rpcConns.Add(1) > int64(min(maxRPCConnections, e.opts.Shares.Peers.Connections/rpcShare)) {
		return
	}
	stop := context.AfterFunc(e.ctx, func() { raw.Close() })
	defer stop()
	raw.SetDeadline(time.Now().Add(link.HandshakeTimeout))
	server.ServeCodec(newServerCodec(raw, time.Now().Add(rpcTimeout)))
}

// callPeer calls a method of the entry at addr on a new connection, within
// rpcTimeout.
func (e *Entry) callPeer(ctx context.Context, addr, method string, args, reply any) error {
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

// limitedConn is a connection that is read through r. limitReads uses it to limit
// the bytes read, and thereby the memory that a peer can make the gob decoder
// allocate.
type limitedConn struct {
	net.Conn
	r io.Reader
}

func limitReads(c net.Conn, limit int64) *limitedConn {
	return &limitedConn{Conn: c, r: io.LimitReader(c, limit)}
}

// Read implements io.Reader.
func (c *limitedConn) Read(b []byte) (int, error) { return c.r.Read(b) }

// anyPeer calls query for each of at most maxPeersQueried other entries until a
// call returns true, which it reports. It stops after rpcLookupTimeout.
func (e *Entry) anyPeer(ctx context.Context, query func(context.Context, string) bool) bool {
	ctx, cancel := context.WithTimeout(ctx, rpcLookupTimeout)
	defer cancel()
	select {
	case e.lookups <- struct{}{}:
		defer func() { <-e.lookups }()
	case <-ctx.Done():
		return false
	}
	queried := 0
	for _, p := range *e.knownEntries.Load() {
		if p.Incarnation == e.Incarnation() || queried == maxPeersQueried || ctx.Err() != nil {
			continue
		}
		queried++
		if query(ctx, p.Peer) {
			return true
		}
	}
	return false
}

// findAtPeers looks up a job at the other entries. It returns nil if none has it.
func (e *Entry) findAtPeers(ctx context.Context, name, team string) *SubmissionReply {
	var reply SubmissionReply
	found := e.anyPeer(ctx, func(ctx context.Context, addr string) bool {
		reply = SubmissionReply{}
		args := SubmissionArgs{Team: team, Key: name}
		return e.callPeer(ctx, addr, "Peer.Submission", &args, &reply) == nil && reply.Found
	})
	if !found {
		return nil
	}
	return &reply
}

// cancelAtPeers cancels a job at the entry that has it, if one is found.
func (e *Entry) cancelAtPeers(ctx context.Context, name, team string) bool {
	return e.anyPeer(ctx, func(ctx context.Context, addr string) bool {
		var reply CancelReply
		args := SubmissionArgs{Team: team, Key: name}
		return e.callPeer(ctx, addr, "Peer.Cancel", &args, &reply) == nil && reply.Found
	})
}

// PeerConfig returns the configuration of the entry at addr.
func (e *Entry) PeerConfig(ctx context.Context, addr string) (ConfigReply, error) {
	var reply ConfigReply
	err := e.callPeer(ctx, addr, "Peer.Config", &struct{}{}, &reply)
	return reply, err
}
