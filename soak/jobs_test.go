package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"savoryhoist.example/savoryhoist/internal/clock"
	product "savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/platform/standin"
)

const (
	// runnerMilliCPU and runnerMemoryMB are the capacity of each runner, and runnerRack is where all runners are.
	runnerMilliCPU, runnerMemoryMB, runnerRack = 8000, 32000, "r1-1"
	// runnerStopTime is how long runs take to stop.
	runnerStopTime = 100 * time.Millisecond
	// longestGrant is the longest time for which dispatchers count on a worker's lease.
	longestGrant = 5300 * time.Millisecond
	// mixPollInterval is how often callers ask for the phase of a job, and mixPollTime how long after its acceptance they
	// cease to until the end of the faults.
	mixPollInterval, mixPollTime = 500 * time.Millisecond, 12 * time.Second
	// handInTries is how often a caller hands in a job that no entry accepts.
	handInTries = 5
	// cancelTries is how often a caller cancels a job before the end of the faults.
	cancelTries = 4
)

// taskSite is what the runners of a deployment share.
type taskSite struct {
	gangs       product.Gangs
	disruptions disruptions
	faults      atomic.Pointer[callFaults]
}

// equip sets what a runner shares with the others, before its first use.
func (s *taskSite) equip(r *standin.Runner) {
	r.Gangs, r.MilliCPU, r.MemoryMB, r.Rack = &s.gangs, runnerMilliCPU, runnerMemoryMB, runnerRack
	r.StopTime, r.LongestGrant, r.History.Disrupted = runnerStopTime, longestGrant, s.disruptions.during
	r.History.WallOffset = time.Since(clock.Steady())
	r.Faults = func(path string) standin.CallFault {
		if f := s.faults.Load(); f != nil {
			return f.draw(path)
		}
		return standin.CallFault{}
	}
}

// disruptions holds when there were disruptions. While none was noted, all times count as disrupted.
type disruptions struct {
	mu    sync.Mutex
	spans [][2]time.Time
}

// note notes a disruption between two times.
func (d *disruptions) note(from, to time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, [2]time.Time{from, to})
}

// during reports whether there was a disruption at some time between two times.
func (d *disruptions) during(from, to time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.spans) == 0 || slices.ContainsFunc(d.spans, func(s [2]time.Time) bool { return !s[0].After(to) && !s[1].Before(from) })
}

// begin notes a disruption whose end the returned function sets.
func (d *disruptions) begin(from time.Time) (end func(to time.Time)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := len(d.spans)
	d.spans = append(d.spans, [2]time.Time{from, from.Add(time.Hour)})
	return func(to time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.spans[i][1] = to
	}
}

// covers reports whether a noted disruption was in effect at a time.
func (d *disruptions) covers(at time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.ContainsFunc(d.spans, func(s [2]time.Time) bool { return !s[0].After(at) && !s[1].Before(at) })
}

// callFaults draws what goes wrong with calls to runners. The fields are probabilities.
type callFaults struct {
	late, noAnswer, delayed, clockApart float64
	// acrossLives is set if late calls outlast the runner's life, as docs/design/platform.md tells of the limits of its calls.
	acrossLives bool
	disruptions *disruptions

	mu     sync.Mutex
	random *rand.Rand
}

// draw returns what goes wrong with a call to a path. Orders that are carried out late are starts and stops above all.
func (f *callFaults) draw(path string) standin.CallFault {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out standin.CallFault
	happens := func(p float64) bool { return f.random.Float64() < p }
	late := f.late
	if path == "/v1/hold" {
		late /= 10
	}
	switch {
	case happens(late):
		out.AcrossLives = f.acrossLives
		out.Late = 500*time.Millisecond + time.Duration(f.random.Int64N(int64(4500*time.Millisecond)))
	case happens(f.noAnswer):
		out.NoAnswer = true
	case happens(f.delayed):
		out.AnswerDelay = time.Duration(f.random.Int64N(int64(400 * time.Millisecond)))
	}
	if apart := time.Duration(f.random.Int64N(int64(8 * time.Millisecond))); happens(f.clockApart) {
		out.ClockBefore = apart
	} else if happens(f.clockApart) {
		out.ClockAfter = apart
	}
	if out.Late > 0 || out.NoAnswer || out.AnswerDelay > 0 {
		now := time.Now()
		f.disruptions.note(now, now.Add(out.Late+out.AnswerDelay+time.Second))
	}
	return out
}

