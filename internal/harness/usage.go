package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of processor time in /proc, fixed by the kernel's
// interface to 100 a second.
const clockTick = 10 * time.Millisecond

// Fields of /proc/PID/stat after the command, counted from 0.
const (
	statUser   = 11
	statSystem = 12
	statRSS    = 21 // pages
)

// Usage is what a process has used.
type Usage struct {
	Processor time.Duration
	Resident  int64 // bytes
}

// Usage reads the processor time and memory of the process.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, err
	}
	_, rest, _ := strings.Cut(string(data), ") ") // the command may contain spaces
	fields := strings.Fields(rest)
	if len(fields) <= statRSS {
		return Usage{}, fmt.Errorf("harness: %s: short stat", p.Name)
	}
	var n [3]int64
	for i, f := range []int{statUser, statSystem, statRSS} {
		if n[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		Processor: time.Duration(n[0]+n[1]) * clockTick,
		Resident:  n[2] * int64(os.Getpagesize()),
	}, nil
}
