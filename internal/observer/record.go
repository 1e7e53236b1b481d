package observer

import (
	"bufio"
	"encoding/json"
	"os"
	"strconv"
	"sync"

	"github.com/limpettrail/limpettrail/internal/standin/upstream"
)

// StartOf converts a start reported by the stand-in upstream named upstreamName. A
// task index that is not a number becomes -1, which no caller sends.
func StartOf(upstreamName string, s upstream.TaskStart) Start {
	task, err := strconv.Atoi(s.Task)
	if err != nil {
		task = -1
	}
	return Start{Upstream: upstreamName, Submission: s.Submission, Task: task, Digest: s.Digest, Key: s.Key}
}

// StartFile appends starts to a file, one JSON object per line. Each start is one
// write call, so the record survives if the writing process is killed.
type StartFile struct {
	mu sync.Mutex
	f  *os.File
}

// OpenStartFile opens the file at path for appending and creates it if it does not
// exist.
func OpenStartFile(path string) (*StartFile, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return &StartFile{f: f}, nil
}

// Append writes one start to the file.
func (r *StartFile) Append(s Start) error {
	line, err := json.Marshal(s)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = r.f.Write(append(line, '\n'))
	return err
}

// Close closes the file.
func (r *StartFile) Close() error { return r.f.Close() }

// LoadStarts adds every start in the file at path to the observer.
func (o *Observer) LoadStarts(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		var s Start
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return err
		}
		o.RecordStart(s)
	}
	return lines.Err()
}
