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
	// sortTime is the time at which the process wrote the line, until SortByCause adjusts it.
	sortTime time.Time
	process  string
	message  string
	task     string
	run      uint64
	text     string
	// rank orders lines with the same sortTime.
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

// Messages that SortByCause looks for. They must match the texts that entries log.
const (
	messageSubmitted    = "job handed in"
	messageStartOrdered = "start ordered"
	messageRunEnded     = "run ended"
	messageJobEnded     = "job ended"
)

// Read returns the lines of r about a job, given its ID. It ignores text before the JSON of a
// line, such as a name that a log collector has added, and skips lines that are not JSON.
func Read(r io.Reader, jobID string) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var out []Line
	for scanner.Scan() {
		raw := scanner.Bytes()
		if !bytes.Contains(raw, []byte(jobID)) {
			continue
		}
		start := bytes.IndexByte(raw, '{')
		if start < 0 {
			continue
		}
		var f lineFields
		if json.Unmarshal(raw[start:], &f) != nil || !f.isAbout(jobID) {
			continue
		}
		out = append(out, Line{sortTime: f.Time, process: f.Process, message: f.Message, task: f.Task, run: f.Run, text: string(raw[start:])})
	}
	return out, errors.Wrap(scanner.Err(), "read log lines")
}

// isAbout reports whether a line is about a job, or one of the job's steps or tasks.
func (f *lineFields) isAbout(jobID string) bool {
	return f.Job == jobID || strings.HasPrefix(f.Task, jobID+".") || strings.HasPrefix(f.Step, jobID+".")
}

// SortByCause returns the lines in causal order, and by time where that leaves the order open,
// since the clocks of processes differ. An agent's lines about a run come after the dispatcher's
// line that the run's start was ordered, and before the dispatcher's line that the run ended.
func SortByCause(lines []Line) []Line {
	type key struct {
		task string
		run  uint64
	}
	out := append([]Line(nil), lines...)
	sort.SliceStable(out, func(i, j int) bool { return out[i].sortTime.Before(out[j].sortTime) })
	startOrderedAt := make(map[key]time.Time)
	runEndedAt := make(map[key]time.Time)
	for i := range out {
		k := key{out[i].task, out[i].run}
		switch out[i].message {
		case messageStartOrdered:
			startOrderedAt[k] = out[i].sortTime
		case messageRunEnded:
			runEndedAt[k] = out[i].sortTime
		}
	}
	for i := range out {
		l := &out[i]
		k := key{l.task, l.run}
		start, hasStart := startOrderedAt[k]
		end, hasEnd := runEndedAt[k]
		l.rank = rankOf(l.message)
		if l.rank != rankOther || !hasStart {
			continue
		}
		if l.sortTime.Before(start) {
			l.sortTime = start
		}
		if hasEnd && l.sortTime.After(end) {
			l.sortTime = end
		}
	}
	sort.SliceStable(out, func(i, j int) bool {
		if !out[i].sortTime.Equal(out[j].sortTime) {
			return out[i].sortTime.Before(out[j].sortTime)
		}
		return out[i].rank < out[j].rank
	})
	return out
}

// Ranks of lines with the same sortTime, in their causal order.
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
