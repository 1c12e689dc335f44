//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
)

// Bounds of the deployment.
const (
	contact                         = 3 * time.Second
	cancelBound                     = 3 * time.Second
	stopGrace                       = 400 * time.Millisecond
	configApply                     = 2 * time.Second
	idleBound                       = 3 * time.Second
	crashFor                        = 4500 * time.Millisecond
	freezeFor                       = 4 * time.Second
	freezeSettles                   = 150 * time.Millisecond // a signal may take some time to reach all threads
	workBefore                      = 5 * time.Second
	crashes                         = 4
	observedFor                     = 12 * time.Second
	clockJump                       = 2400 * time.Millisecond
	outageFor                       = 4500 * time.Millisecond
	outageLead                      = time.Second // from the beginning of the outage to the time from which the job may be forgotten
	keptJobs                        = 6           // beside two jobs that are cancelled
	waitingJobs                     = 10
	countAge                        = 5 * time.Second // jobs that have waited for this long have to be counted
	takeoverTime                    = 6 * time.Second
	beforeReturn                    = 300 * time.Millisecond
	fewOccurrences, manyOccurrences = 1000, 50000
	occurrenceEvery                 = 1                       // milliseconds
	leaderLease                     = 10 * time.Second        // nothing starts once the dispatcher could not store anything for this time
	lifeBetween                     = 1300 * time.Millisecond // from a start of a runner to its next crash
	shortCrash                      = 500 * time.Millisecond
	lastingAgain                    = 6 * time.Second // a task that lasts has to run again within this time
	calmBefore                      = 4 * time.Second // before the idleBound, nothing may be disrupted for this time
	lastingStep                     = `{"count":1,"cpu":3200,"mem-mb":6400,"est-runtime-ms":420,"long-running":true}`
	lastingJob                      = `{"task-spec":"lasts","steps":[` + lastingStep + `]}`
	chainStepWork                   = 1500
)

// cases holds the cases by the names of their folders.
var cases = map[string]func(*stage) (bool, error){
	"crashes":       (*stage).crashes,
	"cancel":        (*stage).cancel,
	"removed-queue": (*stage).removedQueue,
	"takeover":      (*stage).takeover,
	"clock":         (*stage).clock,
	"schedule":      (*stage).schedule,
	"ping":          (*stage).ping,
	"expiry":        (*stage).expiry,
	"pending":       (*stage).pending,
}

