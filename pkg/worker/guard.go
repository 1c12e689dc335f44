package worker

import (
	"sort"
	"time"
)

// Limits of the guard. Pressure is the tail latency divided by its objective.
const (
	// pressedAbove and calmBelow bound the band in which nothing changes.
	pressedAbove = 0.95
	calmBelow    = 0.8
	// aimFor is the pressure that a step tries to reach.
	aimFor = 0.95
	// pressedFor is how long a service is pressed before the first step.
	pressedFor = time.Second
	// calmFor is how long a service is calm before the first release.
	calmFor = 3 * time.Second
	// settle is how long a step's effect takes to show in lagging readings.
	settle = 3 * time.Second
	// moveAfter is how long a service stays pressed at full throttle before a task is moved.
	moveAfter = 20 * time.Second
	// stuckAfter is how long a task stays at full throttle before it is moved.
	stuckAfter = 15 * time.Minute
	// movesPerMinute is the budget of moves of one worker, and its largest burst.
	movesPerMinute = 1.0
	movesBurst     = 2.0
)

// throttleSteps are the percentages of its processors that a task may have.
var throttleSteps = [...]int{100, 70, 50, 35, 20, 10, 5}

// ActionKind says what the guard asks for.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionThrottle limits a task to a percentage of its processors.
	ActionThrottle ActionKind = iota + 1
	// ActionCheckpoint saves a task's progress.
	ActionCheckpoint
	// ActionMove stops a task at its checkpoint, so that it goes on elsewhere.
	ActionMove
)

var actionNames = [...]string{"", "throttle-task", "checkpoint-task", "move-task"}

// String returns the action's name in logs.
func (k ActionKind) String() string { return actionNames[k] }

// Action is one thing that the guard asks for.
type Action struct {
	kind    ActionKind
	key     string
	percent int
	reason  string
}

// Kind says what is asked for.
func (a *Action) Kind() ActionKind { return a.kind }

// Key returns the task concerned.
func (a *Action) Key() string { return a.key }

// Percent returns the throttle of an ActionThrottle.
func (a *Action) Percent() int { return a.percent }

// Reason returns why it is asked for.
func (a *Action) Reason() string { return a.reason }

// Reading is what is known of the service beside the worker.
type Reading struct {
	// Pressure is the tail latency divided by its objective; 0 if there is too little traffic.
	Pressure float64
	// Load is the part of the service's slots in use, from 0 to 1.
	Load float64
	// Service is the service's name.
	Service string
}

// GuardTask is one batch task that runs on the worker.
type GuardTask struct {
	// Key is the task's name on the worker.
	Key string
	// Class is the task's batch class.
	Class string
	// Share is the part of the worker's processors that the task asked for.
	Share float64
	// Urgent tasks are throttled last and never moved.
	Urgent bool
}

// guarded is what the guard remembers of a task.
type guarded struct {
	// since is when the task became known; a listing may be older.
	since time.Time
	// step is an index into throttleSteps.
	step int
	// saved is when the task's progress was last known to be kept.
	saved time.Time
	// floorSince is when the task was throttled to the last step.
	floorSince time.Time
	// saving is set between the checkpoint and the move.
	saving bool
}

// Guard protects the latency-critical service beside one worker: it throttles
// batch tasks first, then checkpoints and moves one, within a budget. The zero
// value guards.
type Guard struct {
	tasks        map[string]*guarded
	model        Interference
	pressedSince time.Time
	calmSince    time.Time
	stepped      time.Time
	moves        float64
	filled       time.Time
}

// Started notes that the worker has just started key, unthrottled.
func (g *Guard) Started(now time.Time, key string) {
	if g.tasks == nil {
		g.tasks = make(map[string]*guarded)
	}
	g.tasks[key] = &guarded{since: now, saved: now}
}

// Saved notes that key's progress up to now is kept.
func (g *Guard) Saved(now time.Time, key string) {
	if t, ok := g.tasks[key]; ok {
		t.saved = now
	}
}

// Forget drops what is known of key, whose throttle is then set anew.
func (g *Guard) Forget(key string) { delete(g.tasks, key) }

// Percent returns the throttle of key.
func (g *Guard) Percent(key string) int {
	if t, ok := g.tasks[key]; ok {
		return throttleSteps[t.step]
	}
	return throttleSteps[0]
}

// Decide takes in a reading and returns what to do about the tasks that run.
func (g *Guard) Decide(now time.Time, r *Reading, running []GuardTask) []Action {
	out := g.follow(now, running)
	g.learn(r, running)
	g.refill(now)
	g.mark(now, r)
	if now.Sub(g.stepped) < settle {
		return out
	}
	switch {
	case !g.pressedSince.IsZero() && now.Sub(g.pressedSince) >= pressedFor:
		out = append(out, g.relieve(now, r, running)...)
	case !g.calmSince.IsZero() && now.Sub(g.calmSince) >= calmFor:
		out = append(out, g.release(now, r, running)...)
	}
	if len(out) > 0 {
		g.stepped = now
	}
	return out
}

// follow forgets tasks that ended and takes over those of a predecessor, whose
// throttle is not known.
func (g *Guard) follow(now time.Time, running []GuardTask) []Action {
	var out []Action
	seen := make(map[string]bool, len(running))
	for i := range running {
		key := running[i].Key
		seen[key] = true
		if _, ok := g.tasks[key]; ok {
			continue
		}
		g.Started(now, key)
		out = append(out, Action{kind: ActionThrottle, key: key, percent: throttleSteps[0], reason: "its throttle is not known"})
	}
	for key, t := range g.tasks {
		if !seen[key] && now.Sub(t.since) > settle {
			delete(g.tasks, key)
		}
	}
	return out
}

