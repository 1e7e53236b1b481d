package eventlog

import "go.uber.org/zap/zapcore"

// Events of the agent.
var (
	AgentStarted        = define(2000, "agent_started", zapcore.InfoLevel, false)
	AgentStopped        = define(2001, "agent_stopped", zapcore.InfoLevel, false)
	AgentDraining       = define(2002, "agent_draining", zapcore.InfoLevel, false)
	AgentDrained        = define(2003, "agent_drained", zapcore.InfoLevel, false)
	AgentConfigKept     = define(2004, "agent_config_kept", zapcore.InfoLevel, false)
	EntryLinkUp         = define(2010, "entry_link_up", zapcore.InfoLevel, false)
	EntryLinkDown       = define(2011, "entry_link_down", zapcore.WarnLevel, false)
	EntryDialFailed     = define(2012, "entry_dial_failed", zapcore.WarnLevel, false)
	EntryDropped        = define(2013, "entry_dropped", zapcore.InfoLevel, false)
	EntryRetired        = define(2014, "entry_retired", zapcore.InfoLevel, false)
	UpstreamDown        = define(2020, "upstream_down", zapcore.WarnLevel, false)
	UpstreamUp          = define(2021, "upstream_up", zapcore.InfoLevel, false)
	LimitChanged        = define(2022, "limit_changed", zapcore.InfoLevel, false)
	WorkerAnnounced     = define(2030, "worker_announced", zapcore.InfoLevel, false)
	WorkerLeaving       = define(2031, "worker_leaving", zapcore.InfoLevel, false)
	WorkerSilent        = define(2032, "worker_silent", zapcore.WarnLevel, false)
	LeftoverStopped     = define(2033, "leftover_stopped", zapcore.WarnLevel, false)
	WorkerCapacity      = define(2035, "worker_capacity", zapcore.InfoLevel, false)
	WorkerAdmission     = define(2036, "worker_admission", zapcore.WarnLevel, false)
	AnnouncementInvalid = define(2034, "announcement_invalid", zapcore.WarnLevel, false)
	StartReceived       = define(2100, "start_received", zapcore.DebugLevel, true)
	StartRefused        = define(2101, "start_refused", zapcore.InfoLevel, false)
	RunFailed           = define(2114, "run_failed", zapcore.InfoLevel, false)
	TaskStarted         = define(2110, "task_started", zapcore.DebugLevel, true)
	TaskFinished        = define(2111, "task_finished", zapcore.DebugLevel, true)
	ResultReported      = define(2112, "result_reported", zapcore.DebugLevel, true)
	TaskStopAsked       = define(2113, "task_stop_asked", zapcore.DebugLevel, true)
)
