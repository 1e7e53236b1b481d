package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU time in /proc. The kernel's interface fixes it
// to 100 ticks per second.
const clockTick = 10 * time.Millisecond

// Indices of fields in /proc/PID/stat, counted from 0 after the command name.
const (
	userTimeField      = 11
	systemTimeField    = 12
	residentPagesField = 21
)

// Usage is the resource usage of a process.
type Usage struct {
	CPUTime       time.Duration
	ResidentBytes int64
}

// Usage reads the CPU time and the resident memory of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	if err != nil {
		return Usage{}, err
	}
	_, afterCommand, _ := strings.Cut(string(data), ") ") // the command name may contain spaces
	fields := strings.Fields(afterCommand)
	if len(fields) <= residentPagesField {
		return Usage{}, fmt.Errorf("harness: %s: too few fields in /proc/PID/stat", p.Name)
	}
	var values [3]int64
	for i, f := range []int{userTimeField, systemTimeField, residentPagesField} {
		if values[i], err = strconv.ParseInt(fields[f], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	return Usage{
		CPUTime:       time.Duration(values[0]+values[1]) * clockTick,
		ResidentBytes: values[2] * int64(os.Getpagesize()),
	}, nil
}
