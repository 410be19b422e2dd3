package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder keeps what was sent, answered and run, and writes it to a file.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	runs  map[string][]string // hosts that ran a request, by its id
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f, runs: make(map[string][]string)}, nil
}

func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) ran(id, host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], host)
}

// ranBy returns the hosts that ran a request.
func (r *recorder) ranBy(id string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]string(nil), r.runs[id]...)
}