// stepDraft is a step of a job with the fields that only the scheduler reads.
type stepDraft struct {
	product.StepPlan
	sameRack, longRunning bool
	maxPerWorker          int
}

// mixJob is a job of a mix, what its caller does and what it has seen.
type mixJob struct {
	id, kind, body string
	plan           product.JobPlan
	// phase is how the job ends if it is not cancelled; empty for one that runs until it is cancelled.
	endsAs string
	// entries are the entries that the caller calls in turn. repeats are the times since the acceptance at which the job is
	// handed in again, and cancelAfter is when it is cancelled; 0 stands for never.
	entries     []int
	repeats     []time.Duration
	cancelAfter time.Duration
	// cancelNow is closed when the job is cancelled at once.
	cancelNow chan struct{}

	calls      int
	accepted   bool
	acceptedAt time.Time
	// unknown is set once an attempt to hand the job in had no definite response.
	unknown bool
	// cancelSent is set once a cancellation was sent, and cancelled once it was acknowledged.
	cancelSent, cancelled bool
	phase                 string
	endedAt               time.Time
	problems              []string
}

// jobMix hands in jobs with all properties of steps, and checks what their callers see.
type jobMix struct {
	seed   uint64
	group  sync.WaitGroup
	jobs   []*mixJob
	bursts int
}

func newJobMix(seed uint64) *jobMix { return &jobMix{seed: seed} }

// mixKind is a kind of jobs. Kinds with a larger share are drawn more often.
type mixKind struct {
	name  string
	share int
	draw  func(random *rand.Rand) []stepDraft
}

// millis draws a number of milliseconds.
func millis(random *rand.Rand, low, high int64) int64 { return low + random.Int64N(high-low+1) }

// chance draws whether something with a probability in percent is so.
func chance(random *rand.Rand, percent int) bool { return random.IntN(100) < percent }

// step returns a step draft of tasks that take a duration.
func step(count int, durationMS, milliCPU int64, after ...int) stepDraft {
	return stepDraft{StepPlan: product.StepPlan{Count: count, DurationMS: durationMS, MilliCPU: milliCPU, MemoryMB: 64, After: after}}
}

// longKind is most of the jobs of seeds for which playsRestarts holds: their tasks outlast the lease of a worker.
var longKind = mixKind{"long", 400, func(random *rand.Rand) []stepDraft {
	return []stepDraft{step(6, millis(random, 6500, 9000), 20)}
}}

