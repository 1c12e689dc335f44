// Package load is an open-loop load generator for experiments: it sends requests
// and jobs to running entries by a schedule, injects faults into the stand-ins of
// the platform's services, and checks the responses that callers got against the
// counts of the stand-ins.
package load

import (
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// ErrPlan means that a plan is not valid.
var ErrPlan = errors.New("the plan is not valid")

// Plan describes one experiment. Site, Signals, RollingRestart and BundleRaces are for
// the test driver in the folder experiments, which starts the processes; this package
// does not use them.
type Plan struct {
	Name string `yaml:"name"`
	// Description describes what the experiment shows.
	Description string `yaml:"about"`
	// Duration is how long load is sent.
	Duration time.Duration `yaml:"duration"`
	// SettleTime is how long jobs may take to end after the last load was sent.
	SettleTime time.Duration   `yaml:"settle"`
	Team       string          `yaml:"team"`
	Site       Site            `yaml:"site"`
	Requests   []RequestStream `yaml:"requests"`
	Jobs       []JobStream     `yaml:"jobs"`
	Faults     []Fault         `yaml:"faults"`
	Signals    []Signal        `yaml:"signals"`
	// RollingRestart makes the driver restart every process in turn.
	RollingRestart bool `yaml:"restart"`
	// BundleRaces is how many pairs of bundles with the same parent the driver
	// publishes, both bundles of a pair at the same time.
	BundleRaces int          `yaml:"bundle-races"`
	Expect      Expectations `yaml:"expect"`
}

// Site is the size of the site that the driver starts.
type Site struct {
	// Bundle is the name, without .yaml, of the bundle template in the plan's
	// folder. The endpoints run its first service.
	Bundle      string   `yaml:"bundle"`
	DataCentres []string `yaml:"data-centres"`
	// Entries is the number of entries in each data centre.
	Entries int `yaml:"entries"`
	// Workers is the number of workers in all data centres together.
	Workers int `yaml:"workers"`
	// Slots is how many requests each runner works on at the same time.
	Slots int `yaml:"slots"`
}

// RequestStream is a stream of requests.
type RequestStream struct {
	Name    string `yaml:"name"`
	Service string `yaml:"service"`
	Class   string `yaml:"class"`
	// Rate is the arrival rate, interpolated linearly between its steps.
	Rate []RateStep `yaml:"rate"`
	// MeanWork is the mean of the exponential distribution from which the work time of
	// each request is drawn.
	MeanWork time.Duration `yaml:"work"`
	// BodyBytes is the least size of a request's body.
	BodyBytes int `yaml:"body-bytes"`
	// StragglerShare is the share of requests whose work time is StragglerWork.
	StragglerShare float64       `yaml:"straggler-share"`
	StragglerWork  time.Duration `yaml:"straggler-work"`
	Deadline       time.Duration `yaml:"deadline"`
	// NeverRepeat says that the requests must not be run more than once.
	NeverRepeat bool `yaml:"never-repeat"`
}

// RateStep is an arrival rate at a time after the start of the run.
type RateStep struct {
	At time.Duration `yaml:"at"`
	// PerSecond is the number of arrivals per second.
	PerSecond float64 `yaml:"per-second"`
}

// JobStream is a stream of jobs.
type JobStream struct {
	Name  string     `yaml:"name"`
	Class string     `yaml:"class"`
	Rate  []RateStep `yaml:"rate"`
	// Tasks is the number of tasks of each job, Size the resources that each task needs.
	Tasks int              `yaml:"tasks"`
	Size  worker.Resources `yaml:"size"`
	// TaskDuration is how long each task runs; it is also the expected duration that the
	// job states.
	TaskDuration time.Duration `yaml:"run"`
	// StragglerShare is the share of jobs whose tasks run for StragglerDuration.
	StragglerShare    float64       `yaml:"straggler-share"`
	StragglerDuration time.Duration `yaml:"straggler-run"`
	// CancelShare is the share of jobs that are cancelled as soon as they are accepted.
	CancelShare float64 `yaml:"cancel-share"`
}

// Fault is a change of a stand-in's faults at a time after the start of the run. It is
// sent as PUT /Path with Set as JSON.
type Fault struct {
	At   time.Duration  `yaml:"at"`
	Path string         `yaml:"path"`
	Set  map[string]any `yaml:"set"`
}

// Signal is a signal that the test driver sends to a process at a time after the start
// of the run.
type Signal struct {
	At time.Duration `yaml:"at"`
	// Process is the name of the process.
	Process string `yaml:"process"`
	// Action is kill (SIGKILL), term (SIGTERM) or pause (SIGSTOP, later SIGCONT).
	Action string `yaml:"send"`
	// ResumeAfter is how long after the signal the process is started again or, after a
	// pause, resumed.
	ResumeAfter time.Duration `yaml:"back"`
}

// Expectations states which violations an experiment tolerates. All other guarantees
// must always hold.
type Expectations struct {
	// MaxRefusedShare and MaxUnknownShare are the largest tolerated shares of requests that
	// are refused, or whose outcome stays unknown.
	MaxRefusedShare float64 `yaml:"most-refused"`
	MaxUnknownShare float64 `yaml:"most-unknown"`
	// AllowServiceErrors allows responses that report errors of the service itself.
	AllowServiceErrors bool `yaml:"service-errors"`
	// AllowReruns allows tasks to be started more than once, because a process or a
	// worker failed.
	AllowReruns bool `yaml:"repeats"`
	// AllowJobFailures allows jobs to fail, because a worker fails its tasks.
	AllowJobFailures bool `yaml:"job-failures"`
	// AllowJobRefusals allows submissions to be refused or to have an unknown outcome.
	AllowJobRefusals bool `yaml:"job-refusals"`
}

// ReadPlan reads a plan from a file and validates it.
func ReadPlan(path string) (*Plan, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	p, err := ParsePlan(data)
	return p, errors.Wrap(err, path)
}

// ParsePlan decodes a plan and validates it.
func ParsePlan(data []byte) (*Plan, error) {
	p := &Plan{SettleTime: 30 * time.Second, Team: "nursery"}
	if err := yaml.UnmarshalWithOptions(data, p, yaml.Strict()); err != nil {
		return nil, errors.Mark(err, ErrPlan)
	}
	return p, p.validate()
}

// validate returns an error that names every invalid field, or nil.
func (p *Plan) validate() error {
	var errs error
	require := func(ok bool, field, rule string) {
		if !ok {
			errs = errors.Join(errs, errors.Wrapf(ErrPlan, "%s: %s", field, rule))
		}
	}
	require(p.Name != "", "name", "must be set")
	require(p.Duration > 0, "duration", "must be longer than 0")
	require(len(p.Requests)+len(p.Jobs) > 0, "requests", "want a stream of requests or of jobs")
	for i, s := range p.Requests {
		at := fmt.Sprintf("requests[%d]", i)
		require(s.Service != "", at+".service", "must be set")
		require(validRate(s.Rate), at+".rate", "want steps in order of time and rates of 0 or more")
		require(isShare(s.StragglerShare), at+".straggler-share", "must be from 0 to 1")
	}
	for i, s := range p.Jobs {
		at := fmt.Sprintf("jobs[%d]", i)
		require(s.Class != "", at+".class", "must be set")
		require(s.Tasks > 0, at+".tasks", "must be at least 1")
		require(validRate(s.Rate), at+".rate", "want steps in order of time and rates of 0 or more")
		require(isShare(s.StragglerShare), at+".straggler-share", "must be from 0 to 1")
		require(isShare(s.CancelShare), at+".cancel-share", "must be from 0 to 1")
	}
	for i, s := range p.Signals {
		known := s.Action == "kill" || s.Action == "term" || s.Action == "pause"
		require(known, fmt.Sprintf("signals[%d].send", i), "want kill, term or pause")
	}
	return errs
}

func isShare(v float64) bool { return v >= 0 && v <= 1 }

// validRate reports whether there are steps, in the order of time and without a negative rate.
func validRate(steps []RateStep) bool {
	for i, s := range steps {
		if s.PerSecond < 0 || (i > 0 && s.At < steps[i-1].At) {
			return false
		}
	}
	return len(steps) > 0
}
