package endpoint

import (
	"testing"
	"time"
)

// dedupScript is a sequence of calls on a table of attempts, read from
// testdata.
type dedupScript struct {
	Promise string
	Size    int
	Steps   []struct {
		Do     string
		ID     string
		Mark   uint64
		For    jsonDuration
		Times  int
		Fate   string
		Answer string
		Want   string
	}
}

func TestDedupTable(t *testing.T) {
	eachScript(t, "fate", func(t *testing.T, s *dedupScript) {
		t.Helper()
		b := &DedupTable{}
		b.SetMaxEnded(s.Size)
		now := time.Unix(1, 0)
		for i, step := range s.Steps {
			id := AttemptID{Request: step.ID, Attempt: 1}
			got := step.Want
			switch step.Do {
			case "advance":
				b.NextMark()
			case "pass":
				now = now.Add(time.Duration(step.For))
			case "admit":
				got = b.Admit(now, id, step.Mark).String()
			case "ask":
				got = b.QueryOrFence(now, id, step.Mark).String()
			case "finish":
				b.Finish(now, id, ParseAttemptState(step.Fate), NewResponse(200, nil, []byte(step.Answer)))
			case "fill":
				for n := range step.Times {
					other := AttemptID{Request: "other", Attempt: uint32(n)}
					b.Admit(now, other, b.mark)
					b.Finish(now, other, AttemptDone, nil)
				}
			case "kept":
				got = "nothing"
				if a := b.Response(id); a != nil {
					got = string(a.Body())
				}
			default:
				t.Fatalf("step %d: unknown step %q", i, step.Do)
			}
			if want := step.Want; got != want {
				t.Errorf("step %d, %s %s: got %q, want %q", i, step.Do, step.ID, got, want)
			}
		}
	})
}

func TestDedupTableBoundsResponses(t *testing.T) {
	var b DedupTable
	now := time.Unix(1, 0)
	body := make([]byte, MaxResponseBytes)
	for n := range uint32(2 * MaxTotalResponseBytes / MaxResponseBytes) {
		id := AttemptID{Request: "r", Attempt: n}
		b.Admit(now, id, 0)
		b.Finish(now, id, AttemptDone, NewResponse(200, nil, body))
	}
	if got, want := b.responseBytes, MaxTotalResponseBytes; got > want {
		t.Errorf("response bytes kept: got %d, want at most %d", got, want)
	}
	if got, want := b.QueryOrFence(now, AttemptID{Request: "r"}, 0), AttemptDone; got != want {
		t.Errorf("state of an attempt whose response was dropped: got %v, want %v", got, want)
	}
}