var mixKinds = []mixKind{
	{"fit-check", 40, func(random *rand.Rand) []stepDraft {
		out := []stepDraft{step(6, millis(random, 300, 700), 240)}
		if chance(random, 60) {
			out = append(out, step(6, millis(random, 300, 700), 240, 0))
		}
		return out
	}},
	{"shape", 5, func(random *rand.Rand) []stepDraft {
		return []stepDraft{step(8, millis(random, 1000, 1800), 1800), step(8, millis(random, 1000, 1800), 1800, 0)}
	}},
	{"archive", 3, func(random *rand.Rand) []stepDraft {
		s := step(6, 0, 240)
		s.longRunning, s.Behaviour = true, product.TaskNeverEnds
		if chance(random, 30) {
			s.DurationMS = millis(random, 2500, 4000) // the tasks fail at work
		}
		return []stepDraft{s}
	}},
	{"gang", 9, func(random *rand.Rand) []stepDraft {
		s := step(2+random.IntN(3), millis(random, 200, 2500), 500)
		s.Gang, s.sameRack, s.Checkpointing = true, chance(random, 40), chance(random, 40)
		return []stepDraft{s, step(1, 100, 240, 0)}
	}},
	{"affinity", 6, func(random *rand.Rand) []stepDraft {
		s := step(3, millis(random, 200, 900), 500)
		s.Rack = []string{runnerRack, "r9-9"}[random.IntN(2)]
		return []stepDraft{s}
	}},
	{"anti-affinity", 6, func(random *rand.Rand) []stepDraft {
		s := step(5, millis(random, 200, 900), 240)
		s.maxPerWorker = 2
		return []stepDraft{s}
	}},
	{"speculative", 8, func(random *rand.Rand) []stepDraft {
		s := step(4, millis(random, 200, 1500), 240)
		s.Speculative = true
		return []stepDraft{s, step(1, 50, 240, 0)}
	}},
	{"checkpointing", 7, func(random *rand.Rand) []stepDraft {
		s := step(3, millis(random, 1500, 4000), 240)
		s.Checkpointing = true
		return []stepDraft{s}
	}},
	{"chain", 8, func(random *rand.Rand) []stepDraft {
		return []stepDraft{step(2, millis(random, 50, 300), 240), step(3, millis(random, 50, 300), 240, 0), step(1, millis(random, 50, 300), 240, 0, 1)}
	}},
	{"scheduled", 7, func(random *rand.Rand) []stepDraft {
		return []stepDraft{step(2, millis(random, 50, 900), 240), step(1, 50, 240, 0)}
	}},
	{"failing-at-first", 5, func(random *rand.Rand) []stepDraft {
		s := step(2, millis(random, 50, 400), 240)
		s.FailedRuns = uint64(1 + random.IntN(2))
		return []stepDraft{s}
	}},
	{"hopeless", 3, func(random *rand.Rand) []stepDraft {
		s := step(2, millis(random, 50, 200), 240)
		s.Behaviour = product.TaskFails
		return []stepDraft{s}
	}},
}

// draw draws the next job.
func (m *jobMix) draw(random *rand.Rand) *mixJob {
	kinds, total := mixKinds, 0
	if playsRestarts(m.seed) {
		kinds = append([]mixKind{longKind}, mixKinds...)
	}
	for _, k := range kinds {
		total += k.share
	}
	i := 0
	for left := random.IntN(total); left >= kinds[i].share; i++ {
		left -= kinds[i].share
	}
	k := &kinds[i]
	j := &mixJob{id: fmt.Sprintf("%08x%08x", 0xa0000000|m.seed, len(m.jobs)), kind: k.name, endsAs: "completed", cancelNow: make(chan struct{})}
	steps := k.draw(random)
	j.plan = product.JobPlan{Job: j.id, Note: payloadMarker}
	switch k.name {
	case "archive":
		j.endsAs = ""
	case "hopeless":
		j.endsAs = "failed"
	case "scheduled":
		j.plan.Occurrences, j.plan.IntervalMS = 2+random.IntN(4), millis(random, 150, 800)
		j.plan.FirstDueMS = time.Now().UnixMilli() + millis(random, 0, 1500)
	}
	j.encode(random, steps)
	for range 8 {
		j.entries = append(j.entries, random.IntN(entryCount))
	}
	if chance(random, 25) {
		for range 1 + random.IntN(2) {
			j.repeats = append(j.repeats, time.Duration(random.Int64N(int64(6*time.Second))))
		}
		slices.Sort(j.repeats)
	}
	if k.name != longKind.name && chance(random, 8) || j.endsAs == "" && chance(random, 60) {
		j.cancelAfter = time.Duration(1 + random.Int64N(int64(4*time.Second)))
	}
	return j
}

// encode sets the plan and the body of a job from its steps.
func (j *mixJob) encode(random *rand.Rand, steps []stepDraft) {
	var documents []map[string]any
	for i := range steps {
		s := &steps[i]
		j.plan.Steps = append(j.plan.Steps, s.StepPlan)
		document := map[string]any{"count": s.Count, "cpu": s.MilliCPU, "mem-mb": s.MemoryMB, "est-runtime-ms": 1 + s.DurationMS*int64(50+random.IntN(150))/100}
		for name, set := range map[string]bool{"gang": s.Gang, "same-rack": s.sameRack, "speculative": s.Speculative, "checkpointing": s.Checkpointing, "long-running": s.longRunning} {
			if set {
				document[name] = true
			}
		}
		if s.Rack != "" {
			document["affinity"] = s.Rack
		}
		if s.maxPerWorker > 0 {
			document["anti-affinity"] = s.maxPerWorker
		}
		if len(s.After) > 0 {
			document["after"] = s.After
		}
		documents = append(documents, document)
	}
	text, _ := json.Marshal(&j.plan) // plans can always be encoded, as can the body
	body := map[string]any{"task-spec": string(text), "steps": documents}
	if j.plan.Occurrences > 0 {
		body["repeat-count"], body["start-at-ms"], body["interval-ms"] = j.plan.Occurrences, j.plan.FirstDueMS, j.plan.IntervalMS
	}
	data, _ := json.Marshal(body)
	j.body = string(data)
}

