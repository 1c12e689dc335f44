package worker

import (
	"sort"
	"time"
)

// Parameters of the guard. Pressure is the tail latency divided by its
// objective.
const (
	// Tasks are throttled above highPressure and unthrottled below lowPressure.
	// Between the two nothing changes.
	highPressure = 0.95
	lowPressure  = 0.8
	// targetPressure is the predicted pressure that each throttling or
	// unthrottling step aims for.
	targetPressure = 0.95
	// throttleDelay is how long pressure must be high before the first
	// throttling step.
	throttleDelay = time.Second
	// unthrottleDelay is how long pressure must be low before the first
	// unthrottling step.
	unthrottleDelay = 3 * time.Second
	// settleTime is how long the effect of a step takes to show in the
	// readings, which lag behind.
	settleTime = 3 * time.Second
	// moveDelay is how long pressure must stay high, with every task at the
	// lowest CPU limit, before a task is moved.
	moveDelay = 20 * time.Second
	// maxTimeAtMinCPU is how long a task may stay at the lowest CPU limit
	// before it is moved.
	maxTimeAtMinCPU = 15 * time.Minute
	// The moves of one worker are rate-limited by a token bucket that holds at most
	// maxMoveBurst moves and is refilled at movesPerMinute.
	movesPerMinute = 1.0
	maxMoveBurst   = 2.0
)

// throttlePercents are the CPU limits of tasks, in percent of the CPU that a
// task asked for, from no throttling to the lowest limit.
var throttlePercents = [...]int{100, 70, 50, 35, 20, 10, 5}

// ActionKind is the kind of an Action.
type ActionKind uint8

// The kinds of actions.
const (
	// ActionThrottle sets a task's CPU limit to a percentage of its CPU.
	ActionThrottle ActionKind = iota + 1
	// ActionCheckpoint saves a task's progress.
	ActionCheckpoint
	// ActionMove checkpoints and stops a task, so that it continues on another
	// worker.
	ActionMove
)

var actionNames = [...]string{"", "throttle-task", "checkpoint-task", "move-task"}

// String returns the decision name used in logs.
func (k ActionKind) String() string { return actionNames[k] }

// Action is an action on one task that the guard requests.
type Action struct {
	kind    ActionKind
	key     string
	percent int
	reason  string
}

// Kind returns what to do with the task.
func (a *Action) Kind() ActionKind { return a.kind }

// Key returns the worker's identifier of the task.
func (a *Action) Key() string { return a.key }

// CPUPercent returns the CPU limit of an ActionThrottle.
func (a *Action) CPUPercent() int { return a.percent }

// Reason returns the reason in words, for logs.
func (a *Action) Reason() string { return a.reason }

// ServiceReading is a measurement of the latency-critical service beside the worker.
type ServiceReading struct {
	// Pressure is the tail latency divided by its objective; 0 if there are too
	// few requests to measure it.
	Pressure float64
	// Load is the fraction of the service's request slots in use, from 0 to 1.
	Load float64
	// Service is the service's name; empty if there is none.
	Service string
}

// GuardTask is one batch task that runs on the worker.
type GuardTask struct {
	// Key is the worker's identifier of the task.
	Key string
	// Class is the task's batch class.
	Class string
	// Share is the fraction of the worker's CPU that the task asked for.
	Share float64
	// Urgent tasks are throttled last and never moved.
	Urgent bool
}

// guardedTask is the guard's state of one task.
type guardedTask struct {
	// firstSeenAt is when the guard learned of the task. A task list made earlier
	// may lack the task.
	firstSeenAt time.Time
	// step is an index into throttlePercents.
	step int
	// savedAt is when the task's progress was last saved or, if later, when the task
	// started or was asked for a checkpoint before a move.
	savedAt time.Time
	// minCPUSince is when the task reached the lowest CPU limit.
	minCPUSince time.Time
	// checkpointRequested is set from the checkpoint that precedes a move until
	// the task is unthrottled.
	checkpointRequested bool
}

// Guard protects the latency-critical service that shares a machine with a
// worker. While the service's tail latency is too high, it throttles batch
// tasks; if that is not enough, it checkpoints one task and moves this task to
// another worker, at a limited rate. The zero value is ready to use.
type Guard struct {
	tasks map[string]*guardedTask
	model Interference
	// highPressureSince and lowPressureSince are zero while the pressure is not
	// above highPressure or not below lowPressure.
	highPressureSince time.Time
	lowPressureSince  time.Time
	// lastStepAt is when Decide last returned actions after the settle time.
	lastStepAt time.Time
	// moveTokens is the content of the token bucket for moves, as of refilledAt.
	moveTokens float64
	refilledAt time.Time
}

// TaskStarted records that the worker has just started the task, without a CPU
// limit.
func (g *Guard) TaskStarted(now time.Time, key string) {
	if g.tasks == nil {
		g.tasks = make(map[string]*guardedTask)
	}
	g.tasks[key] = &guardedTask{firstSeenAt: now, savedAt: now}
}

