package overload

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
	"github.com/limpettrail/limpettrail/internal/entryd"
	"github.com/limpettrail/limpettrail/internal/link"
)

// Sizes of legal requests. The header lines leave room for the other ones.
const (
	maxHeaderBytes    = 16384
	headerLineBytes   = 15500
	maxBodyBytes      = 262144
	maxHeartbeatBytes = 65536
	pieceBytes        = 4 << 10
	piecePause        = 5 * time.Millisecond
	// calmTries is how often a request at the limits is sent. One may do, but a busy machine
	// delays the worker's answers.
	calmTries = 5
)

// endpoint is what a crowd sends requests with a body to.
type endpoint struct {
	line      func() []byte // begins a request
	json      string
	bodyBytes int // the largest body
	smallBody int // size of the bodies in very small chunks
	clients   int // with large bodies
}

var (
	jobs  = endpoint{requestLine, ordinaryJob, maxBodyBytes, maxBodyBytes / 2, 1000}
	beats = endpoint{heartbeatLine, ordinaryHeartbeat, maxHeartbeatBytes, maxHeartbeatBytes, 2000}
)

// headers are 1,200 clients, most of which stop one byte before the end of a small body, and a
// quarter before the end of the header.
func (e endpoint) headers(line func(int) string) []group {
	body := padded(e.json, 2048)
	header := fmt.Appendf(lines(headerLineBytes, line), "Content-Length: %d\r\n\r\n", len(body))
	rest := slices.Concat(header, body)
	return []group{{clients: 900, first: e.line, rest: rest, left: 1}, {clients: 300, first: e.line, rest: rest, left: len(body) + 2}}
}

func (e endpoint) shortHeaders() []group   { return e.headers(shortLine) }
func (e endpoint) unusualHeaders() []group { return e.headers(unusualLine) }

func (e endpoint) largeBodies() []group {
	body := padded(e.json, e.bodyBytes)
	rest := slices.Concat(fmt.Appendf(nil, "Content-Length: %d\r\n\r\n", len(body)), body)
	return []group{{clients: e.clients, first: e.line, rest: rest, left: 1}}
}

func (e endpoint) largeBodiesInPieces() []group {
	g := e.largeBodies()
	g[0].piece, g[0].pause = pieceBytes, piecePause
	return g
}

func (e endpoint) chunks(bodyBytes, chunkBytes int) []group {
	rest := slices.Concat([]byte("Transfer-Encoding: chunked\r\n\r\n"), chunked(padded(e.json, bodyBytes), chunkBytes))
	return []group{{clients: e.clients, first: e.line, rest: rest, left: 2}}
}

func (e endpoint) largeChunks() []group { return e.chunks(e.bodyBytes, 32<<10) }
func (e endpoint) smallChunks() []group { return e.chunks(e.smallBody, 4) }

// allTogether is one of n clients of each crowd.
func (e endpoint) allTogether(n int) []group {
	return shares(n, e.shortHeaders(), e.unusualHeaders(), e.largeBodies(), e.largeBodiesInPieces(), e.largeChunks(), e.smallChunks())
}

// shares is one of n clients of each crowd.
func shares(n int, crowds ...[]group) []group {
	out := slices.Concat(crowds...)
	for i := range out {
		out[i].clients /= n
	}
	return out
}

// The tests of the crowds guard against a process that is killed because its callers use up
// its memory or its descriptors with requests of legal size, most of which never end.

func TestEntryShortHeaders(t *testing.T)   { play(t, callers, smallEntry, jobs.shortHeaders()...) }
func TestEntryUnusualHeaders(t *testing.T) { play(t, callers, smallEntry, jobs.unusualHeaders()...) }
func TestEntryLargeBodies(t *testing.T)    { play(t, callers, smallEntry, jobs.largeBodies()...) }
func TestEntryLargeBodiesInPieces(t *testing.T) {
	play(t, callers, smallEntry, jobs.largeBodiesInPieces()...)
}
func TestEntryLargeChunks(t *testing.T) { play(t, callers, smallEntry, jobs.largeChunks()...) }
func TestEntrySmallChunks(t *testing.T) { play(t, callers, smallEntry, jobs.smallChunks()...) }
func TestEntryAllTogether(t *testing.T) { play(t, callers, fewEntry, jobs.allTogether(3)...) }

