package link

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"os"
	"reflect"
	"runtime"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/limpettrail/limpettrail/core/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 30 * time.Second

func pipe(t testing.TB) (*Conn, net.Conn) {
	a, b := net.Pipe()
	t.Cleanup(func() { a.Close(); b.Close() })
	return NewConn(a), b
}

// Guards against memory that is allocated because a peer declares a long frame.
func TestDeclaredLengthAllocatesNoMemory(t *testing.T) {
	conn, peer := pipe(t)
	go func() {
		peer.Write(binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes))
		peer.Write(make([]byte, 100))
		peer.Close()
	}()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err := conn.Read(new(wire.ToAgent), testTimeout)
	runtime.ReadMemStats(&after)
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
	taken := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, taken < 8*readChunkBytes, "%d bytes were allocated", taken)
}

// Guards against input that exceeds a limit and is accepted.
func TestInvalidFramesAreRejected(t *testing.T) {
	many := make([]wire.EntryAddr, wire.MaxKnownEntries+1)
	for name, c := range map[string]struct {
		body []byte
		into any
	}{
		"empty":                    {nil, new(wire.ToAgent)},
		"trailing byte":            {append(encode(t, wire.ToAgent{}), 0), new(wire.ToAgent)},
		"oversized declared array": {[]byte{0x87, 0x9a, 0xff, 0xff, 0xff, 0xff}, new(wire.ToAgent)},
		"long array":               {encode(t, wire.ToAgent{Cancels: make([]wire.Seq, maxArrayElements+1)}), new(wire.ToAgent)},
		"oversized declared bytes": {[]byte{0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, new(wire.ToEntry)},
		"nested":                   {bytes.Repeat([]byte{0x81}, 1000), new(wire.ToEntry)},
		"indefinite length":        {[]byte{0x9f, 0xff}, new(wire.ToEntry)},
		"tag":                      {append([]byte{0xc1}, encode(t, wire.ToEntry{})...), new(wire.ToEntry)},
		"too few fields":           {[]byte{0x81, 0x01}, new(wire.EntryHello)},
		"many entries":             {encode(t, wire.EntryHello{Entries: many}), new(wire.EntryHello)},
		"long name":                {encode(t, wire.AgentHello{Name: string(make([]byte, wire.MaxNameBytes+1))}), new(wire.AgentHello)},
		"negative slots":           {encode(t, wire.AgentHello{Slots: -1}), new(wire.AgentHello)},
		"negative index":           {encode(t, wire.ToAgent{Starts: []wire.Start{{Index: -1}}}), new(wire.ToAgent)},
		"no outcome":               {encode(t, wire.ToEntry{Results: make([]wire.Result, 1)}), new(wire.ToEntry)},
		"negative load":            {encode(t, wire.ToEntry{Load: wire.Load{Running: -1}}), new(wire.ToEntry)},
		"many neighbours":          {encode(t, wire.ToEntry{Load: wire.Load{Classes: make([]wire.Neighbour, wire.MaxNeighbours+1)}}), new(wire.ToEntry)},
		"negative neighbour": {
			encode(t, wire.ToEntry{Results: []wire.Result{{Outcome: wire.Failed, Neighbours: []wire.Neighbour{{Slots: -1}}}}}), new(wire.ToEntry),
		},
		"large configuration": {
			encode(t, wire.ToAgent{Config: &wire.ConfigState{State: make([]byte, wire.MaxConfigBytes+1)}}), new(wire.ToAgent),
		},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Assert(t, Decode(c.body, c.into) != nil)
		})
	}
	conn, peer := pipe(t)
	go peer.Write(binary.BigEndian.AppendUint32(nil, wire.MaxFrameBytes+1))
	assert.ErrorIs(t, conn.Read(new(wire.ToAgent), testTimeout), ErrFrameTooLarge)
}