// CheckpointSaved records that the task's progress up to now has been saved.
func (g *Guard) CheckpointSaved(now time.Time, key string) {
	if t, ok := g.tasks[key]; ok {
		t.savedAt = now
	}
}

// ForgetTask discards the state of a task whose actual CPU limit is uncertain. If
// the task still runs, the next Decide sets its limit anew.
func (g *Guard) ForgetTask(key string) { delete(g.tasks, key) }

// CPUPercent returns the task's CPU limit, in percent.
func (g *Guard) CPUPercent(key string) int {
	if t, ok := g.tasks[key]; ok {
		return throttlePercents[t.step]
	}
	return throttlePercents[0]
}

// Decide takes a reading and the tasks that run, and returns the actions to
// take.
func (g *Guard) Decide(now time.Time, r *ServiceReading, running []GuardTask) []Action {
	out := g.syncTasks(now, running)
	g.updateModel(r, running)
	g.refillMoveTokens(now)
	g.trackPressure(now, r)
	if now.Sub(g.lastStepAt) < settleTime {
		return out
	}
	switch {
	case !g.highPressureSince.IsZero() && now.Sub(g.highPressureSince) >= throttleDelay:
		out = append(out, g.throttle(now, r, running)...)
	case !g.lowPressureSince.IsZero() && now.Sub(g.lowPressureSince) >= unthrottleDelay:
		out = append(out, g.unthrottle(now, r, running)...)
	}
	if len(out) > 0 {
		g.lastStepAt = now
	}
	return out
}

// syncTasks drops tasks that no longer run and adds unknown ones. An unknown task was
// started under a previous agent or discarded by ForgetTask, so its CPU limit is
// uncertain and is removed.
func (g *Guard) syncTasks(now time.Time, running []GuardTask) []Action {
	var out []Action
	isRunning := make(map[string]bool, len(running))
	for i := range running {
		key := running[i].Key
		isRunning[key] = true
		if _, ok := g.tasks[key]; ok {
			continue
		}
		g.TaskStarted(now, key)
		out = append(out, Action{kind: ActionThrottle, key: key, percent: throttlePercents[0], reason: "CPU limit unknown; removing it"})
	}
	for key, t := range g.tasks {
		if !isRunning[key] && now.Sub(t.firstSeenAt) > settleTime {
			delete(g.tasks, key)
		}
	}
	return out
}

// updateModel corrects the interference model by a reading.
func (g *Guard) updateModel(r *ServiceReading, running []GuardTask) {
	if r.Service == "" || r.Pressure <= 0 {
		return
	}
	parts := make([]ClassShare, 0, len(running))
	for i := range running {
		t := &running[i]
		parts = append(parts, ClassShare{Class: t.Class, Share: t.Share * g.cpuFraction(t.Key)})
	}
	g.model.Observe(r.Service, r.Load, parts, r.Pressure)
}

// cpuFraction returns a task's CPU limit as a fraction of the CPU that it asked for.
func (g *Guard) cpuFraction(key string) float64 {
	return float64(g.CPUPercent(key)) / float64(throttlePercents[0])
}

func (g *Guard) refillMoveTokens(now time.Time) {
	if g.refilledAt.IsZero() {
		g.moveTokens, g.refilledAt = maxMoveBurst, now
	}
	g.moveTokens = min(g.moveTokens+now.Sub(g.refilledAt).Minutes()*movesPerMinute, maxMoveBurst)
	g.refilledAt = now
}

// trackPressure records since when pressure has been high or low.
func (g *Guard) trackPressure(now time.Time, r *ServiceReading) {
	if r.Pressure <= highPressure {
		g.highPressureSince = time.Time{}
	} else if g.highPressureSince.IsZero() {
		g.highPressureSince = now
	}
	if r.Pressure >= lowPressure {
		g.lowPressureSince = time.Time{}
	} else if g.lowPressureSince.IsZero() {
		g.lowPressureSince = now
	}
}

// throttle lowers the CPU limits, first of the tasks that contribute most,
// until the model predicts targetPressure. If all tasks are at the lowest
// limit and the pressure has been high for moveDelay, throttle moves one task.
func (g *Guard) throttle(now time.Time, r *ServiceReading, running []GuardTask) []Action {
	excess := r.Pressure - targetPressure
	var out []Action
	for _, t := range g.throttleOrder(r, running) {
		state := g.tasks[t.Key]
		for state.step < len(throttlePercents)-1 && excess > 0 {
			before := g.pressureContribution(r, t)
			state.step++
			excess -= before - g.pressureContribution(r, t)
			if state.step == len(throttlePercents)-1 {
				state.minCPUSince = now
			}
		}
		if percent := throttlePercents[state.step]; state.step > 0 && percent != t.percent {
			out = append(out, Action{kind: ActionThrottle, key: t.Key, percent: percent, reason: "tail latency of the service is near or above its objective"})
		}
		if excess <= 0 {
			break
		}
	}
	if len(out) > 0 || now.Sub(g.highPressureSince) < moveDelay {
		return out
	}
	return g.move(now, running, "tail latency of the service is near or above its objective with all tasks at the lowest CPU limit")
}

