package worker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"pgregory.net/rapid"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

func cpu(n int64) worker.Resources { return worker.Resources{MilliCPU: n} }

func report(name string, total worker.Resources) *worker.Report {
	return &worker.Report{Name: name, Total: total, Free: total, Ready: true}
}

// TestFleetFreeMatchesAllocations compares the incrementally updated free capacity with
// a sum over all allocations, under random placements and releases.
func TestFleetFreeMatchesAllocations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f worker.Fleet
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		total := worker.Resources{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 2}
		allocated := make(map[string]worker.Resources)
		allocations := make(map[worker.TaskKey]worker.Allocation)
		for i := range 4 {
			f.ApplyReport(epoch, report(fmt.Sprint("w", i), total))
		}
		place := func(t *rapid.T) (worker.TaskKey, worker.Resources) {
			size := worker.Resources{MilliCPU: rapid.Int64Range(1, 6000).Draw(t, "cpu"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "acc")}
			return worker.TaskKey{Job: "j", Index: rapid.Uint32Range(0, 20).Draw(t, "index")}, size
		}
		end := func(key worker.TaskKey) {
			h, ok := f.Release(key)
			if _, want := allocations[key]; ok != want {
				t.Fatalf("got allocation found %v, want %v", ok, want)
			}
			if ok {
				allocated[h.Worker] = allocated[h.Worker].Minus(h.Size)
				delete(allocations, key)
			}
		}
		begin := func(key worker.TaskKey, h worker.Allocation) {
			allocated[h.Worker] = allocated[h.Worker].Plus(h.Size)
			allocations[key] = h
		}
		t.Repeat(map[string]func(*rapid.T){
			"place": func(t *rapid.T) {
				key, size := place(t)
				end(key)
				c, err := f.Place(epoch, &worker.Task{Key: key, Size: size}, random)
				if err != nil {
					return
				}
				h := worker.Allocation{Worker: c.Worker(), Size: size}
				f.Allocate(key, h)
				begin(key, h)
			},
			"gang": func(t *rapid.T) {
				_, size := place(t)
				tasks := make([]worker.Task, 3)
				for i := range tasks {
					tasks[i] = worker.Task{Key: worker.TaskKey{Job: "gang", Index: uint32(i)}, Size: size}
					end(tasks[i].Key)
				}
				choices, err := f.PlaceGang(epoch, tasks, random)
				if err != nil {
					return
				}
				for i := range tasks {
					begin(tasks[i].Key, worker.Allocation{Worker: choices[i].Worker(), Size: size})
				}
			},
			"drop": func(t *rapid.T) { key, _ := place(t); end(key) },
			"": func(t *rapid.T) {
				for i := range 4 {
					name := fmt.Sprint("w", i)
					if got, want := f.Free(name), total.Minus(allocated[name]); got != want {
						t.Fatalf("got %+v free on %s, want %+v", got, name, want)
					}
					if got := f.Free(name); !got.Valid() {
						t.Fatalf("got %+v free on %s, want no negative amount", got, name)
					}
				}
				if got, want := f.AllocationCount(), len(allocations); got != want {
					t.Fatalf("got %d allocations, want %d", got, want)
				}
			},
		})
	})
}

