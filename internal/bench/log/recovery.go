package log

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/job"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// The stream of the recovery measurement: a data centre's share of the target.
const (
	recoveryJobs      = 3286
	recoveryOpenTasks = 1072
	recoveryWithin    = 20 * time.Second
	snapshotEvery     = 8192
	snapshotBytes     = 256 << 10
)

// RecoveryResult is what the start of an entry costs.
type RecoveryResult struct {
	Recovery4K  float64 `json:"recovery-s-4096-batches"`
	Recovery64K float64 `json:"recovery-s-65536-batches"`
	Recovery    float64 `json:"recovery-s"`
	RecoveryMB  float64 `json:"recovery-mb"`
}

// measureRecovery starts an entry on streams of two lengths.
func measureRecovery(ctx context.Context, r *Result) error {
	var err error
	if r.Recovery4K, _, err = recoverEntry(ctx, 4096); err != nil {
		return err
	}
	r.Recovery64K, r.RecoveryMB, err = recoverEntry(ctx, 65536)
	r.Recovery = max(r.Recovery4K, r.Recovery64K)
	return err
}

// streamWriter fills a stream and folds what it wrote.
type streamWriter struct {
	log    *standin.Log
	fold   job.StateMachine
	seq    uint64
	offset uint64
	err    error
}

func (w *streamWriter) add(messages ...record.Message) record.Position {
	data, err := record.Encode("writer", w.seq+1, messages)
	if err != nil {
		w.err = err
		return 0
	}
	w.offset = w.log.Append(entry.JobsStream(controlCentre), data)
	records, _, err := record.Decode(w.offset, data)
	if err != nil {
		w.err = err
		return 0
	}
	for _, r := range records {
		_ = w.fold.Apply(r)
	}
	w.fold.Advance(w.offset + 1)
	w.seq += uint64(len(messages))
	return record.NewPosition(w.offset, 0)
}

// fill writes batches records: jobs that come and end, so that a day's jobs are
// known and the target's number of tasks is open at the end.
func (w *streamWriter) fill(batches int) {
	open := make([]record.AssignmentID, 0, recoveryOpenTasks)
	for i := 0; int(w.offset) < batches && w.err == nil; i++ {
		id := fmt.Sprintf("job-%d", i)
		w.add(&record.Submit{Spec: record.Spec{ID: id, Team: "nursery", Class: "shaping", Tasks: 1, TakeoverMS: 10000, MaxFailures: 3}})
		task := record.TaskID{Job: id}
		epoch := w.add(&record.Assign{Placements: []record.Placement{{Task: task, Worker: fmt.Sprintf("worker-%d", i%200)}}})
		open = append(open, record.AssignmentID{Task: task, Epoch: epoch})
		w.add(&record.Started{Assignments: open[len(open)-1:]})
		if len(open) > recoveryOpenTasks {
			w.add(&record.Finished{Assignment: open[0], Outcome: record.OutcomeSucceeded})
			open = open[1:]
		}
		if i >= recoveryJobs {
			w.add(&record.Forget{Jobs: []string{fmt.Sprintf("job-%d", i-recoveryJobs)}})
		}
		if w.offset/snapshotEvery != (w.offset-min(w.offset, 5))/snapshotEvery {
			w.snapshot()
		}
	}
}

func (w *streamWriter) snapshot() {
	parts, err := w.fold.Snapshot(fmt.Sprintf("snapshot-%d", w.offset), snapshotBytes)
	if err != nil {
		w.err = err
		return
	}
	for _, p := range parts {
		p.WrittenMS = time.Now().UnixMilli()
		w.add(p)
	}
}

// recoverEntry returns how long a new entry takes to know all tasks, and the
// memory that it then holds in MB.
func recoverEntry(ctx context.Context, batches int) (seconds, mb float64, err error) {
	l, err := newLab()
	if err != nil {
		return 0, 0, err
	}
	w := &streamWriter{log: new(standin.Log)}
	w.fill(batches)
	want := w.fold.Len()
	w.fold = job.StateMachine{}
	if w.err != nil {
		return 0, 0, w.err
	}
	url, err := l.host(w.log.Handler())
	if err != nil {
		return 0, 0, err
	}
	var running sync.WaitGroup
	live, stop := context.WithCancel(ctx)
	defer func() {
		stop()
		running.Wait()
		l.close()
	}()
	id, err := l.identity(link.RoleEntry, controlCentre, "entry-1")
	if err != nil {
		return 0, 0, err
	}
	before := heapMB()
	began := time.Now()
	e, err := entry.New(began, entry.Settings{
		Name: "entry-1", DataCentre: controlCentre, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		LogURL: url, Roots: l.roots, DrainDelay: siteDrain, AllowUnauthenticated: true,
	}, id, quiet())
	if err != nil {
		return 0, 0, err
	}
	running.Go(func() { _ = e.Run(live) })
	until, cancel := context.WithTimeout(ctx, recoveryWithin)
	defer cancel()
	for taskCount(until, e) < want {
		if !delay.For(until, rollPoll) {
			return 0, 0, errors.Wrapf(ErrBroken, "%d batches: %d of %d tasks known after %s", batches, taskCount(ctx, e), want, recoveryWithin)
		}
	}
	return time.Since(began).Seconds(), heapMB() - before, nil
}

func taskCount(ctx context.Context, e *entry.Entry) int {
	var status entry.Status
	if getJSON(ctx, "http://"+e.Address()+"/status", &status) != nil {
		return 0
	}
	count := 0
	for _, n := range status.Tasks {
		count += n
	}
	return count
}

const bytesPerMB = 1 << 20

// heapMB returns the live heap.
func heapMB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / bytesPerMB
}
