package load

import (
	"os"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/internal/standin"
)

func readCases(t *testing.T, path string, out any) {
	t.Helper()
	data, err := os.ReadFile(path)
	if err == nil {
		err = yaml.UnmarshalWithOptions(data, out, yaml.Strict())
	}
	if err != nil {
		t.Fatal(err)
	}
}

// TestInvalidPlansAreRefused checks that the plans of testdata/plans.yaml are refused with an error
// that names each invalid field.
func TestInvalidPlansAreRefused(t *testing.T) {
	var cases []struct {
		Name string   `yaml:"name"`
		Plan string   `yaml:"plan"`
		Want []string `yaml:"want"`
	}
	readCases(t, "testdata/plans.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			_, err := ParsePlan([]byte(c.Plan))
			if !errors.Is(err, ErrPlan) {
				t.Fatalf("got %v, want ErrPlan", err)
			}
			for _, want := range c.Want {
				if got := err.Error(); !strings.Contains(got, want) {
					t.Errorf("got %q, want %q in it", got, want)
				}
			}
		})
	}
}

// checkCase is one case of testdata/checks.yaml.
type checkCase struct {
	Name     string `yaml:"name"`
	Requests []struct {
		ID      string          `yaml:"id"`
		Status  int             `yaml:"status"`
		Outcome problem.Outcome `yaml:"outcome"`
		Whole   bool            `yaml:"whole"`
		Never   bool            `yaml:"never"`
	} `yaml:"requests"`
	Jobs []struct {
		ID       string `yaml:"id"`
		Accepted bool   `yaml:"accepted"`
		Phase    string `yaml:"phase"`
		Tasks    int    `yaml:"tasks"`
	} `yaml:"jobs"`
	Runs        map[string]int           `yaml:"runs"`
	Tasks       map[string][]standin.Run `yaml:"tasks"`
	Overfull    []string                 `yaml:"overfull"`
	MostRefused float64                  `yaml:"most-refused"`
	Repeats     bool                     `yaml:"repeats"`
	Want        []string                 `yaml:"want"`
}

func (c *checkCase) observations() *Observations {
	s := &Observations{plan: &Plan{Expect: Expectations{MaxRefusedShare: c.MostRefused, AllowReruns: c.Repeats}}, hasCounts: []bool{true}}
	for _, q := range c.Requests {
		s.requests = append(s.requests, RequestObservation{id: q.ID, status: q.Status, outcome: q.Outcome, bodyMatches: q.Whole, neverRepeat: q.Never})
	}
	for _, j := range c.Jobs {
		s.jobs = append(s.jobs, JobObservation{id: j.ID, accepted: j.Accepted, phase: j.Phase, tasks: j.Tasks})
	}
	s.counts = []standin.Counts{{Requests: c.Runs, Tasks: c.Tasks, Overcommitted: c.Overfull}}
	return s
}

// TestViolations checks which violations are found in the observations of testdata/checks.yaml.
func TestViolations(t *testing.T) {
	var cases []checkCase
	readCases(t, "testdata/checks.yaml", &cases)
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			got := c.observations().Violations()
			if len(got) != len(c.Want) {
				t.Fatalf("got %q, want %q", got, c.Want)
			}
			for i, want := range c.Want {
				if !strings.Contains(got[i], want) {
					t.Errorf("got %q, want %q in it", got[i], want)
				}
			}
		})
	}
}

// TestScheduleFollowsRate checks that one seed gives one schedule, that the arrivals follow the
// rate and that they are shared evenly between variants.
func TestScheduleFollowsRate(t *testing.T) {
	p := &Plan{
		Duration: 10 * time.Second,
		Requests: []RequestStream{{Rate: []RateStep{{At: 0, PerSecond: 100}, {At: 5 * time.Second, PerSecond: 100}, {At: 5 * time.Second, PerSecond: 1000}}}},
	}
	first, second := p.Schedule(7, 2), p.Schedule(7, 2)
	var firstHalf, secondHalf, secondVariant int
	for i, a := range first {
		if a != second[i] {
			t.Fatalf("arrival %d: got %v and %v from one seed, want the same", i, a, second[i])
		}
		if a.Due() < 5*time.Second {
			firstHalf++
		} else {
			secondHalf++
		}
		secondVariant += a.variant
	}
	if firstHalf < 900 || firstHalf > 1100 || secondHalf < 9600 || secondHalf > 10400 {
		t.Errorf("arrivals in the two halves: got %d and %d, want about 1000 and 10000", firstHalf, secondHalf)
	}
	if share := float64(secondVariant) / float64(len(first)); share < 0.45 || share > 0.55 {
		t.Errorf("share of the second variant: got %f, want about one half", share)
	}
}
