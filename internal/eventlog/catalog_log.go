package eventlog

import "go.uber.org/zap/zapcore"

// Events of the platform log's client and of the components that use the log.
var (
	LogUnavailable    = define(3000, "log_unavailable", zapcore.WarnLevel, false)
	LogAvailable      = define(3001, "log_available", zapcore.InfoLevel, false)
	LogGap            = define(3002, "log_gap", zapcore.ErrorLevel, false)
	RetentionTooShort = define(3003, "retention_too_short", zapcore.ErrorLevel, false)
	ConfigApplied     = define(3010, "config_applied", zapcore.InfoLevel, false)
	SnapshotTaken     = define(3011, "snapshot_taken", zapcore.InfoLevel, false)
	ConfigAdopted     = define(3012, "config_adopted", zapcore.InfoLevel, false)
	ConfigBlocked     = define(3013, "config_blocked", zapcore.ErrorLevel, false)
	ClaimWon          = define(3020, "claim_won", zapcore.DebugLevel, true)
	ClaimLost         = define(3021, "claim_lost", zapcore.DebugLevel, true)
	ClaimGivenUp      = define(3022, "claim_given_up", zapcore.DebugLevel, true)
	ClaimReleased     = define(3023, "claim_released", zapcore.DebugLevel, true)
	ConfigSourceLost  = define(3040, "config_source_lost", zapcore.WarnLevel, false)
	ConfigSourceBack  = define(3041, "config_source_back", zapcore.InfoLevel, false)
	ConfigInForce     = define(3042, "config_in_force", zapcore.InfoLevel, false)
	ConfigUnreadable  = define(3043, "config_unreadable", zapcore.ErrorLevel, false)
	ConfigBehind      = define(3045, "config_behind", zapcore.InfoLevel, false)
	DirectoryFailed   = define(3044, "directory_failed", zapcore.WarnLevel, false)
	PresenceWritten   = define(3030, "presence_written", zapcore.InfoLevel, false)
)
