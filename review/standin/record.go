package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the protocol of a case: what was sent, answered and run.
type record struct {
	began time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// printf writes a line with the time since the case began, in seconds.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.out.Flush()
	r.file.Close()
}
