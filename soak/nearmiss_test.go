package soak

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
)

// nearMisses are messages of log lines that show a step towards a second run of a task; docs/OPERATIONS.md explains them.
var nearMisses = []string{
	"worker lists a run that was taken for ended",
	"runner listed runs after it was reported to have ended",
	"start reached another life of the runner",
	"renewal reached another life of the runner",
	"the proof that an order rests on was too old when its start was answered",
	"started a run while the store fails this worker",
}

// logLine holds the fields of a log line that the checks need.
type logLine struct {
	Message   string `json:"message"`
	Concluded string `json:"concluded"`
	How       string `json:"how"`
	Restarted bool   `json:"restarted"`
	Term      uint64 `json:"term"`
}

// eachLine calls fn with each log line of some machines that contains a text.
func eachLine(machines []*machine, text string, fn func(m *machine, l *logLine, line []byte)) {
	for _, m := range machines {
		data, _ := os.ReadFile(m.log.Name()) // a log that cannot be read fails checkLogs
		for line := range bytes.Lines(data) {
			var l logLine
			if bytes.Contains(line, []byte(text)) && json.Unmarshal(line, &l) == nil {
				fn(m, &l, line)
			}
		}
	}
}

// countNearMisses counts the log lines of each kind in nearMisses.
func (d *deployment) countNearMisses() map[string]int {
	out := make(map[string]int)
	for _, message := range nearMisses {
		eachLine(d.machines, message, func(_ *machine, l *logLine, _ []byte) {
			if l.Message == message {
				out[message]++
			}
		})
	}
	return out
}

// checkConclusions returns the conclusions of dispatchers that were wrong: a run that was taken for ended before its
// lease was over has ended as done. One of a new life that the report of this very life corrects is none.
func (d *deployment) checkConclusions() []string {
	var out []string
	eachLine(d.machines[:entryCount], nearMisses[0], func(m *machine, l *logLine, line []byte) {
		corrected := l.Concluded == "life-replaced" && !l.Restarted
		if l.How == "done" && l.Concluded != "lease-expired" && !corrected {
			out = append(out, fmt.Sprintf("%s: %s", m.name, line))
		}
	})
	return out
}
