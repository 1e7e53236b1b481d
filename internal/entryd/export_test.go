package entryd

// RingFull reports whether the core's event ring takes no further event.
func (e *Entry) RingFull() bool { return len(e.events) == cap(e.events) }