func (g *Guard) learn(r *Reading, running []GuardTask) {
	if r.Service == "" || r.Pressure <= 0 {
		return
	}
	parts := make([]Part, 0, len(running))
	for i := range running {
		t := &running[i]
		parts = append(parts, Part{Class: t.Class, Share: t.Share * g.part(t.Key)})
	}
	g.model.Observe(r.Service, r.Load, parts, r.Pressure)
}

func (g *Guard) part(key string) float64 { return float64(g.Percent(key)) / float64(throttleSteps[0]) }

func (g *Guard) refill(now time.Time) {
	if g.filled.IsZero() {
		g.moves, g.filled = movesBurst, now
	}
	g.moves = min(g.moves+now.Sub(g.filled).Minutes()*movesPerMinute, movesBurst)
	g.filled = now
}

// mark keeps since when the service is pressed or calm.
func (g *Guard) mark(now time.Time, r *Reading) {
	if r.Pressure <= pressedAbove {
		g.pressedSince = time.Time{}
	} else if g.pressedSince.IsZero() {
		g.pressedSince = now
	}
	if r.Pressure >= calmBelow {
		g.calmSince = time.Time{}
	} else if g.calmSince.IsZero() {
		g.calmSince = now
	}
}

// relieve throttles the tasks that press most until the model expects relief;
// if all are throttled, it moves one.
func (g *Guard) relieve(now time.Time, r *Reading, running []GuardTask) []Action {
	excess := r.Pressure - aimFor
	var out []Action
	for _, t := range g.byEffect(r, running) {
		own := g.tasks[t.Key]
		for own.step < len(throttleSteps)-1 && excess > 0 {
			before := g.effect(r, t)
			own.step++
			excess -= before - g.effect(r, t)
			if own.step == len(throttleSteps)-1 {
				own.floorSince = now
			}
		}
		if percent := throttleSteps[own.step]; own.step > 0 && percent != t.percent {
			out = append(out, Action{kind: ActionThrottle, key: t.Key, percent: percent, reason: "the service is past its objective"})
		}
		if excess <= 0 {
			break
		}
	}
	if len(out) > 0 || now.Sub(g.pressedSince) < moveAfter {
		return out
	}
	return g.move(now, running, "the service is past its objective at full throttle")
}

// weighed is a task with its present throttle.
type weighed struct {
	GuardTask
	percent int
}

// byEffect returns the tasks in the order in which they are throttled: urgent
// ones last, then by what the model blames them for.
func (g *Guard) byEffect(r *Reading, running []GuardTask) []weighed {
	out := make([]weighed, len(running))
	for i := range running {
		out[i] = weighed{GuardTask: running[i], percent: g.Percent(running[i].Key)}
	}
	sort.SliceStable(out, func(i, k int) bool {
		if out[i].Urgent != out[k].Urgent {
			return !out[i].Urgent
		}
		x, y := g.effect(r, out[i]), g.effect(r, out[k])
		if x != y {
			return x > y
		}
		return out[i].Key < out[k].Key
	})
	return out
}

// effect returns the pressure that a task is blamed for.
func (g *Guard) effect(r *Reading, t weighed) float64 {
	return r.Load * t.Share * g.part(t.Key) * g.model.Slope(r.Service, t.Class)
}

// move checkpoints the task that loses the least, and at the next step stops it.
func (g *Guard) move(now time.Time, running []GuardTask, reason string) []Action {
	if g.moves < 1 {
		return nil
	}
	victim, ok := g.victim(running)
	if !ok {
		return nil
	}
	own := g.tasks[victim]
	if !own.saving {
		own.saving = true
		own.saved = now
		return []Action{{kind: ActionCheckpoint, key: victim, reason: reason}}
	}
	g.moves--
	return []Action{{kind: ActionMove, key: victim, reason: reason}}
}

// victim returns the fully throttled task that would lose the least work; one
// that was checkpointed for it goes first.
func (g *Guard) victim(running []GuardTask) (string, bool) {
	best := ""
	for i := range running {
		t := &running[i]
		own := g.tasks[t.Key]
		if t.Urgent || own.step < len(throttleSteps)-1 {
			continue
		}
		if best == "" || g.losesLess(t.Key, best) {
			best = t.Key
		}
	}
	return best, best != ""
}

func (g *Guard) losesLess(a, b string) bool {
	x, y := g.tasks[a], g.tasks[b]
	if x.saving != y.saving {
		return x.saving
	}
	if !x.saved.Equal(y.saved) {
		return x.saved.After(y.saved)
	}
	return a < b
}

// release gives back processors, one step at a time and only as far as the
// model expects the service to stay within its objective.
func (g *Guard) release(now time.Time, r *Reading, running []GuardTask) []Action {
	var out []Action
	room := aimFor - r.Pressure
	order := g.byEffect(r, running)
	for i := len(order) - 1; i >= 0; i-- {
		t := order[i]
		own := g.tasks[t.Key]
		if own.step == 0 {
			continue
		}
		before := g.effect(r, t)
		own.step--
		more := g.effect(r, t) - before
		if more > room {
			own.step++
			continue
		}
		room -= more
		own.saving = false
		out = append(out, Action{kind: ActionThrottle, key: t.Key, percent: throttleSteps[own.step], reason: "the service is calm"})
	}
	if len(out) > 0 {
		return out
	}
	return g.unstick(now, running)
}

// unstick moves a task that has been at full throttle for too long.
func (g *Guard) unstick(now time.Time, running []GuardTask) []Action {
	victim, ok := g.victim(running)
	if !ok || now.Sub(g.tasks[victim].floorSince) < stuckAfter {
		return nil
	}
	return g.move(now, running, "the task has been at full throttle for too long")
}
