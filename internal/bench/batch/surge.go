package batch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Sizes and times of the surge.
const (
	surgeWorkers = 11
	surgeLength  = 90 * time.Minute
	surgeStep    = time.Second
	// readingLag is how old a reading of the service's tail is.
	readingLag = 2
	// checkpointEvery is how often every task's progress is saved in any case.
	checkpointEvery = 2 * time.Minute
	// restartTime is how long a task takes to go on from its checkpoint.
	restartTime = 10 * time.Second
	// waiting is the number of tasks kept waiting.
	waiting = 40
)

// Policy is how a worker protects its service.
type Policy uint8

// The policies.
const (
	// PolicyNone does nothing.
	PolicyNone Policy = iota
	// PolicyGuard follows worker.Guard.
	PolicyGuard
	// PolicyEvict stops the largest task as soon as a reading is past the objective.
	PolicyEvict
)

// Surge is what became of services and batch work under one policy.
type Surge struct {
	// Evictions is the number of tasks moved before their end.
	Evictions int
	// Work is the processor time of kept progress.
	Work time.Duration
	// Lost is the processor time of progress that was not kept.
	Lost time.Duration
	// Tail is the 99th percentile of the tail latency divided by its objective,
	// over all seconds of all workers, weighted by their load.
	Tail float64
	// Past is the part of the requests that came in seconds past the objective.
	Past float64
}

// slopes is how much each class truly raises the pressure on the service.
var slopes = map[string]float64{"shaping": 0.7, "archive": 2.2, "watcher": 0.1}

// sizes is what a task of each class asks for.
var sizes = map[string]worker.Resources{
	"shaping": {MilliCPU: 4000, MemoryMB: 8000},
	"archive": {MilliCPU: 3000, MemoryMB: 12000},
	"watcher": {MilliCPU: 500, MemoryMB: 1000},
}

// runner is one task that runs.
type runner struct {
	hold    record.AssignmentID
	class   string
	percent int
	left    time.Duration
	// unsaved is the progress since the checkpoint.
	unsaved time.Duration
	saved   time.Time
	ready   time.Time
}

// host is one worker of the surge.
type host struct {
	name     string
	load     float64
	guard    worker.Guard
	ledger   worker.Ledger
	runs     map[string]*runner
	readings []float64
}

type surge struct {
	policy    Policy
	scheduler queue.Scheduler
	fold      job.StateMachine
	random    *rand.Rand
	noise     *rand.Rand
	now       time.Time
	offset    uint64
	jobs      int
	hosts     []*host
	// remaining is what a task still has to run, by job.
	remaining map[string]time.Duration
	samples   []sample
	out       Surge
}

type sample struct{ pressure, load float64 }

// RunSurge drives the surge under a policy. The same seed gives the same load
// and the same jobs under every policy.
func RunSurge(p Policy, seed uint64) (Surge, error) {
	s := &surge{
		policy: p, now: start, remaining: make(map[string]time.Duration),
		random: rand.New(rand.NewPCG(seed, 1)), noise: rand.New(rand.NewPCG(seed, 2)), //nolint:gosec // fixed seeds
	}
	s.fold.OnTaskChange = func(id record.TaskID, j *job.Job, t *job.Task) { s.scheduler.TaskChanged(s.now, id, j, t) }
	for i := range surgeWorkers {
		h := &host{name: workerName(i), runs: make(map[string]*runner)}
		h.ledger.Rebuild(workerSize, nil, s.now)
		s.hosts = append(s.hosts, h)
	}
	s.scheduler.Configure(s.now, &bundle.Document{
		BatchClasses: []bundle.BatchClass{{Name: "shaping", Priority: 5}, {Name: "archive", Priority: 1}, {Name: "watcher", Priority: 3}},
		Teams:        []bundle.Team{{Name: team(0), Quota: workerSize.Times(surgeWorkers)}},
	}, &s.fold)
	for range int(surgeLength / surgeStep) {
		if err := s.second(); err != nil {
			return s.out, err
		}
	}
	s.summarise()
	return s.out, nil
}