// Guards against a limit of the decoder that breaks the link of an agent that reports
// neighbours, whose frames are the most deeply nested ones.
func TestNeighboursAreDecoded(t *testing.T) {
	list := []wire.Neighbour{{Class: "c", Slots: 1000}}
	sent := wire.ToEntry{Results: []wire.Result{{Seq: 1, Outcome: wire.Succeeded, Neighbours: list}}, Load: wire.Load{Classes: list}}
	var received wire.ToEntry
	assert.NilError(t, Decode(encode(t, sent), &received))
	assert.Equal(t, received.Results[0].Neighbours[0], list[0])
	assert.Equal(t, received.Load.Classes[0], list[0])
}

func encode(t testing.TB, v any) []byte {
	body, err := Encode(v)
	assert.NilError(t, err)
	return body
}

// Guards against reads and writes that block forever if the peer is unresponsive.
func TestUnresponsivePeerTimesOut(t *testing.T) {
	conn, _ := pipe(t)
	assert.ErrorIs(t, conn.Read(new(wire.ToAgent), time.Millisecond), os.ErrDeadlineExceeded)
	conn.SetWriteTimeout(time.Millisecond)
	assert.NilError(t, conn.Write(wire.ToEntry{}))
	assert.ErrorIs(t, conn.Flush(), os.ErrDeadlineExceeded)
}

// Guards against frames that are lost when a connection is closed gracefully while
// it has unread frames of the peer, and against large frames that are corrupted
// because they are read in chunks.
func TestFinishDeliversQueuedFrames(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	near, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer near.Close()
	raw, err := listener.Accept()
	assert.NilError(t, err)
	far := NewConn(raw)
	defer far.Close()
	assert.NilError(t, far.Write(wire.ToAgent{LowestOpenSeq: 1}))
	assert.NilError(t, far.Flush())

	sender := NewSender[*wire.ToEntry](NewConn(near))
	defer sender.Close()
	body := bytes.Repeat([]byte("x"), 1<<20)
	for seq := range 3 {
		sender.Send(&wire.ToEntry{Results: []wire.Result{{Seq: wire.Seq(seq), Outcome: wire.Succeeded, Body: body}}})
	}
	sender.Finish()
	for seq := range 3 {
		var f wire.ToEntry
		assert.NilError(t, far.Read(&f, testTimeout))
		assert.Equal(t, f.Results[0].Seq, wire.Seq(seq))
		assert.Assert(t, bytes.Equal(f.Results[0].Body, body))
	}
	assert.ErrorIs(t, far.Read(new(wire.ToEntry), testTimeout), io.EOF)
	assert.Assert(t, !sender.Send(&wire.ToEntry{}))
}