// chainJob returns a job of steps that run one after the other.
func chainJob(steps int) string {
	body := fmt.Sprintf(`{"task-spec":"work-ms=%d","steps":[`, chainStepWork)
	for i := range steps {
		if i > 0 {
			body += ","
		}
		body += fmt.Sprintf(`{"count":1,"cpu":500,"mem-mb":200,"est-runtime-ms":%d`, chainStepWork)
		if i > 0 {
			body += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		body += "}"
	}
	return body + "]}"
}

// awaitAtWork waits until a task has been at work for a time, and returns its start.
func (s *stage) awaitAtWork(job, task string, atLeast, limit time.Duration) (runEvent, bool) {
	began := clock.Steady()
	for clock.Steady().Sub(began) < limit && s.pause(watchEvery) {
		e, ok := s.atWork(job)[task]
		if ok && clock.WallMS()-e.AtMS >= atLeast.Milliseconds() {
			return e, true
		}
	}
	return runEvent{}, false
}

// crashes has the runner of a task that lasts crash again and again.
func (s *stage) crashes() (bool, error) {
	const job = "c1a5000000000001"
	const path = "/main/" + job
	if !s.submit(0, path, lastingJob) {
		return false, errors.New("the job was not accepted")
	}
	for i := range crashes {
		e, ok := s.awaitAtWork(job, job+".0.0.0", workBefore, workBefore+8*time.Second)
		if !ok {
			s.notef("crash %d: the task is not at work", i+1)
			break
		}
		if s.trouble {
			if err := s.crash(e.Runner, crashFor); err != nil {
				return false, err
			}
		}
		s.pause(500 * time.Millisecond)
		s.request(http.MethodGet, i%entryCount, path, "")
	}
	s.pause(observedFor)
	failed := 0
	for i := range entryCount {
		if _, phase := s.request(http.MethodGet, i, path, ""); phase == "failed" {
			failed++
		}
	}
	s.notef("shown as failed by %d of %d entries; ends with failed: %d; tasks at work: %d", failed, entryCount, s.ends(job, "failed"), len(s.atWork(job)))
	return failed > 0 && s.ends(job, "failed") == 0, nil
}

// cancel hands jobs in and cancels them while the dispatcher's machine is frozen.
func (s *stage) cancel() (bool, error) {
	dispatcher, err := s.dispatcher()
	if err != nil {
		return false, err
	}
	entry := (dispatcher + 1) % entryCount
	name := fmt.Sprintf("front-%d", dispatcher+1)
	if s.trouble {
		if err := s.signal(name, syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	began := clock.Steady()
	s.pause(freezeSettles)
	// Most jobs are not cancelled.
	for i := range keptJobs {
		if !s.submit(entry, fmt.Sprintf("/main/4ee9%012d", i), chainJob(1)) {
			return false, errors.New("a job was not accepted")
		}
	}
	jobs := map[string]string{"ca4ce10000000001": lastingJob, "ca4ce10000000002": chainJob(10)}
	ackedMS := make(map[string]int64)
	for job, body := range jobs {
		if !s.submit(entry, "/main/"+job, body) {
			return false, errors.Newf("job %s was not accepted", job)
		}
		for range 10 {
			status, _ := s.request(http.MethodDelete, entry, "/main/"+job, "")
			if status/100 == 2 || status == http.StatusGone {
				ackedMS[job] = clock.WallMS()
				break
			}
			s.pause(200 * time.Millisecond)
		}
		if ackedMS[job] == 0 {
			return false, errors.Newf("the cancelling of job %s was not acknowledged", job)
		}
	}
	if s.trouble {
		s.pause(freezeFor - clock.Steady().Sub(began))
		if err := s.signal(name, syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	// From here on nothing is disrupted, and once all machines are in touch the bounds hold.
	s.pause(contact)
	calmMS := clock.WallMS()
	s.pause(cancelBound + stopGrace + contact)
	broken := false
	for job := range jobs {
		s.request(http.MethodGet, entry, "/main/"+job, "")
		for task, e := range s.atWork(job) {
			s.notef("cancelled job %s: %s run %d is at work on %s", job, task, e.Run, e.Runner)
			broken = true
		}
		for _, e := range s.runEvents() {
			if e.Event == "start" && e.Task[:len(job)] == job && e.AtMS > ackedMS[job]+cancelBound.Milliseconds() && e.AtMS > calmMS {
				s.notef("cancelled job %s: %s run %d was started %.3f s after the answer to the cancelling", job, e.Task, e.Run, float64(e.AtMS-ackedMS[job])/1000)
				broken = true
			}
		}
	}
	return broken, nil
}

// removedQueue has the operator remove the route of a queue with an accepted job.
func (s *stage) removedQueue() (bool, error) {
	const job = "9ee0e00000000001"
	const path = "/extra/" + job
	const steps = 4
	s.configure(2, queueRoute("r-main", "/main/"), queueRoute("r-extra", "/extra/"))
	s.pause(configApply + contact)
	if !s.submit(0, path, chainJob(steps)) {
		return false, errors.New("the job was not accepted")
	}
	if _, ok := s.awaitAtWork(job, job+".0.0.0", 500*time.Millisecond, 5*time.Second); !ok {
		return false, errors.New("the job was not started")
	}
	main := queueRoute("r-main", "/main/")
	main.Timeout = 2900
	if s.trouble {
		s.configure(3, main)
	} else {
		s.configure(3, main, queueRoute("r-extra", "/extra/"))
	}
	s.pause(configApply + contact)
	idle, longest := time.Duration(0), time.Duration(0)
	last := clock.Steady()
	for began := last; clock.Steady().Sub(began) < observedFor && s.pause(watchEvery); {
		now := clock.Steady()
		if s.ends(job, "done") == steps || len(s.atWork(job)) > 0 {
			idle = 0
		} else {
			idle += now.Sub(last)
		}
		last, longest = now, max(longest, idle)
	}
	s.notef("done steps: %d of %d; longest time without a run while a step could run: %v", s.ends(job, "done"), steps, longest)
	s.request(http.MethodGet, 0, path, "")
	return longest > idleBound, nil
}

// takeover has a runner leave for good, and later the dispatcher's machine disappear for good while the runner of a
// task that lasts crashes.
func (s *stage) takeover() (bool, error) {
	const job = "7a4e000000000001"
	const task = job + ".0.0.0"
	const path = "/main/" + job
	if !s.submit(0, path, lastingJob) {
		return false, errors.New("the job was not accepted")
	}
	e, ok := s.awaitAtWork(job, task, 2*time.Second, 8*time.Second)
	if !ok {
		return false, errors.New("the job was not started")
	}
	dispatcher, err := s.dispatcher()
	if err != nil {
		return false, err
	}
	if s.trouble {
		leaving := runnerCount - 1
		if runnerName(leaving) == e.Runner {
			leaving--
		}
		if err := s.leave(leaving); err != nil {
			return false, err
		}
		s.pause(2*contact + drainTime)
		if err := s.signal(fmt.Sprintf("front-%d", dispatcher+1), syscall.SIGSTOP); err != nil {
			return false, err
		}
		s.notef("the machine of front-%d is gone for good", dispatcher+1)
		if err := s.crash(e.Runner, shortCrash); err != nil {
			return false, err
		}
	}
	entry := (dispatcher + 1) % entryCount
	began, idleSince, longest := clock.Steady(), clock.Steady(), time.Duration(0)
	for clock.Steady().Sub(began) < 2*observedFor && s.pause(watchEvery) {
		now := clock.Steady()
		if len(s.atWork(job)) > 0 {
			idleSince = now
		}
		longest = max(longest, now.Sub(idleSince))
	}
	s.request(http.MethodGet, entry, path, "")
	bound := max(lastingAgain, shortCrash+calmBefore) + idleBound
	s.notef("the task that lasts had no run for %v; bound: %v", longest, bound)
	return longest > bound, nil
}

// leave has a runner drain and leave, and then ends its agent; neither is started again.
func (s *stage) leave(i int) error {
	agent := fmt.Sprintf("side-%d", i+1)
	for _, name := range []string{runnerName(i), agent} {
		if err := os.WriteFile(filepath.Join(s.dir, name+".gone"), nil, 0o600); err != nil {
			return err
		}
	}
	if err := s.signal(runnerName(i), syscall.SIGTERM); err != nil {
		return err
	}
	s.pause(drainTime + time.Second)
	return s.signal(agent, syscall.SIGTERM)
}

// clock has the time of day of a runner's machine jump ahead and back, and the runner crash once before and once after
// it jumps back.
func (s *stage) clock() (bool, error) {
	const job = "c10c000000000001"
	const path = "/main/" + job
	if err := s.fillRunners(path, job); err != nil {
		return false, err
	}
	runner := runnerName(2)
	if s.trouble {
		if err := s.jumpClock(runner, clockJump); err != nil {
			return false, err
		}
		if err := s.crash(runner, shortCrash); err != nil {
			return false, err
		}
		s.pause(shortCrash + lifeBetween)
		if err := s.jumpClock(runner, 0); err != nil {
			return false, err
		}
		if err := s.crash(runner, shortCrash); err != nil {
			return false, err
		}
	}
	s.pause(shortCrash + calmBefore)
	return s.watchRunners(path, job), nil
}

// jumpClock sets how far the time of day of a runner's machine is ahead. A runner notes it when it starts. JUMP=0 leaves
// the jumps out.
func (s *stage) jumpClock(runner string, ahead time.Duration) error {
	if os.Getenv("JUMP") == "0" {
		return nil
	}
	s.notef("the time of day on the machine of %s is %v ahead", runner, ahead)
	return os.WriteFile(filepath.Join(s.dir, runner+".clock"), []byte(strconv.FormatInt(ahead.Milliseconds(), 10)), 0o600)
}

// schedule hands a scheduled job with many occurrences in, and later a small job. Without trouble the scheduled job has
// few occurrences.
func (s *stage) schedule() (bool, error) {
	const scheduled, small = "5c4ed00000000001", "5ba1100000000001"
	count := fewOccurrences
	if s.trouble {
		count = manyOccurrences
	}
	body := fmt.Sprintf(`{"task-spec":"work-ms=20","repeat-count":%d,"start-at-ms":%d,"interval-ms":%d,"steps":[{"count":1,"cpu":100,"mem-mb":10,"est-runtime-ms":20}]}`,
		count, clock.WallMS(), occurrenceEvery)
	if !s.submit(0, "/main/"+scheduled, body) {
		return false, errors.New("the scheduled job was not accepted")
	}
	s.pause(manyOccurrences*occurrenceEvery*time.Millisecond + leaderLease)
	s.notef("occurrences done: %d of %d; store refused a record %d times", s.ends(scheduled, "done"), count, s.refused.Load())
	if !s.submit(0, "/main/"+small, `{"task-spec":"work-ms=200","steps":[{"count":2,"cpu":500,"mem-mb":100,"est-runtime-ms":200}]}`) {
		return false, errors.New("the small job was not accepted")
	}
	s.pause(observedFor)
	for i := range entryCount {
		s.request(http.MethodGet, i, "/main/"+small, "")
	}
	started := s.starts(small)
	s.notef("tasks of the small job: %d started, %d done; occurrences done: %d of %d; store refused a record %d times", started, s.ends(small, "done"),
		s.ends(scheduled, "done"), count, s.refused.Load())
	return started == 0, nil
}

// starts returns how many runs of a job have started.
func (s *stage) starts(job string) int {
	n := 0
	for _, e := range s.runEvents() {
		if e.Event == "start" && strings.HasPrefix(e.Task, job) {
			n++
		}
	}
	return n
}

// ping has an agent receive one heartbeat of another writer, with a service that the configuration does not name.
func (s *stage) ping() (bool, error) {
	const job = "919e000000000001"
	const path = "/main/" + job
	if err := s.fillRunners(path, job); err != nil {
		return false, err
	}
	if s.trouble {
		body, err := json.Marshal(map[string]any{
			"service": "unknown-service", "address": s.ip("agent", 2) + ":9", "zone": "a", "version": "v1", "slots": 8, "phase": "ready", "cold-left-ms": 0,
			"capacity": map[string]int{"cpu": 16000, "mem-mb": 64000, "gpu": 0}, "labels": []string{"a", "r1-1"}, "clock-ms": 1, "seq": 1, "born": clock.WallMS(),
		})
		if err != nil {
			return false, err
		}
		url := fmt.Sprintf("http://%s:%d/v1/instances/i-other/heartbeat", s.ip("agent", 2), portControl)
		r, err := http.NewRequestWithContext(s.ctx, http.MethodPost, url, bytes.NewReader(body))
		if err != nil {
			return false, err
		}
		r.Header.Set("Content-Type", "application/json")
		response, err := s.client.Do(r)
		if err != nil {
			return false, err
		}
		_ = response.Body.Close()
		s.notef("another writer: a ping of i-other for service unknown-service to side-3, answered with %d", response.StatusCode)
	}
	s.pause(calmBefore)
	return s.watchRunners(path, job), nil
}

// fillRunners hands a job in that has one task for each runner, and waits until all are at work: a runner that is not
// used leaves a task without a run.
func (s *stage) fillRunners(path, job string) error {
	body := fmt.Sprintf(`{"task-spec":"lasts","steps":[{"count":%d,"cpu":3200,"mem-mb":6400,"est-runtime-ms":420,"long-running":true,"anti-affinity":1}]}`, runnerCount)
	if !s.submit(0, path, body) {
		return errors.New("the job was not accepted")
	}
	s.pause(3 * time.Second)
	if n := len(s.atWork(job)); n != runnerCount {
		return errors.Newf("%d tasks are at work, want %d", n, runnerCount)
	}
	return nil
}

// watchRunners watches the job of fillRunners, and reports whether one of its tasks had no run for too long.
func (s *stage) watchRunners(path, job string) bool {
	began, idleSince, longest := clock.Steady(), clock.Steady(), time.Duration(0)
	for clock.Steady().Sub(began) < 2*observedFor && s.pause(watchEvery) {
		now := clock.Steady()
		if len(s.atWork(job)) == runnerCount {
			idleSince = now
		}
		longest = max(longest, now.Sub(idleSince))
	}
	s.request(http.MethodGet, 0, path, "")
	s.notef("tasks at work: %d of %d; a task had no run for %v while it was watched; bound: %v", len(s.atWork(job)), runnerCount, longest, lastingAgain)
	return longest > lastingAgain
}

// expiry has a part of the store be away as the phase of a completed job no longer has to be kept, and kills all entries
// before it is back. OUTAGE=0 leaves the outage out.
func (s *stage) expiry() (bool, error) {
	endedMS := int64(0)
	for _, e := range s.runEvents() {
		if e.Event == "end" && e.How == "done" && strings.HasPrefix(e.Task, firstJob) {
			endedMS = max(endedMS, e.AtMS)
		}
	}
	if endedMS == 0 {
		return false, errors.New("the first job has no ends")
	}
	forgetMS := endedMS + int64(s.statusSeconds)*1000
	s.pause(time.Duration(forgetMS-clock.WallMS())*time.Millisecond - outageLead)
	s.request(http.MethodGet, 0, "/main/"+firstJob, "")
	if s.trouble && os.Getenv("OUTAGE") != "0" {
		s.notef("store: the partition of keyed.intake is down")
		s.intakeDown.Store(true)
	}
	s.pause(outageFor - beforeReturn)
	if s.trouble {
		for i := range entryCount {
			if err := s.signal(fmt.Sprintf("front-%d", i+1), syscall.SIGKILL); err != nil {
				return false, err
			}
		}
	}
	s.pause(beforeReturn)
	if s.intakeDown.Swap(false) {
		s.notef("store: the partition of keyed.intake is back")
	}
	s.pause(takeoverTime)
	again := 0
	for _, e := range s.runEvents() {
		if e.Event == "start" && strings.HasPrefix(e.Task, firstJob) && e.AtMS > forgetMS-outageLead.Milliseconds() {
			again++
		}
	}
	s.notef("tasks of the completed job that were started again: %d", again)
	return again > 0, nil
}

// pending has jobs wait while the only runner with room is unhealthy, and freezes the dispatcher while clients ask the
// other entries how many jobs wait.
func (s *stage) pending() (bool, error) {
	// Tasks that last take up all runners but one.
	filler := fmt.Sprintf(`{"task-spec":"lasts","steps":[{"count":%d,"cpu":4000,"mem-mb":1000,"est-runtime-ms":420,"long-running":true}]}`, 4*(runnerCount-1))
	if !s.submit(0, "/main/f111000000000001", filler) {
		return false, errors.New("the first job was not accepted")
	}
	s.pause(3 * time.Second)
	busy := make(map[string]bool)
	for _, e := range s.atWork("f111000000000001") {
		busy[e.Runner] = true
	}
	free := ""
	for i := range runnerCount {
		if !busy[runnerName(i)] {
			free = runnerName(i)
		}
	}
	if len(busy) != runnerCount-1 {
		return false, errors.Newf("%d runners are busy, want %d", len(busy), runnerCount-1)
	}
	if s.trouble {
		s.notef("%s is unhealthy and answers 503 to each start", free)
		if err := os.WriteFile(filepath.Join(s.dir, free+".shed"), nil, 0o600); err != nil {
			return false, err
		}
	}
	for i := range waitingJobs {
		if !s.submit(0, fmt.Sprintf("/main/9a17%012d", i), `{"task-spec":"work-ms=500","steps":[{"count":1,"cpu":500,"mem-mb":100,"est-runtime-ms":500}]}`) {
			return false, errors.New("a job was not accepted")
		}
	}
	accepted := clock.Steady()
	dispatcher, err := s.dispatcher()
	if err != nil {
		return false, err
	}
	s.pause(countAge - contact/4)
	name := fmt.Sprintf("front-%d", dispatcher+1)
	if s.trouble {
		if err := s.signal(name, syscall.SIGSTOP); err != nil {
			return false, err
		}
	}
	broken := false
	for frozen := clock.Steady(); clock.Steady().Sub(frozen) < freezeFor; s.pause(100 * time.Millisecond) {
		for i := range entryCount {
			if i == dispatcher {
				continue
			}
			status, count := s.request(http.MethodGet, i, "/main/", "")
			n, err := strconv.Atoi(count)
			if status == http.StatusOK && err == nil && clock.Steady().Sub(accepted) > countAge && s.starts("9a17") == 0 && 2*n < waitingJobs {
				s.notef("front-%d says that %d jobs wait; %d have waited for over %v", i+1, n, waitingJobs, countAge)
				broken = true
			}
		}
	}
	if s.trouble {
		if err := s.signal(name, syscall.SIGCONT); err != nil {
			return false, err
		}
	}
	return broken, nil
}
