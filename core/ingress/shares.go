package ingress

import "fmt"

const (
	kilobyte = int64(1) << 10
	megabyte = int64(1) << 20

	// ownMemory is what a process takes for itself at full load, the program included, with a
	// margin (docs/CAPACITY.md).
	ownMemory = 40 * megabyte
	// smallMemory is the share of a listener with few connections.
	smallMemory = 4 * megabyte
	// callersShare, peersShare and framesShare are the shares of the memory besides ownMemory,
	// in parts of 256. The rest is for the garbage collector and for what evicted connections
	// hold. On a machine of 144 MB, the share of peers holds 1,200 links without TLS, or 240
	// agents that connect at once; that of frames holds one of the largest size.
	callersShare, peersShare, framesShare = 88, 16, 27
	// minMemory is where the shares leave a sixth of the memory to the garbage collector.
	minMemory = 120 * megabyte

	// tasksShare is the part of the memory that tasks in progress may take, of 133 bytes each
	// (docs/CAPACITY.md). maxTasks is the default of core/entry.
	tasksShare = 12
	taskCost   = 144
	maxTasks   = 400_000

	// answersShare is the part of the memory that kept answers may take: on the smallest
	// machine 18,000 of them, those of a quarter of an hour at 20 jobs a second. maxAnswers is
	// the default of internal/entryd.
	answersShare = 16
	maxAnswers   = 64 * megabyte

	// ownDescriptors are those for files, listeners, the store and the worker.
	ownDescriptors = 264
	minDescriptors = 1024
	// maxCallers and maxPeers limit the connections of large machines, and of those whose
	// limits are not known.
	maxCallers, maxPeers = 8192, 16384
	// defaultMemory is assumed if the memory is not known. The shares then have no effect on
	// callers that fitted before there were any.
	defaultMemory = 1 << 30

	// OperatorConnections, ReadyConnections and HeartbeatConnections limit the connections
	// of small listeners.
	OperatorConnections  = 64
	ReadyConnections     = 16
	HeartbeatConnections = 64
)

// Costs of connections.
const (
	// connectionCost is that of a connection of net/http without a request: its buffers and
	// the stack of its goroutine.
	connectionCost = 16 * kilobyte
	// tlsCost is that of TLS in addition, at one end of the connection.
	tlsCost = 24 * kilobyte
	// RequestCost is charged for each request in addition: ReceiveBuffer, and what serves
	// the request.
	RequestCost = ReceiveBuffer + 4*kilobyte
	// ReceiveBuffer is how many bytes wait in the socket of a connection at most.
	ReceiveBuffer = 16 * kilobyte
	// peerCost is that of a connection of a peer, HelloCost what it takes in addition until its
	// hello is valid, with a hello of SmallHello bytes. From then on that of the link is part
	// of ownMemory.
	peerCost   = 4 * kilobyte
	HelloCost  = 16 * kilobyte
	SmallHello = int(kilobyte)
	// ordinary is above what a request of 4 KB with an ordinary header charges in all.
	ordinary = 64 * kilobyte
)

// Machine is what a process may use. 0 means not known.
type Machine struct {
	Memory      int64
	Descriptors int
}

// Shares are the limits of the listeners of a process.
type Shares struct {
	Callers    Limits
	Peers      Limits
	Operators  Limits
	Ready      Limits
	Heartbeats Limits
	// Frames limits the bytes of frames of agents that are read or wait to be handled.
	Frames int64
	// Tasks limits the tasks of jobs in progress, 0 for the default. They are part of
	// ownMemory.
	Tasks int
	// AnswerBytes limits the kept answers of jobs, 0 for the default.
	AnswerBytes int64
	// MemoryLimit is the soft limit for the garbage collector, 0 for none. It leaves room
	// for the program and for bytes that wait in sockets.
	MemoryLimit int64
}

// boundConnections lets connections without requests leave a quarter of the bytes to requests.
func (l *Limits) boundConnections() {
	l.Connections = min(l.Connections, int(l.Bytes*3/4/l.ConnectionCost))
}

// WithTLS returns the limits of a listener whose connections use TLS.
func (l Limits) WithTLS() Limits {
	l.ConnectionCost += tlsCost
	l.boundConnections()
	return l
}

// TooSmall is the error for a machine that is too small.
type TooSmall struct {
	Memory   bool  // too little memory, otherwise too few descriptors
	Got, Min int64 // MB for memory
}

// Error implements error. It names the setting of a node.
func (e *TooSmall) Error() string {
	setting := "limits.maxFds"
	if e.Memory {
		setting = "limits.memoryMb"
	}
	return fmt.Sprintf("%s: got %d, want at least %d", setting, e.Got, e.Min)
}

// SharesOf divides a machine. It returns a TooSmall if the machine is too small.
func SharesOf(m Machine) (Shares, error) {
	if m.Memory != 0 && m.Memory < minMemory {
		return Shares{}, &TooSmall{Memory: true, Got: m.Memory / megabyte, Min: minMemory / megabyte}
	}
	if m.Descriptors != 0 && m.Descriptors < minDescriptors {
		return Shares{}, &TooSmall{Got: int64(m.Descriptors), Min: minDescriptors}
	}
	memory := m.Memory
	if memory == 0 {
		memory = defaultMemory
	}
	rest := memory - ownMemory
	callers, peers := maxCallers, maxPeers
	if m.Descriptors != 0 {
		left := m.Descriptors - ownDescriptors - OperatorConnections - ReadyConnections
		peers = min(peers, left/2)
		callers = min(callers, left-peers)
	}
	s := Shares{
		Callers:    Limits{Bytes: rest * callersShare / 256, ConnectionCost: connectionCost, Connections: callers},
		Peers:      Limits{Bytes: rest * peersShare / 256, ConnectionCost: peerCost, Connections: peers},
		Operators:  Limits{Bytes: smallMemory, ConnectionCost: connectionCost, Connections: OperatorConnections},
		Ready:      Limits{Bytes: smallMemory / 2, ConnectionCost: connectionCost, Connections: ReadyConnections},
		Heartbeats: Limits{Bytes: 2 * smallMemory, ConnectionCost: connectionCost, Connections: HeartbeatConnections},
		Frames:     rest * framesShare / 256,
	}
	for _, l := range []*Limits{&s.Callers, &s.Peers, &s.Operators, &s.Ready, &s.Heartbeats} {
		l.Ordinary = ordinary
		l.boundConnections()
	}
	if m.Memory != 0 {
		s.MemoryLimit = m.Memory / 5 * 4
		s.AnswerBytes = min(m.Memory/answersShare, maxAnswers)
		s.Tasks = int(min(m.Memory/tasksShare/taskCost, maxTasks))
	}
	return s, nil
}