// Guards against a check of the load balancer that uses up the memory of the entry: that
// listener needs neither bodies nor long headers.
func TestEntryReadinessAllTogether(t *testing.T) {
	play(t, readiness, fewEntry, jobs.allTogether(3)...)
}

func TestAgentShortHeaders(t *testing.T) { play(t, heartbeats, smallAgent, beats.shortHeaders()...) }
func TestAgentUnusualHeaders(t *testing.T) {
	play(t, heartbeats, smallAgent, beats.unusualHeaders()...)
}
func TestAgentLargeBodies(t *testing.T) { play(t, heartbeats, smallAgent, beats.largeBodies()...) }
func TestAgentLargeBodiesInPieces(t *testing.T) {
	play(t, heartbeats, smallAgent, beats.largeBodiesInPieces()...)
}
func TestAgentLargeChunks(t *testing.T) { play(t, heartbeats, smallAgent, beats.largeChunks()...) }
func TestAgentSmallChunks(t *testing.T) { play(t, heartbeats, smallAgent, beats.smallChunks()...) }
func TestAgentAllTogether(t *testing.T) { play(t, heartbeats, fewAgent, beats.allTogether(5)...) }

// The crowds at the peer port send frames and calls, because its protocols have no headers
// and bodies.

// frame is a frame of the largest size. Its body is one byte string.
func frame() []byte {
	body := append([]byte{0x5a}, binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes-5)...)
	body = append(body, make([]byte, wire.MaxFrameBytes-5)...)
	return append(binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes), body...)
}

func frames() []group {
	return []group{{clients: 70, rest: append([]byte(link.Preface), frame()...), left: 1}}
}

func framesInPieces() []group {
	g := frames()
	g[0].piece, g[0].pause = 16*pieceBytes, piecePause
	return g
}

// agentCount numbers the agents that crowds pretend to be.
var agentCount atomic.Uint64

// hello begins the connection of an agent with another pool of workers than the jobs'.
func hello() []byte {
	n := agentCount.Add(1)
	h, err := link.Encode(&wire.AgentHello{
		Protocol: wire.ProtocolVersion, Agent: wire.Incarnation(n), Epoch: 1, Name: fmt.Sprint("other-", n), Slots: 1, Pool: "other", NoLeftoverRuns: true,
	})
	if err != nil {
		panic(err) // cannot happen: all fields can be encoded
	}
	return slices.Concat([]byte(link.Preface), binary.BigEndian.AppendUint32(nil, uint32(len(h))), h)
}

func framesAfterHello() []group { return []group{{clients: 70, first: hello, rest: frame(), left: 1}} }

// calls are calls of net/rpc that the callee reads up to 64 KiB of.
func calls() []group {
	size := 60 << 10
	call := append([]byte{0xfd, byte(size >> 16), byte(size >> 8), byte(size)}, make([]byte, size)...) // a gob message
	return []group{{clients: 1000, rest: append([]byte(entryd.RPCPreface), call...), left: 1}}
}

// silent are connections that stop within the first bytes.
func silent() []group { return []group{{clients: 1500, rest: []byte(link.Preface), left: 1}} }

func TestPeersFrames(t *testing.T)           { play(t, peers, smallEntry, frames()...) }
func TestPeersFramesInPieces(t *testing.T)   { play(t, peers, smallEntry, framesInPieces()...) }
func TestPeersFramesAfterHello(t *testing.T) { play(t, peers, smallEntry, framesAfterHello()...) }
func TestPeersCalls(t *testing.T)            { play(t, peers, smallEntry, calls()...) }
func TestPeersAllTogether(t *testing.T) {
	frames := shares(2, frames(), framesInPieces(), framesAfterHello())
	play(t, peers, fewEntry, slices.Concat(frames, shares(4, calls()), silent(), jobs.allTogether(20))...)
}

// malformed are 100 clients that send the same request to its end.
func malformed(format string, args ...any) []group {
	return []group{{clients: 100, first: requestLine, rest: fmt.Appendf(nil, format, args...)}}
}

// repeated is a text n times.
func repeated(n int, text string) string { return strings.Repeat(text, n) }

