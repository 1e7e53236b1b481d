package settings

import "time"

// Role names the process that a settings file is for.
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
	{Name: "name", Kind: KindName, Required: true, Help: "name of this process, unique among its role"},
	{Name: "zone", Kind: KindName, Required: true, Help: "availability zone of this VM"},
	{Name: "operator_listen", Kind: KindAddr, Default: "", Help: "operators' address: /metrics, /status, /healthz, /readyz, /timeline, pprof"},
	{Name: "drain_timeout", Kind: KindDuration, Default: "30s", Min: minTimeout, Max: maxTimeout, Help: "longest graceful shutdown before the process leaves anyway"},
	{Name: "log_level", Kind: KindEnum, Default: "info", Choices: []string{"debug", "info", "warn", "error"}, Help: "lowest level that is logged"},
	{Name: "insecure", Kind: KindBool, Default: "false", Help: "allow addresses other than loopback without TLS"},
	{Name: "tls.peer_cert", Kind: KindPath, Help: "certificate for connections between entries and agents (PEM)"},
	{Name: "tls.peer_key", Kind: KindPath, Help: "key of tls.peer_cert (PEM)"},
	{Name: "tls.peer_ca", Kind: KindPath, Help: "authorities that peers' certificates must chain to (PEM)"},
	{Name: "tls.operator_cert", Kind: KindPath, Help: "certificate of the operators' address (PEM)"},
	{Name: "tls.operator_key", Kind: KindPath, Help: "key of tls.operator_cert (PEM)"},
	{Name: "tls.operator_ca", Kind: KindPath, Help: "authorities that operators' certificates must chain to (PEM)"},
}

var entryKeys = []Key{
	{Name: "listen", Kind: KindAddr, Required: true, Help: "callers' address"},
	{Name: "peer_listen", Kind: KindAddr, Required: true, Help: "address that agents and other entries connect to"},
	{Name: "peer_advertise", Kind: KindAddr, Help: "address that peers are told, if it differs from peer_listen"},
	{Name: "log_url", Kind: KindURL, Required: true, Help: "the platform's log service"},
	{Name: "log_retention", Kind: KindDuration, Default: "24h", Min: int64(time.Minute), Max: int64(366 * 24 * time.Hour), Help: "how long the platform's log keeps records"},
	{Name: "max_jobs", Kind: KindInt, Default: "10000", Min: 1, Max: 1_000_000, Help: "submissions in progress before new ones are refused"},
	{Name: "claim_window", Kind: KindDuration, Default: "15m", Min: int64(time.Minute), Max: int64(24 * time.Hour), Help: "age up to which a non-idempotent request's key is accepted"},
	{Name: "tls.caller_cert", Kind: KindPath, Help: "certificate of the callers' address (PEM)"},
	{Name: "tls.caller_key", Kind: KindPath, Help: "key of tls.caller_cert (PEM)"},
}

var agentKeys = []Key{
	{Name: "rack", Kind: KindName, Required: true, Help: "rack of this worker"},
	{Name: "entries", Kind: KindAddrs, Required: true, Help: "entries' peer addresses to start from; may be the balancer's"},
	{Name: "upstream", Kind: KindURL, Required: true, Help: "URL that tasks are posted to"},
	{Name: "slots", Kind: KindInt, Default: "8", Min: 1, Max: 64, Help: "tasks that the upstream runs at once"},
	{Name: "milli_cores", Kind: KindInt, Default: "0", Min: 0, Max: 10_000_000, Help: "processor of the worker in thousandths of a core; 0 means not stated"},
	{Name: "memory", Kind: KindSize, Default: "0MB", Min: 0, Max: 1 << 50, Help: "memory of the worker; 0MB means not stated"},
	{Name: "accelerators", Kind: KindInt, Default: "0", Min: 0, Max: 1024, Help: "accelerators of the worker"},
}

// Keys returns the settings of a role in the order of the documentation.
func Keys(role Role) []Key {
	keys := append([]Key(nil), commonKeys...)
	if role == RoleEntry {
		return append(keys, entryKeys...)
	}
	return append(keys, agentKeys...)
}
