// Package joblog collects the log lines about one job from the logs of any number of
// processes, and sorts them in causal order.
package joblog

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

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// Line is one log line about a job.
type Line struct {
	at      time.Time
	process string
	message string
	task    string
	run     uint64
	text    string
	// rank orders lines with the same time.
	rank int
}

// Process returns the name of the process that wrote the line.
func (l *Line) Process() string { return l.process }

// Text returns the JSON of the line as the process wrote it.
func (l *Line) Text() string { return l.text }

// lineFields are the fields of a log line by which lines are selected and sorted.
type lineFields struct {
	Time    time.Time `json:"time"`
	Process string    `json:"process"`
	Message string    `json:"message"`
	Job     string    `json:"job"`
	Task    string    `json:"task"`
	Step    string    `json:"step"`
	Run     uint64    `json:"run"`
}

// Messages by which lines are sorted. They must match the texts that entries log.
const (
	messageSubmitted    = "job handed in"
	messageStartOrdered = "start ordered"
	messageRunEnded     = "run ended"
	messageJobEnded     = "job ended"
)

// Read returns the lines of r about a job. It ignores text before the JSON of a line, such
// as a name that a log collector has added, and skips lines that are not JSON.
func Read(r io.Reader, job string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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
		var f lineFields
		if json.Unmarshal(raw[start:], &f) != nil || !f.isAbout(job) {
			continue
		}
		out = append(out, Line{at: f.Time, process: f.Process, message: f.Message, task: f.Task, run: f.Run, text: string(raw[start:])})
	}
	return out, errors.Wrap(scanner.Err(), "read log lines")
}

// isAbout reports whether a line is about a job, or one of its steps or tasks.
func (f *lineFields) isAbout(job string) bool {
	return f.Job == job || strings.HasPrefix(f.Task, job+".") || strings.HasPrefix(f.Step, job+".")
}

// SortByCause returns the lines sorted by cause first and time second, since the clocks of
// processes differ: lines of an agent about a run are sorted after the dispatcher's line
// that orders its start, and before the dispatcher's line that reports its end.
func SortByCause(lines []Line) []Line {
	type key struct {
		task string
		run  uint64
	}
	out := append([]Line(nil), lines...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].at.Before(out[j].at) })
	startOrderedAt := make(map[key]time.Time)
	runEndedAt := make(map[key]time.Time)
	for i := range out {
		k := key{out[i].task, out[i].run}
		switch out[i].message {
		case messageStartOrdered:
			startOrderedAt[k] = out[i].at
		case messageRunEnded:
			runEndedAt[k] = out[i].at
		}
	}
	for i := range out {
		l := &out[i]
		k := key{l.task, l.run}
		start, isOrdered := startOrderedAt[k]
		end, hasEnded := runEndedAt[k]
		l.rank = rankOf(l.message)
		if l.rank != rankOther || !isOrdered {
			continue
		}
		if l.at.Before(start) {
			l.at = start
		}
		if hasEnded && l.at.After(end) {
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

// Ranks of lines with the same time.
const (
	rankSubmitted = iota
	rankStartOrdered
	rankOther
	rankRunEnded
	rankJobEnded
)

// rankOf returns the rank of lines with a message.
func rankOf(message string) int {
	switch message {
	case messageSubmitted:
		return rankSubmitted
	case messageStartOrdered:
		return rankStartOrdered
	case messageRunEnded:
		return rankRunEnded
	case messageJobEnded:
		return rankJobEnded
	}
	return rankOther
}
