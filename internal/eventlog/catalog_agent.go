package eventlog

import "go.uber.org/zap/zapcore"

// Events of the agent.
var (
	AgentStarted   = define(2000, "agent_started", zapcore.InfoLevel, false)
	AgentStopped   = define(2001, "agent_stopped", zapcore.InfoLevel, false)
	AgentDraining  = define(2002, "agent_draining", zapcore.InfoLevel, false)
	EntryLinkUp    = define(2010, "entry_link_up", zapcore.InfoLevel, false)
	EntryLinkDown  = define(2011, "entry_link_down", zapcore.WarnLevel, false)
	StartReceived  = define(2100, "start_received", zapcore.DebugLevel, true)
	StartRefused   = define(2101, "start_refused", zapcore.DebugLevel, true)
	TaskStarted    = define(2110, "task_started", zapcore.DebugLevel, true)
	TaskFinished   = define(2111, "task_finished", zapcore.DebugLevel, true)
	ResultReported = define(2112, "result_reported", zapcore.DebugLevel, true)
)