// second lets one second pass.
func (s *surge) second() error {
	s.now = s.now.Add(surgeStep)
	for i, h := range s.hosts {
		h.load = s.loadAt(i)
		s.work(h)
		s.measure(h)
		s.protect(h)
		r := worker.Report{
			Name: h.name, Rack: fmt.Sprint("rack-", i/workersARack), Service: "lastbench", Total: workerSize, Free: h.ledger.Free(),
			Ready: true, Load: h.load, Pressure: h.reading(),
		}
		s.scheduler.ApplyReport(s.now, &r, h.uses())
	}
	for s.scheduler.Queue().Len() < waiting {
		s.submit()
	}
	for _, d := range s.scheduler.Decide(s.now, &s.fold, func(string) time.Duration { return 0 }, s.noise) {
		if m, ok := d.Message().(*record.Assign); ok {
			if err := s.assign(m); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadAt is the load on a worker's service: it climbs to a crest, with waves of
// two minutes and swings within seconds on top.
func (s *surge) loadAt(i int) float64 {
	at := s.now.Sub(start)
	crest := math.Sin(math.Pi * float64(at) / float64(surgeLength))
	wave := math.Sin(2*math.Pi*at.Seconds()/120 + float64(i)/3)
	return min(max(0.15+0.6*crest+0.15*wave+0.08*s.random.NormFloat64(), 0), 1)
}

func (s *surge) submit() {
	s.jobs++
	class := [...]string{"shaping", "shaping", "archive", "archive", "watcher"}[s.jobs%5]
	id := fmt.Sprint("job-", s.jobs)
	length := time.Duration(float64(6*time.Minute) * math.Exp(s.noise.NormFloat64()*0.5))
	if s.jobs%20 == 0 {
		length *= 10
	}
	s.remaining[id] = length
	s.apply(&record.Submit{Spec: record.Spec{
		ID: id, Team: team(0), Class: class, Tasks: 1, Size: sizes[class], MaxFailures: 3, SubmittedAt: s.now.UnixMilli(),
	}})
}

func (s *surge) apply(m record.Message) record.Position {
	s.offset++
	at := record.NewPosition(s.offset, 0)
	_ = s.fold.Apply(record.New(at, "entry", s.offset, m))
	return at
}

func (s *surge) assign(m *record.Assign) error {
	epoch := s.apply(m)
	for _, p := range m.Placements {
		j, _ := s.fold.Job(p.Task.Job)
		spec := j.Spec()
		h := s.host(p.Worker)
		hold := record.AssignmentID{Task: p.Task, Epoch: epoch}
		if err := h.ledger.Admit(s.now, p.Task.Job, spec.Size); err != nil {
			s.apply(&record.Released{Assignment: hold})
			continue
		}
		if h.runs[p.Task.Job] != nil {
			return errors.Newf("%s runs twice", p.Task)
		}
		h.runs[p.Task.Job] = &runner{
			hold: hold, class: spec.Class, percent: 100, left: s.remaining[p.Task.Job], saved: s.now, ready: s.now.Add(restartTime),
		}
		h.guard.TaskStarted(s.now, p.Task.Job)
	}
	return checkSizes(s.hosts)
}

// checkSizes returns an error if the tasks on a worker add up to more than it has.
func checkSizes(hosts []*host) error {
	for _, h := range hosts {
		var sum worker.Resources
		for _, r := range h.runs {
			sum = sum.Plus(sizes[r.class])
		}
		if !sum.Fits(workerSize) {
			return errors.Wrap(ErrOverfull, h.name)
		}
	}
	return nil
}

func (s *surge) host(name string) *host {
	for _, h := range s.hosts {
		if h.name == name {
			return h
		}
	}
	return nil
}

// work lets the tasks of a worker make progress.
func (s *surge) work(h *host) {
	for _, id := range h.order() {
		r := h.runs[id]
		if s.now.Before(r.ready) {
			continue
		}
		done := surgeStep * time.Duration(r.percent) / 100
		r.left -= done
		r.unsaved += done
		if s.now.Sub(r.saved) >= checkpointEvery {
			s.save(h, id)
		}
		if r.left <= 0 {
			s.save(h, id)
			s.end(h, id)
			s.apply(&record.Finished{Assignment: r.hold, Outcome: record.OutcomeSucceeded})
			s.apply(&record.Forget{Jobs: []string{id}})
		}
	}
}

// save keeps a task's progress.
func (s *surge) save(h *host, id string) {
	r := h.runs[id]
	s.out.Work += cores(r.class, r.unsaved)
	r.unsaved = 0
	r.saved = s.now
	s.remaining[id] = max(r.left, 0)
	h.guard.CheckpointSaved(s.now, id)
}

func cores(class string, d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(sizes[class].MilliCPU) / 1000)
}

func (s *surge) end(h *host, id string) {
	s.out.Lost += cores(h.runs[id].class, h.runs[id].unsaved)
	delete(h.runs, id)
	h.ledger.Release(id)
}

// evict stops a task; what was not saved is lost.
func (s *surge) evict(h *host, id string) {
	hold := h.runs[id].hold
	s.end(h, id)
	s.out.Evictions++
	s.apply(&record.Released{Assignment: hold, Ref: "saved"})
}

// measure takes the true pressure, with noise; the policies see it later.
func (s *surge) measure(h *host) {
	pressure := 0.25 + 0.25*h.load*h.load
	for _, id := range h.order() {
		r := h.runs[id]
		if s.now.Before(r.ready) {
			continue
		}
		part := float64(sizes[r.class].MilliCPU) / float64(workerSize.MilliCPU)
		pressure += h.load * slopes[r.class] * part * float64(r.percent) / 100
	}
	pressure *= math.Exp(0.08 * s.random.NormFloat64())
	h.readings = append(h.readings, pressure)
	s.samples = append(s.samples, sample{pressure: pressure, load: h.load})
}

// reading returns the lagging pressure.
func (h *host) reading() float64 {
	if len(h.readings) <= readingLag {
		return 0
	}
	return h.readings[len(h.readings)-1-readingLag]
}

func (h *host) order() []string {
	out := make([]string, 0, len(h.runs))
	for id := range h.runs {
		out = append(out, id)
	}
	sort.Strings(out)
	return out
}

func (h *host) uses() []queue.ClassUse {
	var out []queue.ClassUse
	for class, size := range sizes {
		u := queue.ClassUse{Class: class}
		for _, r := range h.runs {
			if r.class == class {
				u.Granted = u.Granted.Plus(size)
				u.Used.MilliCPU += size.MilliCPU * int64(r.percent) / 100
			}
		}
		if u.Granted.MilliCPU > 0 {
			out = append(out, u)
		}
	}
	sort.Slice(out, func(i, k int) bool { return out[i].Class < out[k].Class })
	return out
}

func (s *surge) protect(h *host) {
	switch s.policy {
	case PolicyGuard:
		s.followGuard(h)
	case PolicyEvict:
		s.evictLargest(h)
	}
}

func (s *surge) followGuard(h *host) {
	var running []worker.GuardTask
	for _, id := range h.order() {
		class := h.runs[id].class
		running = append(running, worker.GuardTask{
			Key: id, Class: class, Share: float64(sizes[class].MilliCPU) / float64(workerSize.MilliCPU),
		})
	}
	r := worker.ServiceReading{Service: "lastbench", Pressure: h.reading(), Load: h.load}
	for _, a := range h.guard.Decide(s.now, &r, running) {
		switch a.Kind() {
		case worker.ActionThrottle:
			h.runs[a.Key()].percent = a.CPUPercent()
		case worker.ActionCheckpoint:
			s.save(h, a.Key())
		case worker.ActionMove:
			s.save(h, a.Key())
			s.evict(h, a.Key())
		}
	}
}

func (s *surge) evictLargest(h *host) {
	if h.reading() <= 1 {
		return
	}
	largest := ""
	for _, id := range h.order() {
		if largest == "" || sizes[h.runs[id].class].MilliCPU > sizes[h.runs[largest].class].MilliCPU {
			largest = id
		}
	}
	if largest != "" {
		s.evict(h, largest)
	}
}

// summarise counts what still runs and weighs the samples.
func (s *surge) summarise() {
	for _, h := range s.hosts {
		for _, id := range h.order() {
			s.save(h, id)
		}
	}
	sort.Slice(s.samples, func(i, k int) bool { return s.samples[i].pressure > s.samples[k].pressure })
	total, past := 0.0, 0.0
	for _, x := range s.samples {
		total += x.load
		if x.pressure > 1 {
			past += x.load
		}
	}
	s.out.Past = past / total
	sum := 0.0
	for _, x := range s.samples {
		if sum += x.load; sum >= total/100 {
			s.out.Tail = x.pressure
			return
		}
	}
}
