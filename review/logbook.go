package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// logbook is the record of a case: what was sent, answered and run, with the time since
// its start.
type logbook struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func newLogbook(path string) (*logbook, error) {
	file, err := os.Create(path)
	return &logbook{start: time.Now(), file: file}, err
}

// addf adds a line to the record.
func (l *logbook) addf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.file, "%8.3f  %s\n", time.Since(l.start).Seconds(), fmt.Sprintf(format, args...))
}

// sayf adds a line to the record and prints it.
func (l *logbook) sayf(format string, args ...any) {
	l.addf(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (l *logbook) since(t time.Time) float64 { return t.Sub(l.start).Seconds() }