// submitNext draws a job and has its caller hand it in, and at times has the callers of the newest jobs cancel them.
func (m *jobMix) submitNext(ctx context.Context, d *deployment, random *rand.Rand) {
	j := m.draw(random)
	m.jobs = append(m.jobs, j)
	m.group.Go(func() { m.play(ctx, d, j) })
	if !playsRestarts(m.seed) && chance(random, 3) {
		m.bursts++
		for _, other := range m.jobs[max(0, len(m.jobs)-3-random.IntN(8)):] {
			select {
			case <-other.cancelNow:
			default:
				close(other.cancelNow)
			}
		}
	}
}

// send sends one call about a job to the next of its entries.
func (m *jobMix) send(ctx context.Context, d *deployment, j *mixJob, method, body string) (status int, phase string) {
	j.calls++
	return d.call(ctx, method, d.entries[j.entryOfCall()%len(d.entries)], j.id, body)
}

// entryOfCall returns the number of the entry that the last call about the job was sent to.
func (j *mixJob) entryOfCall() int { return j.entries[j.calls%len(j.entries)] }

// play is what the caller of a job does while there are faults.
func (m *jobMix) play(ctx context.Context, d *deployment, j *mixJob) {
	for try := 0; try < handInTries && !j.accepted && ctx.Err() == nil; try++ {
		switch status, _ := m.send(ctx, d, j, http.MethodPost, j.body); status {
		case http.StatusOK:
			j.accepted, j.acceptedAt = true, time.Now()
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
			d.pause(200 * time.Millisecond)
		default:
			j.unknown = true
			d.pause(50 * time.Millisecond)
		}
	}
	repeats, cancels := j.repeats, 0
	for j.accepted && ctx.Err() == nil && d.running.Err() == nil {
		age, cancel := time.Since(j.acceptedAt), false
		select {
		case <-j.cancelNow:
			cancel = true
		default:
			cancel = j.cancelAfter > 0 && age >= j.cancelAfter
		}
		if cancel && !j.cancelled && cancels < cancelTries {
			cancels++
			m.cancel(ctx, d, j)
		}
		if len(repeats) > 0 && age >= repeats[0] {
			repeats = repeats[1:]
			m.send(ctx, d, j, http.MethodPost, j.body)
		}
		m.look(ctx, d, j)
		if len(repeats) == 0 && (age > mixPollTime || !j.endedAt.IsZero() && time.Since(j.endedAt) > 2*mixPollInterval) {
			return
		}
		d.pause(mixPollInterval)
	}
}

// cancel sends one cancellation of a job.
func (m *jobMix) cancel(ctx context.Context, d *deployment, j *mixJob) {
	j.cancelSent = true
	if status, _ := m.send(ctx, d, j, http.MethodDelete, ""); status == http.StatusOK {
		j.cancelled = true
		d.history.NoteCancelled(clock.Steady(), j.id)
	}
}

// look asks for the phase of a job once.
func (m *jobMix) look(ctx context.Context, d *deployment, j *mixJob) {
	asked := time.Now()
	status, phase := m.send(ctx, d, j, http.MethodGet, "")
	switch {
	case status == http.StatusGone && j.cancelSent:
		phase = "cancelled"
	case status == http.StatusGone && asked.Sub(j.acceptedAt) > visibleAfter:
		j.problems = append(j.problems, fmt.Sprintf("is not known %v after its acceptance", time.Since(j.acceptedAt)))
		return
	case status != http.StatusOK:
		return
	}
	// An entry that the store and its peers do not reach cannot know; what others must show is not excused.
	cutOff := d.machines[j.entryOfCall()%len(d.entries)].cutOff.covers(asked)
	if !j.endedAt.IsZero() && phase != j.phase && asked.Sub(j.endedAt) > visibleAfter && !cutOff {
		j.problems = append(j.problems, fmt.Sprintf("is shown as %s %v after it was %s", phase, time.Since(j.endedAt), j.phase))
	}
	switch phase {
	case "completed":
		d.history.NoteCompleted(clock.Steady(), j.id, &j.plan)
	case "failed", "cancelled":
	default:
		return
	}
	if j.endedAt.IsZero() {
		j.phase, j.endedAt = phase, time.Now()
	}
}