// withLength is a body after the end of its header.
func withLength(body string) string {
	return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// The tests of malformed input guard against a process that panics or hangs on it, or that
// takes memory without bound. They do not check the answers to it: some of it may be served.

func TestRepeatedContentLength(t *testing.T) {
	play(t, callers, smallEntry, malformed("Content-Length: 5\r\nContent-Length: 6\r\n%s", withLength(ordinaryJob))...)
}

func TestLengthAndChunked(t *testing.T) {
	play(t, callers, smallEntry, malformed("Transfer-Encoding: chunked\r\n%s", withLength(string(chunked([]byte(ordinaryJob), 5))))...)
}

func TestEndlessChunkExtensions(t *testing.T) {
	one := "1;" + repeated(500, "a=b;") + "\r\n \r\n"
	play(t, callers, smallEntry, malformed("Transfer-Encoding: chunked\r\n\r\n%s1;%s", repeated(50, one), repeated(1<<18, "a=b;"))...)
}

func TestEndlessTrailers(t *testing.T) {
	play(t, callers, smallEntry, malformed("Transfer-Encoding: chunked\r\nTrailer: x\r\n\r\n%x\r\n%s\r\n0\r\n%s", len(ordinaryJob), ordinaryJob, repeated(1<<17, "x: y\r\n"))...)
}

func TestUnusualBytesInHeaderNames(t *testing.T) {
	var groups []group
	for _, name := range []string{"\x00", "a b", "\xff\xfe", "\x7f", "", " ", "a\tb", "(\"x\")", "\r"} {
		groups = append(groups, shares(5, malformed("%s: x\r\n%s", name, withLength(ordinaryJob)))...)
	}
	play(t, callers, smallEntry, groups...)
}

func TestPipelinedRequests(t *testing.T) {
	request := "\r\nGET /quotes/ HTTP/1.1\r\nHost: desk.example\r\n"
	play(t, callers, smallEntry, malformed("%s\r\n", repeated(5000, request))...)
}

func TestSilenceAfterExpectContinue(t *testing.T) {
	g := malformed("Expect: 100-continue\r\nContent-Length: %d\r\n\r\n", maxBodyBytes)
	g[0].clients = 1500
	play(t, callers, smallEntry, g...)
}

func TestDeeplyNestedJSON(t *testing.T) {
	play(t, callers, smallEntry, malformed("%s", withLength(repeated(100_000, "[")+repeated(100_000, "]")))...)
}

func TestDeeplyNestedJSONOfJob(t *testing.T) {
	play(t, callers, smallEntry, malformed("%s", withLength(`{"phases":`+repeated(100_000, "[")+repeated(100_000, "]")+"}"))...)
}

func TestManyEmptyPhases(t *testing.T) {
	play(t, callers, smallEntry, malformed("%s", withLength(`{"bestEffort":true,"phases":[`+repeated(80_000, "{},")+`{}]}`))...)
}

// Guards against limits that refuse a caller within the published ones: a single request in
// calm is served on the smallest machine.
func TestRequestAtTheLimitsIsServed(t *testing.T) {
	s := start(t, smallEntry, smallAgent)
	job := strings.Replace(ordinaryJob, `"count": 1`, fmt.Sprintf(`"count": %d`, wire.MaxTasksPerJob), 1)
	body := padded(job, maxBodyBytes)
	const end = "X-Deadline-Ms: 20000\r\nConnection: close\r\n"
	for _, framing := range []struct {
		name, header string
		body         []byte
	}{
		{"whole", fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)), body},
		{"in chunks of one byte", "Transfer-Encoding: chunked\r\n\r\n", chunked(body, 1)},
	} {
		line := requestLine()
		header := slices.Concat(line, lines(maxHeaderBytes-len(line)-len(end)-len(framing.header), shortLine), []byte(end+framing.header))
		assert.Equal(t, len(header), maxHeaderBytes)
		stop := watch(t, s.entry, s.Settings(0).CallerAddr)
		mustAnswer(t, framing.name, calmTries, func() error { return exchange(s.Settings(0).CallerAddr, slices.Concat(header, framing.body)) })
		u := stop()
		t.Logf("%s: VmHWM %.1f MB", framing.name, mb(u.residentKB))
		assert.Check(t, u.residentKB <= smallEntry.memoryMB*1024)
	}
	assert.Check(t, s.entry.Running() && s.agent.Running())
}
