// Package story finds what the log lines of any number of processes say about
// one job, and puts it in order.
package story

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// longestLine bounds one log line, in bytes.
const longestLine = 1 << 20

// Line is one log line about a job.
type Line struct {
	at      time.Time
	process string
	message string
	task    string
	run     uint64
	text    string
	// rank orders lines of the same moment.
	rank int
}

// Process returns the name of the process that wrote the line.
func (l *Line) Process() string { return l.process }

// Text returns the line as it was written.
func (l *Line) Text() string { return l.text }

// fields are what the order of lines depends on.
type fields struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Message string    `json:"message"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Step    string    `json:"step"`
	Run     uint64    `json:"run"`
}

// Messages that the order depends on.
const (
	messageHandedIn = "job handed in"
	messageOrdered  = "start ordered"
	messageEnded    = "run ended"
	messageJobEnded = "job ended"
)

// Read returns the lines of r that concern a job. What stands before the JSON
// of a line, such as a name that a collector added, is ignored.
func Read(r io.Reader, job string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, longestLine)
	var out []Line
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(job)) {
			continue
		}
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var f fields
		if json.Unmarshal(raw[start:], &f) != nil || !f.concern(job) {
			continue
		}
		out = append(out, Line{at: f.Time, process: f.Process, message: f.Message, task: f.Task, run: f.Run, text: string(raw[start:])})
	}
	return out, errors.Wrap(scanner.Err(), "read log lines")
}

// concern reports whether a line is about a job, one of its steps or tasks.
func (f *fields) concern(job string) bool {
	return f.Job == job || strings.HasPrefix(f.Task, job+".") || strings.HasPrefix(f.Step, job+".")
}

// Order sorts lines by cause first and time second: the clocks of processes
// disagree, but a run is ordered before its agent speaks of it, and ends after.
func Order(lines []Line) []Line {
	type key struct {
		task string
		run  uint64
	}
	out := append([]Line(nil), lines...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	ordered := make(map[key]time.Time)
	ended := make(map[key]time.Time)
	for i := range out {
		k := key{out[i].task, out[i].run}
		switch out[i].message {
		case messageOrdered:
			ordered[k] = out[i].at
		case messageEnded:
			ended[k] = out[i].at
		}
	}
	for i := range out {
		l := &out[i]
		k := key{l.task, l.run}
		start, started := ordered[k]
		end, over := ended[k]
		l.rank = rankOf(l.message)
		if l.rank != rankAgent || !started {
			continue
		}
		if l.at.Before(start) {
			l.at = start
		}
		if over && l.at.After(end) {
			l.at = end
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].at.Equal(out[j].at) {
			return out[i].at.Before(out[j].at)
		}
		return out[i].rank < out[j].rank
	})
	return out
}

// Ranks of lines of the same moment.
const (
	rankHandedIn = iota
	rankOrdered
	rankAgent
	rankEnded
	rankJobEnded
)

func rankOf(message string) int {
	switch message {
	case messageHandedIn:
		return rankHandedIn
	case messageOrdered:
		return rankOrdered
	case messageEnded:
		return rankEnded
	case messageJobEnded:
		return rankJobEnded
	}
	return rankAgent
}
