//go:build review3

package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is a file to which several processes add lines.
type record struct {
	mu   sync.Mutex
	file *os.File
}

// newRecord opens a record; without a path the lines go to standard output.
func newRecord(path string) *record {
	if path == "" {
		return &record{file: os.Stdout}
	}
	f, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	return &record{file: f}
}

// line adds a line with the time of day.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%s %s\n", time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...)) // the verdict does not depend on it
}
