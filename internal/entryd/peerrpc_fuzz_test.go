package entryd

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/policy"
)

// encodedCall returns the bytes that a client sends for one call.
func encodedCall(f *testing.F, method string, args any) []byte {
	f.Helper()
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	assert.NilError(f, enc.Encode(&rpc.Request{ServiceMethod: method, Seq: 1}))
	assert.NilError(f, enc.Encode(args))
	return b.Bytes()
}

// Guards against input on the peer port that crashes the net/rpc server or leaks
// one of its goroutines.
func FuzzPeerCalls(f *testing.F) {
	call := encodedCall(f, "Peer.Submission", &SubmissionArgs{Team: "t", Key: "k"})
	f.Add(call)
	f.Add(call[:len(call)/2])
	f.Add(encodedCall(f, "Peer.Cancel", &SubmissionArgs{Key: "k"}))
	f.Add(encodedCall(f, "Peer.None", &SubmissionArgs{}))
	f.Add([]byte{0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	e, err := Start(Options{Name: "e", Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0", Scheduler: policy.NewLeastBusy()})
	assert.NilError(f, err)
	f.Cleanup(e.Kill)
	server := e.newRPCServer()
	f.Fuzz(func(t *testing.T, data []byte) {
		client, conn := net.Pipe()
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer conn.Close()
			e.serveRPC(server, conn)
		}()
		go io.Copy(io.Discard, client)
		client.SetWriteDeadline(time.Now().Add(time.Minute))
		client.Write(data) // fails once the server closes the connection
		client.Close()
		<-done
	})
}