// Guards against memory that a link allocates before it is used: an entry at the
// target scale has more than a thousand links and 64 MB of memory.
func TestIdleLinkUsesLittleMemory(t *testing.T) {
	const links, most = 100, 12 << 10
	var conns [links]net.Conn
	for i := range conns {
		conns[i], _ = net.Pipe()
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	senders := make([]*Sender[*wire.ToAgent], links)
	for i, c := range conns {
		senders[i] = NewSender[*wire.ToAgent](NewConn(c))
	}
	runtime.ReadMemStats(&after)
	for _, s := range senders {
		s.Close()
	}
	each := (after.TotalAlloc - before.TotalAlloc) / links
	assert.Assert(t, each < most, "%d bytes for each link", each)
}

// Guards against a send queue that grows without limit if the peer does not read,
// and against one that is full before it reaches the limit.
func TestFullQueueClosesTheConnection(t *testing.T) {
	conn, _ := pipe(t)
	conn.SetWriteTimeout(testTimeout)
	sender := NewSender[*wire.ToAgent](conn)
	defer sender.Close()
	// The peer does not read, so the first frame larger than the buffer blocks the
	// writer.
	large := &wire.ToAgent{Starts: []wire.Start{{Payload: make([]byte, 2*bufferBytes)}}}
	sent := 0
	for sent <= MaxQueuedFrames && sender.Send(large) {
		sent++
	}
	assert.Equal(t, sent, MaxQueuedFrames)
	assert.Assert(t, !sender.Send(large))
}

// Guards against frames that are reordered or lost when the queue and its spare
// memory are swapped while the writer is busy.
func TestFramesArriveInOrder(t *testing.T) {
	const frames = 3 * MaxQueuedFrames
	conn, peer := pipe(t)
	far := NewConn(peer)
	sender := NewSender[*wire.ToAgent](conn)
	defer sender.Close()
	slots := make(chan struct{}, MaxQueuedFrames/2)
	go func() {
		for i := range frames {
			slots <- struct{}{}
			sender.Send(&wire.ToAgent{LowestOpenSeq: wire.Seq(i)})
		}
	}()
	for i := range frames {
		var f wire.ToAgent
		assert.NilError(t, far.Read(&f, testTimeout))
		assert.Equal(t, f.LowestOpenSeq, wire.Seq(i))
		<-slots
	}
}

// fuzzDecoder checks that the decoder of one message type never crashes, and that
// a message that it accepts is unchanged after encoding and decoding it again.
func fuzzDecoder[T any](f *testing.F) {
	f.Fuzz(func(t *testing.T, body []byte) {
		first := new(T)
		if Decode(body, first) != nil {
			return
		}
		again, err := Encode(first)
		assert.NilError(t, err)
		second := new(T)
		assert.NilError(t, Decode(again, second))
		assert.Assert(t, reflect.DeepEqual(first, second))
	})
}

func FuzzToAgent(f *testing.F)    { fuzzDecoder[wire.ToAgent](f) }
func FuzzToEntry(f *testing.F)    { fuzzDecoder[wire.ToEntry](f) }
func FuzzAgentHello(f *testing.F) { fuzzDecoder[wire.AgentHello](f) }
func FuzzEntryHello(f *testing.F) { fuzzDecoder[wire.EntryHello](f) }

var (
	sampleToAgent = &wire.ToAgent{
		Starts: []wire.Start{{
			Seq: 1 << 20, Submission: wire.SubmissionID{1}, Index: 3, Class: "quote",
			Slack: 300_000, MaxWait: 5_000, Deadline: 900_000, Payload: make([]byte, 200),
		}},
		LowestOpenSeq: 1 << 20, Stamp: 1 << 60,
	}
	sampleToEntry = &wire.ToEntry{
		Results: []wire.Result{{Seq: 1 << 20, Outcome: wire.Succeeded, RunTime: 100_000, Status: 200, Body: make([]byte, 200)}},
		Load:    wire.Load{Running: 8, Queued: 2, Slots: 8, Limit: 8, ExpectedWait: 20_000, Successes: 1 << 20},
		Stamp:   1 << 60,
	}
	sampleEntries    = []wire.EntryAddr{{Incarnation: 5, Peer: "10.0.0.1:7000", Zone: "a"}}
	sampleAgentHello = &wire.AgentHello{Protocol: 1, Agent: 3, Epoch: 1, Name: "w", Zone: "a", Rack: "r", Slots: 8, Entries: sampleEntries}
	sampleEntryHello = &wire.EntryHello{Protocol: 1, Entry: 5, Epoch: 1, Name: "e", Zone: "a", Entries: sampleEntries}
)

func benchmarkCodec[T any](b *testing.B, sample *T) {
	body := encode(b, sample)
	b.Run("encode", func(b *testing.B) {
		var out bytes.Buffer
		b.ReportAllocs()
		for b.Loop() {
			out.Reset()
			if err := encoder.MarshalToBuffer(sample, &out); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(len(body)), "frame-bytes")
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if err := Decode(body, new(T)); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkToAgent(b *testing.B)    { benchmarkCodec(b, sampleToAgent) }
func BenchmarkToEntry(b *testing.B)    { benchmarkCodec(b, sampleToEntry) }
func BenchmarkAgentHello(b *testing.B) { benchmarkCodec(b, sampleAgentHello) }
func BenchmarkEntryHello(b *testing.B) { benchmarkCodec(b, sampleEntryHello) }
func BenchmarkHeartbeat(b *testing.B) {
	benchmarkCodec(b, &wire.ToAgent{LowestOpenSeq: 1 << 20, Stamp: 1 << 60})
}
