package policy

import (
	"slices"
	"time"
)

// standingTime is how long an attempt must be in flight until it counts as standing. An
// attempt that lasts may never end, so a limit that only the end of an attempt raises again
// must not count it: such limits are for attempts whose answer is still due.
const standingTime = 2 * time.Second

// attemptTimes holds when the attempts in flight at one agent were sent, the oldest first.
// The first ones are standing.
type attemptTimes struct {
	sentAt   []time.Duration
	standing int
}

func (l *attemptTimes) add(now time.Duration) { l.sentAt = append(l.sentAt, now) }

// remove removes an attempt that was sent at sentAt and reports whether it was standing.
func (l *attemptTimes) remove(sentAt time.Duration) (standing bool) {
	i, found := slices.BinarySearch(l.sentAt, sentAt)
	if !found {
		return false
	}
	l.sentAt = slices.Delete(l.sentAt, i, i+1)
	if i >= l.standing {
		return false
	}
	l.standing--
	return true
}

// advance lets attempts become standing and returns how many did. It is called for a report
// of the agent, so the attempts of an agent that does not answer never do.
func (l *attemptTimes) advance(now time.Duration) (n int) {
	for l.standing < len(l.sentAt) && now-l.sentAt[l.standing] >= standingTime {
		l.standing++
		n++
	}
	return n
}

// answersDue returns how many attempts of this entry at the agent are not standing.
func (a *agentState) answersDue() int { return a.inFlight - a.attempts.standing }

// answersDue returns how many attempts in flight are not standing.
func (s *Adaptive) answersDue() int { return s.inFlight - s.standing }
