// Package load is an open-loop load and experiment tool: it sends requests and
// jobs to running entries by a schedule, switches faults of the stand-ins, and
// checks what callers saw against what the stand-ins counted.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ErrPlan means that a plan's document is not valid.
var ErrPlan = errors.New("the plan is not valid")

// Plan is the data file of one experiment.
type Plan struct {
	Name string `yaml:"name"`
	// About says what the experiment shows.
	About string `yaml:"about"`
	// Duration is how long load is sent.
	Duration time.Duration `yaml:"duration"`
	// Settle is how long jobs may take to end afterwards.
	Settle   time.Duration `yaml:"settle"`
	Team     string        `yaml:"team"`
	Site     Site          `yaml:"site"`
	Requests []Stream      `yaml:"requests"`
	Jobs     []JobStream   `yaml:"jobs"`
	Faults   []Fault       `yaml:"faults"`
	Signals  []Signal      `yaml:"signals"`
	// Restart asks the driver to restart every process in turn.
	Restart bool `yaml:"restart"`
	// BundleRaces is how many pairs of racing bundles the driver publishes.
	BundleRaces int    `yaml:"bundle-races"`
	Expect      Expect `yaml:"expect"`
}

// Site is the size of the site that the driver starts.
type Site struct {
	// Bundle is the name of the bundle's template beside the plan; its first
	// service is the one that the endpoints run.
	Bundle      string   `yaml:"bundle"`
	DataCentres []string `yaml:"data-centres"`
	// Entries is the number of entries in each data centre.
	Entries int `yaml:"entries"`
	Workers int `yaml:"workers"`
	Slots   int `yaml:"slots"`
}

// Stream is a stream of requests.
type Stream struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Class   string `yaml:"class"`
	// Rate is interpolated between its steps.
	Rate []Step `yaml:"rate"`
	// Work is the mean work of a request, drawn from an exponential distribution.
	Work      time.Duration `yaml:"work"`
	BodyBytes int           `yaml:"body-bytes"`
	// StragglerShare of the requests take StragglerWork.
	StragglerShare float64       `yaml:"straggler-share"`
	StragglerWork  time.Duration `yaml:"straggler-work"`
	Deadline       time.Duration `yaml:"deadline"`
	// Never marks the requests as not to be repeated.
	Never bool `yaml:"never-repeat"`
}

// Step is a rate at a moment.
type Step struct {
	At        time.Duration `yaml:"at"`
	PerSecond float64       `yaml:"per-second"`
}

// JobStream is a stream of jobs.
type JobStream struct {
	Name           string           `yaml:"name"`
	Class          string           `yaml:"class"`
	Rate           []Step           `yaml:"rate"`
	Tasks          int              `yaml:"tasks"`
	Size           worker.Resources `yaml:"size"`
	Run            time.Duration    `yaml:"run"`
	StragglerShare float64          `yaml:"straggler-share"`
	StragglerRun   time.Duration    `yaml:"straggler-run"`
	// CancelShare of the jobs are cancelled shortly after they were accepted.
	CancelShare float64 `yaml:"cancel-share"`
}

// Fault is a switch of a stand-in at a moment: PUT Set to /Path.
type Fault struct {
	At   time.Duration  `yaml:"at"`
	Path string         `yaml:"path"`
	Set  map[string]any `yaml:"set"`
}

// Signal is sent to a process by the driver.
type Signal struct {
	At      time.Duration `yaml:"at"`
	Process string        `yaml:"process"`
	// Send is kill, term or pause.
	Send string `yaml:"send"`
	// Back is how long after the signal the process is started, or goes on.
	Back time.Duration `yaml:"back"`
}

// Expect holds the bounds of an experiment beside the promises that always hold.
type Expect struct {
	// MostRefused and MostUnknown are shares of the requests.
	MostRefused float64 `yaml:"most-refused"`
	MostUnknown float64 `yaml:"most-unknown"`
	// ServiceErrors allows answers that report the service's own errors.
	ServiceErrors bool `yaml:"service-errors"`
	// Repeats allows tasks to run again because a process or a worker failed.
	Repeats bool `yaml:"repeats"`
	// JobFailures allows jobs to fail, because a worker fails its tasks.
	JobFailures bool `yaml:"job-failures"`
	// JobRefusals allows submissions to be refused or to stay unknown.
	JobRefusals bool `yaml:"job-refusals"`
}

// ReadPlan reads and checks the plan in a file.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := ParsePlan(data)
	return p, errors.Wrap(err, path)
}

// ParsePlan reads and checks a plan.
func ParsePlan(data []byte) (*Plan, error) {
	p := &Plan{Settle: 30 * time.Second, Team: "nursery"}
	if err := yaml.UnmarshalWithOptions(data, p, yaml.Strict()); err != nil {
		return nil, errors.Mark(err, ErrPlan)
	}
	return p, p.check()
}

// check names every field that is wrong.
func (p *Plan) check() error {
	var all error
	want := func(ok bool, field, rule string) {
		if !ok {
			all = errors.Join(all, errors.Wrapf(ErrPlan, "%s: %s", field, rule))
		}
	}
	want(p.Name != "", "name", "must be set")
	want(p.Duration > 0, "duration", "must be longer than 0")
	want(len(p.Requests)+len(p.Jobs) > 0, "requests", "want a stream of requests or of jobs")
	for i, s := range p.Requests {
		at := fmt.Sprintf("requests[%d]", i)
		want(s.Service != "", at+".service", "must be set")
		want(validRate(s.Rate), at+".rate", "want steps in order of time and rates of 0 or more")
		want(isShare(s.StragglerShare), at+".straggler-share", "must be from 0 to 1")
	}
	for i, s := range p.Jobs {
		at := fmt.Sprintf("jobs[%d]", i)
		want(s.Class != "", at+".class", "must be set")
		want(s.Tasks > 0, at+".tasks", "must be at least 1")
		want(validRate(s.Rate), at+".rate", "want steps in order of time and rates of 0 or more")
		want(isShare(s.StragglerShare), at+".straggler-share", "must be from 0 to 1")
		want(isShare(s.CancelShare), at+".cancel-share", "must be from 0 to 1")
	}
	for i, s := range p.Signals {
		known := s.Send == "kill" || s.Send == "term" || s.Send == "pause"
		want(known, fmt.Sprintf("signals[%d].send", i), "want kill, term or pause")
	}
	return all
}

func isShare(v float64) bool { return v >= 0 && v <= 1 }

func validRate(steps []Step) bool {
	for i, s := range steps {
		if s.PerSecond < 0 || (i > 0 && s.At < steps[i-1].At) {
			return false
		}
	}
	return len(steps) > 0
}
