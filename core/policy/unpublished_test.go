package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against jobs that go ahead of all others because their class is not published any
// more and no published class has its priority.
func TestUnpublishedClassKeepsItsPriority(t *testing.T) {
	first, middle, last := Class{Name: "first", Priority: 0}, Class{Name: "middle", Priority: 5}, Class{Name: "last", Priority: 9}
	s := New(Options{})
	s.Configure(0, Settings{Classes: []Class{first, middle, last}})
	s.Configure(0, Settings{Classes: []Class{first, last}})
	delay := func(c Class) time.Duration { return s.classes[c.Name].priorityDelay }
	assert.Assert(t, delay(first) < delay(middle), "%v, %v", delay(first), delay(middle))
	assert.Assert(t, delay(middle) <= delay(last))
}