// check cancels the jobs that run until they are cancelled, waits until all accepted jobs have ended, at most maxSettleTime,
// and returns what is wrong.
func (m *jobMix) check(ctx context.Context, d *deployment) []string {
	m.group.Wait()
	ctx, stop := context.WithTimeout(ctx, maxSettleTime)
	defer stop()
	var out []string
	for _, j := range m.jobs {
		for j.accepted && j.endedAt.IsZero() && len(j.problems) == 0 && ctx.Err() == nil {
			if (j.endsAs == "" || j.cancelSent) && !j.cancelled {
				m.cancel(ctx, d, j)
			}
			m.look(ctx, d, j)
			if j.endedAt.IsZero() {
				d.pause(100 * time.Millisecond)
			}
		}
		switch {
		case !j.accepted && !j.unknown && d.history.Started(j.id):
			j.problems = append(j.problems, "was refused, and ran")
		case j.accepted && j.phase != j.endsAs && (j.phase != "cancelled" || !j.cancelSent):
			j.problems = append(j.problems, fmt.Sprintf("is %q and not %q", j.phase, cmp.Or(j.endsAs, "cancelled")))
		}
		for _, p := range j.problems {
			out = append(out, fmt.Sprintf("job %s (%s, cancelled: %v) %s", j.id, j.kind, j.cancelSent, p))
		}
	}
	now := clock.Steady()
	return slices.Concat(out, d.history.Violations(), d.history.CancelledViolations(now))
}

// summary returns how many jobs of each kind were handed in, and how many have ended in which phase.
func (m *jobMix) summary() string {
	counts := make(map[string]int)
	for _, j := range m.jobs {
		counts[j.kind]++
		counts["is "+cmp.Or(j.phase, "open")]++
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		out = append(out, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(out, ", ")
}

// TestJobMix runs the mix of jobs with faults of processes, store and runners. SOAK_SEEDS and SOAK_SEED are those of
// TestSoak; SOAK_PROGRAM names a program to run instead of building one. Runners read their clock apart from the listing that
// they send it with if SOAK_CLOCK_APART is set, and carry out late calls in later lives if SOAK_ACROSS_LIVES is set.
func TestJobMix(t *testing.T) {
	program := os.Getenv("SOAK_PROGRAM")
	if program == "" {
		program = filepath.Join(t.TempDir(), "savoryhoist")
		if out, err := exec.Command("go", "build", "-o", program, "..").CombinedOutput(); err != nil {
			t.Fatalf("build: %v\n%s", err, out)
		}
	}
	list := []uint64{1}
	if os.Getenv("SOAK_SEEDS") != "" {
		list = seeds(t)
	}
	for _, seed := range list {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) { runMix(t, program, seed) })
	}
}

// mixDuration is how long faults are injected for one seed: long enough for the leases of a worker whose agent is stopped early
// to expire.
const mixDuration = 14 * time.Second

// Seeds from firstRestartSeed to firstDaySeed have long tasks and no faults but restarts of one runner, with its agent stopped right after.
// There is one restart for every restartJobs jobs; the last one comes early enough for the leases to expire.
const (
	firstRestartSeed             = 5000
	restartDuration, lastRestart = 30 * time.Second, 21 * time.Second
	restartJobs, firstRestartJob = 130, 40
)

// playsRestarts reports whether a seed has long tasks and restarts of one runner under its agent.
func playsRestarts(seed uint64) bool { return seed >= firstRestartSeed && seed < firstDaySeed }

