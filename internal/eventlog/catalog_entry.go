package eventlog

import "go.uber.org/zap/zapcore"

// Events of the entry.
var (
	EntryStarted    = define(1000, "entry_started", zapcore.InfoLevel, false)
	EntryStopped    = define(1001, "entry_stopped", zapcore.InfoLevel, false)
	EntryDraining   = define(1002, "entry_draining", zapcore.InfoLevel, false)
	AgentLinkUp     = define(1010, "agent_link_up", zapcore.InfoLevel, false)
	AgentLinkDown   = define(1011, "agent_link_down", zapcore.WarnLevel, false)
	PeerRejected    = define(1012, "peer_rejected", zapcore.WarnLevel, false)
	EntryLeaving    = define(1003, "entry_leaving", zapcore.InfoLevel, false)
	JobTurnedAway   = define(1103, "job_turned_away", zapcore.WarnLevel, false)
	LogLinesDropped = define(1004, "log_lines_dropped", zapcore.WarnLevel, false)
	EntryPaused     = define(1005, "entry_paused", zapcore.WarnLevel, false)
	JobAccepted     = define(1100, "job_accepted", zapcore.InfoLevel, false)
	JobAnswered     = define(1101, "job_answered", zapcore.InfoLevel, false)
	ClaimForwarded  = define(1102, "claim_forwarded", zapcore.DebugLevel, true)
	TaskPlaced      = define(1110, "task_placed", zapcore.DebugLevel, true)
	TaskResult      = define(1111, "task_result", zapcore.DebugLevel, true)
	AttemptFailed   = define(1113, "attempt_failed", zapcore.InfoLevel, false)
	ClassContained  = define(1114, "class_contained", zapcore.WarnLevel, false)
	ClassReleased   = define(1115, "class_released", zapcore.InfoLevel, false)
	// ZoneEvacuated and ZoneEvacuationEnded are those of entries, see AgentEvacuated.
	ZoneEvacuated       = define(1120, "zone_evacuated", zapcore.WarnLevel, false)
	ZoneEvacuationEnded = define(1121, "zone_evacuation_ended", zapcore.InfoLevel, false)
	InterferenceFound   = define(1122, "interference_found", zapcore.InfoLevel, false)
	InterferenceEnded   = define(1123, "interference_ended", zapcore.InfoLevel, false)
	EvacuationIgnored   = define(1124, "evacuation_ignored", zapcore.WarnLevel, false)
	// The share of callers, peers, operators or heartbeats, at entries and agents.
	IngressShareUsedUp = define(1130, "ingress_share_used_up", zapcore.WarnLevel, false)
	IngressShareFree   = define(1131, "ingress_share_free", zapcore.InfoLevel, false)
	AttemptQueried     = define(1112, "attempt_queried", zapcore.DebugLevel, true)
)

// Events of stored jobs.
var (
	StoredJobAccepted   = define(1200, "stored_job_accepted", zapcore.InfoLevel, false)
	StoredJobDriven     = define(1201, "stored_job_driven", zapcore.InfoLevel, false)
	StoredJobEnded      = define(1202, "stored_job_ended", zapcore.InfoLevel, false)
	StoredJobCancelled  = define(1203, "stored_job_cancelled", zapcore.InfoLevel, false)
	StoredJobsTakenOver = define(1204, "stored_jobs_taken_over", zapcore.WarnLevel, false)
	KeeperSuperseded    = define(1205, "keeper_superseded", zapcore.WarnLevel, false)
	JobLogLost          = define(1206, "job_log_lost", zapcore.WarnLevel, false)
	JobLogBack          = define(1207, "job_log_back", zapcore.InfoLevel, false)
	JobAppendRejected   = define(1208, "job_append_rejected", zapcore.WarnLevel, false)
	JobFenceFailed      = define(1209, "job_fence_failed", zapcore.WarnLevel, false)
	JobRecordUnreadable = define(1210, "job_record_unreadable", zapcore.ErrorLevel, false)
	JobAppendUnanswered = define(1211, "job_append_unanswered", zapcore.WarnLevel, false)
	JobAppendResolved   = define(1212, "job_append_resolved", zapcore.InfoLevel, false)
	StoredJobRefused    = define(1213, "stored_job_refused", zapcore.WarnLevel, false)
)
