package eventlog

import "go.uber.org/zap/zapcore"

// Events of the platform log's client and of what is built on it.
var (
	LogUnavailable = define(3000, "log_unavailable", zapcore.WarnLevel, false)
	LogAvailable   = define(3001, "log_available", zapcore.InfoLevel, false)
	LogGap         = define(3002, "log_gap", zapcore.ErrorLevel, false)
	ConfigApplied  = define(3010, "config_applied", zapcore.InfoLevel, false)
	SnapshotTaken  = define(3011, "snapshot_taken", zapcore.InfoLevel, false)
	ClaimWon       = define(3020, "claim_won", zapcore.DebugLevel, true)
	ClaimLost      = define(3021, "claim_lost", zapcore.DebugLevel, true)
)