// throttledTask is a running task with the CPU limit that it had before this
// step.
type throttledTask struct {
	GuardTask
	percent int
}

// throttleOrder returns the tasks in the order in which to throttle them:
// non-urgent before urgent ones, then by their contribution to the pressure,
// largest first.
func (g *Guard) throttleOrder(r *ServiceReading, running []GuardTask) []throttledTask {
	out := make([]throttledTask, len(running))
	for i := range running {
		out[i] = throttledTask{GuardTask: running[i], percent: g.CPUPercent(running[i].Key)}
	}
	sort.SliceStable(out, func(i, k int) bool {
		if out[i].Urgent != out[k].Urgent {
			return !out[i].Urgent
		}
		x, y := g.pressureContribution(r, out[i]), g.pressureContribution(r, out[k])
		if x != y {
			return x > y
		}
		return out[i].Key < out[k].Key
	})
	return out
}

// pressureContribution returns the task's contribution to the pressure, as the
// model predicts it at the task's current CPU limit.
func (g *Guard) pressureContribution(r *ServiceReading, t throttledTask) float64 {
	return r.Load * t.Share * g.cpuFraction(t.Key) * g.model.Slope(r.Service, t.Class)
}

// move returns the next step of moving the task that moveVictim chooses: first a
// checkpoint, and in a later call the move itself. It returns nothing while the rate
// limit allows no move.
func (g *Guard) move(now time.Time, running []GuardTask, reason string) []Action {
	if g.moveTokens < 1 {
		return nil
	}
	victim, ok := g.moveVictim(running)
	if !ok {
		return nil
	}
	state := g.tasks[victim]
	if !state.checkpointRequested {
		state.checkpointRequested = true
		state.savedAt = now
		return []Action{{kind: ActionCheckpoint, key: victim, reason: reason}}
	}
	g.moveTokens--
	return []Action{{kind: ActionMove, key: victim, reason: reason}}
}

// moveVictim returns, of the tasks that are not urgent and already have the lowest CPU
// limit, the one that would lose the least work by a move. A task that has already
// been asked for a checkpoint before a move is preferred. It returns false if there is
// none.
func (g *Guard) moveVictim(running []GuardTask) (string, bool) {
	best := ""
	for i := range running {
		t := &running[i]
		state := g.tasks[t.Key]
		if t.Urgent || state.step < len(throttlePercents)-1 {
			continue
		}
		if best == "" || g.losesLessWork(t.Key, best) {
			best = t.Key
		}
	}
	return best, best != ""
}

// losesLessWork reports whether moveVictim prefers the task with key a to the one with
// key b.
func (g *Guard) losesLessWork(a, b string) bool {
	x, y := g.tasks[a], g.tasks[b]
	if x.checkpointRequested != y.checkpointRequested {
		return x.checkpointRequested
	}
	if !x.savedAt.Equal(y.savedAt) {
		return x.savedAt.After(y.savedAt)
	}
	return a < b
}

// unthrottle raises each task's CPU limit by at most one step, in reverse
// throttling order, and only as far as the model predicts at most
// targetPressure. If no limit can be raised, it moves a task that has been at
// the lowest limit for too long.
func (g *Guard) unthrottle(now time.Time, r *ServiceReading, running []GuardTask) []Action {
	var out []Action
	headroom := targetPressure - r.Pressure
	order := g.throttleOrder(r, running)
	for i := len(order) - 1; i >= 0; i-- {
		t := order[i]
		state := g.tasks[t.Key]
		if state.step == 0 {
			continue
		}
		before := g.pressureContribution(r, t)
		state.step--
		added := g.pressureContribution(r, t) - before
		if added > headroom {
			state.step++
			continue
		}
		headroom -= added
		state.checkpointRequested = false
		out = append(out, Action{kind: ActionThrottle, key: t.Key, percent: throttlePercents[state.step], reason: "tail latency of the service is well below its objective"})
	}
	if len(out) > 0 {
		return out
	}
	return g.moveStuckTask(now, running)
}

// moveStuckTask moves the task that moveVictim chooses if that task has been at the
// lowest CPU limit for maxTimeAtMinCPU.
func (g *Guard) moveStuckTask(now time.Time, running []GuardTask) []Action {
	victim, ok := g.moveVictim(running)
	if !ok || now.Sub(g.tasks[victim].minCPUSince) < maxTimeAtMinCPU {
		return nil
	}
	return g.move(now, running, "task has been at the lowest CPU limit for too long")
}
