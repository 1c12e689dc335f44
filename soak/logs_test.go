package soak

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/joblog"
)

// payloadMarker is part of every job's payload and must be in no log line.
const payloadMarker = "text-of-a-caller"

// logTimeout is how long a job may take to end, and its log lines to be written, once
// no faults are injected any more.
const logTimeout = 20 * time.Second

// logCase is one way in which a job ends, with the texts that the job's log lines must
// contain. payload is the beginning of the task's payload, which sets its behaviour;
// cancel is set if the job is long-running and is cancelled; phase is the job's last
// phase.
type logCase struct {
	payload string
	cancel  bool
	phase   string
	want    []string
}

var logCases = []logCase{
	{"", false, "completed", []string{"job handed in", "start ordered", "run ended", `"phase":"completed"`}},
	{"fails", false, "failed", []string{"job handed in", "start ordered", `"how":"failed"`, `"phase":"failed"`}},
	{"lasts", true, "cancelled", []string{"job handed in", "start ordered", "job cancelled", "stop ordered", `"how":"stopped"`, `"phase":"cancelled"`}},
}

// checkLogs lets one job end in each way of logCases, without faults. It returns what the
// logs lack about these jobs, and which logs contain the payload of a job.
func (d *deployment) checkLogs(ctx context.Context, seed uint64) []string {
	var out []string
	for i, c := range logCases {
		id := fmt.Sprintf("%08x%08x", 0xeeee0000+i, seed)
		if missing := d.checkJobLog(ctx, &c, id); missing != "" {
			out = append(out, fmt.Sprintf("the logs of job %s, which should be %s, do not contain %q", id, c.phase, missing))
		}
	}
	for _, m := range d.machines {
		data, err := os.ReadFile(m.log.Name())
		if err != nil || bytes.Contains(data, []byte(payloadMarker)) {
			out = append(out, fmt.Sprintf("the log of %s contains the payload of a job, or cannot be read: %v", m.name, err))
		}
	}
	return out
}

// checkJobLog lets one job end, and returns the first text that the job's log lines lack,
// or how its last phase differs from the expected one.
func (d *deployment) checkJobLog(ctx context.Context, c *logCase, id string) (missing string) {
	longRunning := ""
	if c.cancel {
		longRunning = `,"long-running":true`
	}
	body := fmt.Sprintf(`{"task-spec":"%s-%s","steps":[{"count":1,"cpu":500%s}]}`, c.payload, payloadMarker, longRunning)
	ctx, stop := context.WithTimeout(ctx, logTimeout)
	defer stop()
	phase := ""
	for ; phase != c.phase && ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if phase == "" {
			d.call(ctx, http.MethodPost, d.entries[0], id, body)
		}
		if c.cancel && phase == "running" {
			d.call(ctx, http.MethodDelete, d.entries[0], id, "")
		}
		_, phase = d.call(ctx, http.MethodGet, d.entries[0], id, "")
	}
	if phase != c.phase {
		return "its phase: it is " + phase
	}
	for ; ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		if missing = d.missingText(id, c.want); missing == "" {
			return ""
		}
	}
	return missing
}

// missingText returns the first of the wanted texts that no log line about a job
// contains, or "".
func (d *deployment) missingText(id string, want []string) string {
	var found strings.Builder
	for _, m := range d.machines {
		data, err := os.ReadFile(m.log.Name())
		if err != nil {
			return err.Error()
		}
		lines, err := joblog.Read(bytes.NewReader(data), id)
		if err != nil {
			return err.Error()
		}
		for i := range lines {
			found.WriteString(lines[i].Text() + "\n")
		}
	}
	for _, w := range want {
		if !strings.Contains(found.String(), w) {
			return w
		}
	}
	return ""
}
