package settings

import "time"

// Role is the kind of process that a settings file configures.
type Role string

// Roles with settings files.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

const (
	minTimeout = int64(100 * time.Millisecond)
	maxTimeout = int64(10 * time.Minute)
)

var commonKeys = []Key{
	{Name: "name", Kind: KindName, Required: true, Help: "name of this process, unique within its role"},
	{Name: "zone", Kind: KindName, Required: true, Help: "availability zone of this VM"},
	{Name: "operator_listen", Kind: KindAddr, Default: "", Help: "address for operators: /metrics, /status, /healthz, /readyz, /timeline, pprof"},
	{Name: "drain_timeout", Kind: KindDuration, Default: "30s", Min: minTimeout, Max: maxTimeout, Help: "maximum duration of a graceful shutdown, after which the process exits anyway"},
	{Name: "log_level", Kind: KindEnum, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Help: "minimum level of logged events"},
	{Name: "insecure", Kind: KindBool, Default: "false", Help: "allow addresses other than loopback without TLS"},
	{Name: "tls.peer_cert", Kind: KindPath, Help: "certificate for connections between entries and agents (PEM)"},
	{Name: "tls.peer_key", Kind: KindPath, Help: "key of tls.peer_cert (PEM)"},
	{Name: "tls.peer_ca", Kind: KindPath, Help: "certificate authorities for peers' certificates (PEM)"},
	{Name: "tls.operator_cert", Kind: KindPath, Help: "certificate for operator_listen (PEM)"},
	{Name: "tls.operator_key", Kind: KindPath, Help: "key of tls.operator_cert (PEM)"},
	{Name: "tls.operator_ca", Kind: KindPath, Help: "certificate authorities for operators' certificates (PEM)"},
}

var entryKeys = []Key{
	{Name: "listen", Kind: KindAddr, Required: true, Help: "address for callers"},
	{Name: "peer_listen", Kind: KindAddr, Required: true, Help: "address that agents and other entries connect to"},
	{Name: "peer_advertise", Kind: KindAddr, Help: "address announced to peers, if it differs from peer_listen"},
	{Name: "log_url", Kind: KindURL, Required: true, Help: "URL of the platform's log service"},
	{Name: "log_retention", Kind: KindDuration, Default: "24h", Min: int64(time.Minute), Max: int64(366 * 24 * time.Hour), Help: "how long the platform's log keeps records"},
	{Name: "max_jobs", Kind: KindInt, Default: "10000", Min: 1, Max: 1_000_000, Help: "maximum number of submissions in progress; more are refused"},
	{Name: "process_memory", Kind: KindSize, Default: "0MB", Min: 0, Max: 1 << 50, Help: "memory that the process may use, at least 120MB; 0MB means not stated"},
	{Name: "process_descriptors", Kind: KindInt, Default: "0", Min: 0, Max: 1 << 30, Help: "file descriptors that the process may use, at least 1024; 0 means not stated"},
	{Name: "claim_window", Kind: KindDuration, Default: "15m", Min: int64(time.Minute), Max: int64(24 * time.Hour), Help: "maximum age of the key of a non-idempotent request"},
	{Name: "tls.caller_cert", Kind: KindPath, Help: "certificate for listen (PEM)"},
	{Name: "tls.caller_key", Kind: KindPath, Help: "key of tls.caller_cert (PEM)"},
}

var agentKeys = []Key{
	{Name: "rack", Kind: KindName, Required: true, Help: "rack of this worker"},
	{Name: "entries", Kind: KindAddrs, Required: true, Help: "initial peer addresses of entries; may be the load balancer's"},
	{Name: "upstream", Kind: KindURL, Required: true, Help: "URL to which tasks are sent by POST"},
	{Name: "slots", Kind: KindInt, Default: "8", Min: 1, Max: 64, Help: "tasks that the upstream runs concurrently"},
	{Name: "milli_cores", Kind: KindInt, Default: "0", Min: 0, Max: 10_000_000, Help: "CPU of the worker in thousandths of a core; 0 means not declared"},
	{Name: "memory", Kind: KindSize, Default: "0MB", Min: 0, Max: 1 << 50, Help: "memory of the worker; 0MB means not declared"},
	{Name: "accelerators", Kind: KindInt, Default: "0", Min: 0, Max: 1024, Help: "accelerators of the worker"},
}

// Keys returns the settings of a role in documentation order.
func Keys(role Role) []Key {
	keys := append([]Key(nil), commonKeys...)
	if role == RoleEntry {
		return append(keys, entryKeys...)
	}
	return append(keys, agentKeys...)
}