// restartUnderAgent restarts a runner at once, under the same name and address, and stops its agent a little later for longer
// than the leases last that the agent may have renewed.
func (d *deployment) restartUnderAgent(random *rand.Rand, i int) string {
	h, agent := d.hosts[i], d.agents()[i]
	stopAfter, lasts := time.Duration(random.IntN(14))*time.Millisecond, time.Duration(6500+random.IntN(1500))*time.Millisecond
	if !h.changing.TryLock() {
		return h.runner.Name + " changes already"
	}
	d.group.Go(func() {
		defer h.changing.Unlock()
		h.leave()
		d.comeBack(h)
		d.pause(stopAfter)
		agent.signal(syscall.SIGSTOP)
		d.pause(lasts)
		agent.signal(syscall.SIGCONT)
	})
	return fmt.Sprintf("%s restarts, its agent stopped %v later for %v", h.runner.Name, stopAfter, lasts)
}

// mixDisruption is how long a fault disrupts the deployment at most.
const mixDisruption = 5 * time.Second

// mixFault injects one fault, and returns a description of it and how long it disrupts the deployment at most.
func (d *deployment) mixFault(random *rand.Rand) (string, time.Duration) {
	switch random.IntN(8) {
	case 0, 1:
		return d.runnerLeaves(random), mixDisruption
	case 2:
		return d.restartUnderAgent(random, random.IntN(len(d.hosts))), 2 * mixDisruption
	default:
		return d.injectFault(random), mixDisruption
	}
}

// runMix plays the mix of one seed and checks it. How many faults there are depends on the seed.
func runMix(t *testing.T, program string, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 3))
	d := newDeployment(t, program, seed, smallShape)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	d.awaitReady(ctx, t)
	began := time.Now()
	d.tasks.disruptions.note(began.Add(-time.Hour), began)
	f := &callFaults{disruptions: &d.tasks.disruptions, random: rand.New(rand.NewPCG(seed, 4))}
	f.late, f.noAnswer, f.delayed = []float64{0, 0.01, 0.03}[random.IntN(3)], []float64{0, 0.01}[random.IntN(2)], []float64{0, 0.05}[random.IntN(2)]
	f.acrossLives = os.Getenv("SOAK_ACROSS_LIVES") != ""
	if os.Getenv("SOAK_CLOCK_APART") != "" {
		f.clockApart = 0.3
	}
	d.tasks.faults.Store(f)
	oneIn, faults, duration := []int{5, 10, 25, 60}[random.IntN(4)], 0, mixDuration
	if playsRestarts(seed) {
		oneIn, duration = restartJobs, restartDuration
	}
	m := newJobMix(seed)
	for time.Since(began) < duration {
		m.submitNext(ctx, d, random)
		what, disrupted := "", mixDisruption
		switch {
		case playsRestarts(seed):
			if len(m.jobs)%restartJobs == firstRestartJob && time.Since(began) < lastRestart {
				what, disrupted = d.restartUnderAgent(random, 0), 2*mixDisruption
			}
		case random.IntN(oneIn) == 0:
			what, disrupted = d.mixFault(random)
		}
		if what != "" {
			faults++
			now := time.Now()
			d.tasks.disruptions.note(now, now.Add(disrupted))
			t.Logf("%s: %s", now.Format(time.StampMilli), what)
		}
		d.pause(time.Duration(20+random.IntN(100)) * time.Millisecond)
	}
	d.endFaults()
	d.tasks.faults.Store(nil)
	problems := append(m.check(ctx, d), d.checkLogs(ctx, seed)...)
	t.Logf("seed %d: %d faults, one in %d jobs; late %v, without answer %v, delayed %v; %d bursts; %s", seed, faults, oneIn, f.late, f.noAnswer, f.delayed, m.bursts, m.summary())
	for _, p := range problems {
		t.Errorf("seed %d: %s", seed, p)
	}
	for _, n := range d.history.NearMisses() {
		t.Logf("seed %d: near miss: %s", seed, n)
	}
	if t.Failed() {
		d.keepLogs(t, seed)
		if err := os.WriteFile(filepath.Join("..", "out", "soak", fmt.Sprint(seed), "history.txt"), []byte(d.history.Report(clock.Steady())), 0o600); err != nil {
			t.Error(err)
		}
	}
}