func TestPlaceFilters(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	later := epoch.Add(worker.MaxReportAge + 1)
	cases := []struct {
		name    string
		prepare func(f *worker.Fleet)
		want    error
	}{
		{"a worker being drained", func(f *worker.Fleet) {
			r := report("w", cpu(1000))
			r.Draining = true
			f.ApplyReport(later, r)
		}, worker.ErrFleetFull},
		{"a worker whose ledger is not ready", func(f *worker.Fleet) {
			r := report("w", cpu(1000))
			r.Ready = false
			f.ApplyReport(later, r)
		}, worker.ErrFleetFull},
		{"a worker whose last report is too old", func(f *worker.Fleet) { f.ApplyReport(epoch, report("w", cpu(1000))) }, worker.ErrFleetFull},
		{"a lost worker", func(f *worker.Fleet) { f.ApplyReport(later, report("w", cpu(1000))); f.MarkLost("w") }, worker.ErrFleetFull},
		{"a small worker", func(f *worker.Fleet) { f.ApplyReport(later, report("w", cpu(10))) }, worker.ErrTooLarge},
		{"grants without a known allocation", func(f *worker.Fleet) {
			r := report("w", cpu(1000))
			r.Free = cpu(10)
			f.ApplyReport(later, r)
		}, worker.ErrFleetFull},
		{"a worker reserved for another task", func(f *worker.Fleet) {
			f.ApplyReport(later, report("w", cpu(1000)))
			f.Reserve("w", worker.TaskKey{Job: "other"}, later.Add(1))
		}, worker.ErrFleetFull},
		{"a worker with enough free capacity", func(f *worker.Fleet) { f.ApplyReport(later, report("w", cpu(1000))) }, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var f worker.Fleet
			c.prepare(&f)
			_, got := f.Place(later, &worker.Task{Key: worker.TaskKey{Job: "j"}, Size: cpu(100)}, random)
			if !errors.Is(got, c.want) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestLostWorkersAreForgotten replaces every worker many times and expects no
// state of lost workers to remain.
func TestLostWorkersAreForgotten(t *testing.T) {
	var f worker.Fleet
	random := rand.New(rand.NewPCG(1, 1))
	for i := range 1000 {
		name := fmt.Sprint("w", i)
		f.ApplyReport(epoch, report(name, cpu(1000)))
		f.Allocate(worker.TaskKey{Job: name}, worker.Allocation{Worker: name, Size: cpu(600)})
		if i < 3 {
			continue
		}
		old := fmt.Sprint("w", i-3)
		f.MarkLost(old)
		f.Release(worker.TaskKey{Job: old})
		f.MarkLost(old)
		if got, want := f.Len(), 3; got != want {
			t.Fatalf("got %d workers, want %d", got, want)
		}
		if got, want := f.Free(name), cpu(400); got != want {
			t.Fatalf("got %+v free, want %+v", got, want)
		}
	}
	if c, err := f.Place(epoch, &worker.Task{Size: cpu(500)}, random); err == nil {
		t.Errorf("got %s, want no worker with enough free capacity", c.Worker())
	}
}

func TestPlacePrefers(t *testing.T) {
	cases := []struct {
		name    string
		worse   func(r *worker.Report)
		task    worker.Task
		prepare func(f *worker.Fleet)
	}{
		{"a worker without a slow service", func(r *worker.Report) { r.Service, r.Pressure = "planner", 1.5 }, worker.Task{}, nil},
		{"a worker without accelerators", func(r *worker.Report) { r.Total.Accelerators, r.Free.Accelerators = 2, 2 }, worker.Task{}, nil},
		{"a rack without tasks of the job", func(r *worker.Report) { r.Rack = "crowded" }, worker.Task{TasksPerRack: map[string]int{"crowded": 3}}, nil},
		{"a service that the class does not slow down", func(r *worker.Report) { r.Service, r.Load = "planner", 1 }, worker.Task{Class: "archive"}, func(f *worker.Fleet) {
			for range 200 {
				f.Interference().Observe("planner", 1, []worker.ClassShare{{Class: "archive", Share: 1}}, 10)
			}
		}},
		{"a worker on which the job has not failed", func(*worker.Report) {}, worker.Task{Failures: failedOn("worse")}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var f worker.Fleet
			if c.prepare != nil {
				c.prepare(&f)
			}
			bad := report("worse", cpu(4000))
			c.worse(bad)
			f.ApplyReport(epoch, bad)
			f.ApplyReport(epoch, report("zz-better", cpu(4000)))
			c.task.Size = cpu(1000)
			got, err := f.Place(epoch, &c.task, rand.New(rand.NewPCG(1, 1)))
			if want := "zz-better"; err != nil || got.Worker() != want {
				t.Errorf("got %q, %v, want %q", got.Worker(), err, want)
			}
		})
	}
}

func failedOn(name string) *worker.JobFailures {
	f := new(worker.JobFailures)
	f.RecordFailure(name)
	return f
}

func TestInterferenceTellsClassesApart(t *testing.T) {
	var m worker.Interference
	random := rand.New(rand.NewPCG(1, 1))
	for range 5000 {
		load := random.Float64()
		parts := []worker.ClassShare{{Class: "noisy", Share: random.Float64() / 2}, {Class: "quiet", Share: random.Float64() / 2}}
		m.Observe("planner", load, parts, 0.3+load*(3*parts[0].Share+0.1*parts[1].Share))
	}
	noisy, quiet := m.Slope("planner", "noisy"), m.Slope("planner", "quiet")
	if noisy < 2.5 || noisy > 3.5 || quiet > 0.5 {
		t.Errorf("got slopes %.2f and %.2f, want about 3 and 0.1", noisy, quiet)
	}
}
