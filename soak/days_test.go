package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// dayDuration is how long jobs are submitted and faults are injected on a day.
const dayDuration = 16 * time.Second

// bursts are when burstJobs jobs are submitted at once, so that tasks wait for room for some seconds.
var bursts = []time.Duration{0, 8 * time.Second}

const burstJobs = 50

// fault is a fault of a day: begin injects it, and returns what it did and, unless nil, what ends it.
type fault struct {
	at, lasts time.Duration
	begin     func() (what string, end func())
}

// day is a kind of schedule. Each seed plays the next kind.
type day struct {
	name string
	draw func(d *deployment, random *rand.Rand) []fault
}

var days = []day{
	{"dispatcher cut off with its data centre", (*deployment).drawCutDispatcher},
	{"runners end", (*deployment).drawRunnerEnds},
	{"store lost by some", (*deployment).drawLostStore},
	{"processes stopped", (*deployment).drawFreezes},
	{"rolls", (*deployment).drawRolls},
	{"all kinds", (*deployment).drawAll},
}

// drawCutDispatcher has the dispatcher cut off from all but the agents of its data centre, for about as long as the
// leases of its workers, twice.
func (d *deployment) drawCutDispatcher(random *rand.Rand) []fault {
	var out []fault
	for _, burst := range bursts {
		f := d.drawCut(random, cutRest, linkFaults[min(random.IntN(2*len(linkFaults)), len(linkFaults)-1)])
		f.at, f.lasts = burst+between(random, 500*time.Millisecond, 1500*time.Millisecond), between(random, 5*time.Second, 6500*time.Millisecond)
		out = append(out, f)
	}
	return append(out, d.drawSome(random, 3, (*deployment).drawAgentCut, (*deployment).drawRunnerRestart)...)
}

func (d *deployment) drawRunnerEnds(random *rand.Rand) []fault {
	out := d.drawSome(random, 40, (*deployment).drawRunnerRestart, (*deployment).drawRunnerShutdown, (*deployment).drawRunnerIdleEnd, (*deployment).drawRunnerHeld)
	return append(out, d.drawSome(random, 15, (*deployment).drawAgentCut, (*deployment).drawBurst)...)
}

func (d *deployment) drawLostStore(random *rand.Rand) []fault {
	out := d.drawSome(random, 6, (*deployment).drawSharedStoreCut, (*deployment).drawStoreOutage)
	return append(out, d.drawSome(random, 8, (*deployment).drawAgentCut, (*deployment).drawRunnerRestart, (*deployment).drawBurst)...)
}

func (d *deployment) drawFreezes(random *rand.Rand) []fault {
	out := d.drawSome(random, 25, (*deployment).drawBurst, (*deployment).drawFreeze)
	for _, f := range d.drawSome(random, 4, (*deployment).drawRestartUnderAgent) {
		f.at /= 2 // it lasts for half of the day
		out = append(out, f)
	}
	return append(out, d.drawSome(random, 10, (*deployment).drawRunnerRestart, (*deployment).drawRunnerShutdown, (*deployment).drawAgentCut)...)
}

func (d *deployment) drawRolls(random *rand.Rand) []fault {
	out := d.drawSome(random, 4, (*deployment).drawRoll)
	return append(out, d.drawSome(random, 15, (*deployment).drawRunnerRestart, (*deployment).drawRunnerShutdown, (*deployment).drawRunnerIdleEnd, (*deployment).drawAgentCut)...)
}

func (d *deployment) drawAll(random *rand.Rand) []fault {
	anyCut := func(d *deployment, random *rand.Rand) fault {
		return d.drawCut(random, cuts[random.IntN(len(cuts))], linkFaults[random.IntN(len(linkFaults))])
	}
	return d.drawSome(random, 30, anyCut, (*deployment).drawAgentCut, (*deployment).drawSharedStoreCut, (*deployment).drawStoreOutage, (*deployment).drawBurst,
		(*deployment).drawFreeze, (*deployment).drawRoll, (*deployment).drawRunnerRestart, (*deployment).drawRunnerShutdown, (*deployment).drawRunnerIdleEnd, (*deployment).drawRunnerHeld)
}

// drawSome draws faults of some kinds at any times of the day.
func (d *deployment) drawSome(random *rand.Rand, count int, kinds ...func(*deployment, *rand.Rand) fault) []fault {
	var out []fault
	for range count {
		f := kinds[random.IntN(len(kinds))](d, random)
		f.at = between(random, 0, dayDuration)
		out = append(out, f)
	}
	return out
}

// between draws a time from low to high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// playDay plays the day of a seed: it submits jobs and injects the faults of the day's schedule, until all have ended.
func (d *deployment) playDay(ctx context.Context, seed uint64, m *jobMix) {
	kind := days[seed%uint64(len(days))]
	d.faults.add("day: " + kind.name)
	began := time.Now()
	d.tasks.disruptions.note(began.Add(-time.Hour), began)
	random := rand.New(rand.NewPCG(seed, 4))
	calls := &callFaults{disruptions: &d.tasks.disruptions, random: rand.New(rand.NewPCG(seed, 5))}
	calls.late, calls.noAnswer, calls.delayed = []float64{0, 0.01, 0.03}[random.IntN(3)], []float64{0, 0.01}[random.IntN(2)], []float64{0, 0.05}[random.IntN(2)]
	d.tasks.faults.Store(calls)
	var playing sync.WaitGroup
	for _, f := range kind.draw(d, rand.New(rand.NewPCG(seed, 3))) {
		playing.Go(func() { d.inject(f) })
	}
	for burst := 0; time.Since(began) < dayDuration; {
		m.submitNext(ctx, d, random)
		if burst < len(bursts)*burstJobs && time.Since(began) >= bursts[burst/burstJobs] {
			burst++
			time.Sleep(between(random, time.Millisecond, 10*time.Millisecond))
			continue
		}
		time.Sleep(between(random, 100*time.Millisecond, 300*time.Millisecond))
	}
	playing.Wait()
	d.tasks.faults.Store(nil)
}

// inject injects a fault at its time, and ends it at the end of the day at the latest.
func (d *deployment) inject(f fault) {
	d.pause(f.at)
	lasts := min(f.lasts, dayDuration-f.at)
	what, end := f.begin()
	now := time.Now()
	d.tasks.disruptions.note(now, now.Add(lasts+mixDisruption))
	if end == nil {
		d.faults.add(what)
		return
	}
	d.faults.add(fmt.Sprintf("%s for %v", what, lasts))
	d.pause(lasts)
	end()
}

// faultLog holds what was done, with times. The zero value is empty.
type faultLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *faultLog) add(what string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, time.Now().Format(time.StampMilli)+": "+what)
}

func (l *faultLog) len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.lines)
}

// String returns the lines.
func (l *faultLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Join(l.lines, "\n")
}

// keepConnections has callers keep their connections to entries open.
func (d *deployment) keepConnections() { d.client.Transport = &http.Transport{MaxIdleConnsPerHost: 16} }
