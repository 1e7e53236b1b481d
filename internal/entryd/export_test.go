package entryd

// EventQueueFull reports whether the core's event queue is full.
func (e *Entry) EventQueueFull() bool { return len(e.events) == cap(e.events) }
