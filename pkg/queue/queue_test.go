package queue_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"savoryhoist.example/savoryhoist/pkg/queue"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

var epoch = time.Unix(1_000_000, 0)

func cpu(n int64) worker.Resources { return worker.Resources{MilliCPU: n} }

func key(id string) queue.Key { return queue.Key{Job: id} }

func demand(team string, size worker.Resources) queue.Demand {
	return queue.Demand{Team: team, Size: size, Count: 1, Priority: 5, SubmittedAt: epoch}
}

// drain removes the ready items in the order of Next and returns their job IDs.
func drain(q *queue.Queue, now time.Time) []string {
	var out []string
	for {
		item, ok := q.Next(now)
		if !ok {
			return out
		}
		out = append(out, item.Key().Job)
		q.Remove(item.Key())
	}
}

func TestQueueOrder(t *testing.T) {
	late := func(d queue.Demand) queue.Demand { d.SubmittedAt = epoch.Add(time.Minute); return d }
	needed := func(d queue.Demand) queue.Demand { d.LatestStart = epoch.Add(time.Hour); return d }
	urgent := func(d queue.Demand) queue.Demand { d.Urgent = true; return d }
	a, b := demand("a", cpu(100)), demand("b", cpu(100))
	cases := []struct {
		name    string
		demands []queue.Demand
		want    string
	}{
		{"oldest first", []queue.Demand{late(a), a}, "[1 0]"},
		{"earliest needed-by time first", []queue.Demand{a, needed(late(a))}, "[1 0]"},
		{"urgent before a team with a smaller share", []queue.Demand{b, urgent(a)}, "[1 0]"},
		{"team with the smaller share first", []queue.Demand{a, b}, "[1 0]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var q queue.Queue
			q.SetQuota("a", cpu(1000))
			q.SetQuota("b", cpu(1000))
			q.Charge("a", cpu(500))
			for i, d := range c.demands {
				q.Add(epoch, key(fmt.Sprint(i)), d, epoch, queue.ReasonQueued)
			}
			if got := fmt.Sprint(drain(&q, epoch)); got != c.want {
				t.Errorf("got %s, want %s", got, c.want)
			}
		})
	}
}

func TestSharesFollowQuota(t *testing.T) {
	var q queue.Queue
	q.SetQuota("large", cpu(3000))
	q.SetQuota("small", cpu(1000))
	for i := range 400 {
		q.Add(epoch, key(fmt.Sprint("large", i)), demand("large", cpu(10)), epoch, queue.ReasonQueued)
		q.Add(epoch, key(fmt.Sprint("small", i)), demand("small", cpu(10)), epoch, queue.ReasonQueued)
	}
	got := make(map[string]int)
	for range 200 {
		item, _ := q.Next(epoch)
		team := item.Demand().Team
		got[team]++
		q.Charge(team, cpu(10))
		q.Remove(item.Key())
	}
	if want := 150; got["large"] != want {
		t.Errorf("got %d of 200 to the team with three quarters of the quota, want %d", got["large"], want)
	}
}

// TestTeamWithoutQuotaDoesNotStarve adds newer work of a team within its quota
// for ever. An old item of a team without a quota must still get its turn.
func TestTeamWithoutQuotaDoesNotStarve(t *testing.T) {
	var q queue.Queue
	q.SetQuota("other", cpu(1000))
	q.Charge("none", cpu(1000))
	q.Add(epoch, key("old"), demand("none", cpu(1)), epoch, queue.ReasonQueued)
	now := epoch
	for i := range 10_000 {
		now = now.Add(time.Hour)
		d := demand("other", cpu(1))
		d.SubmittedAt = now
		q.Add(now, key(fmt.Sprint(i)), d, now, queue.ReasonQueued)
		item, _ := q.Next(now)
		if item.Key().Job == "old" {
			return
		}
		q.Remove(item.Key())
	}
	t.Errorf("got no turn for the team without a quota in %v, want one", now.Sub(epoch))
}

func TestBlockedLargeTasksDoNotBlockSmallOnes(t *testing.T) {
	var q queue.Queue
	for i := range 1000 {
		q.Add(epoch, key(fmt.Sprint("large", i)), demand("a", cpu(16000)), epoch, queue.ReasonQueued)
	}
	q.Add(epoch, key("small"), demand("a", cpu(100)), epoch, queue.ReasonQueued)
	item, _ := q.Next(epoch)
	q.Block(item.Key())
	if got, _ := q.Next(epoch); got.Key().Job != "small" {
		t.Errorf("got %s next, want small", got.Key().Job)
	}
	q.Remove(key("small"))
	if got, ok := q.Next(epoch); ok {
		t.Errorf("got %s next, want none", got.Key().Job)
	}
	q.UnblockFitting(cpu(15000))
	if _, ok := q.Next(epoch); ok {
		t.Error("got a large item while no worker has room for it, want none")
	}
	q.UnblockFitting(cpu(16000))
	if _, ok := q.Next(epoch); !ok {
		t.Error("got no item after a worker had room, want a large one")
	}
}

func TestParkedTaskIsReexamined(t *testing.T) {
	var q queue.Queue
	q.Add(epoch, key("huge"), demand("a", cpu(1<<40)), epoch, queue.ReasonQueued)
	q.Park(key("huge"))
	q.UnblockFitting(cpu(1 << 50))
	if _, ok := q.Next(epoch); ok {
		t.Error("got the parked item, want none")
	}
	if got, _ := q.Reason(key("huge")); got != queue.ReasonTooLarge {
		t.Errorf("got reason %q, want %q", got, queue.ReasonTooLarge)
	}
	q.Reexamine()
	if _, ok := q.Next(epoch); !ok {
		t.Error("got no item after Reexamine, want the parked one")
	}
}

// TestQueueLosesNothing compares the queue with a plain map under random calls.
func TestQueueLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q queue.Queue
		now := epoch
		until := make(map[queue.Key]time.Time)
		keys := rapid.Custom(func(t *rapid.T) queue.Key { return key(fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "key"))) })
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				k := keys.Draw(t, "k")
				d := demand(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "team"), cpu(rapid.Int64Range(1, 4).Draw(t, "size")*1000))
				until[k] = now.Add(time.Duration(rapid.IntRange(-5, 5).Draw(t, "delay")) * time.Second)
				q.Add(now, k, d, until[k], queue.ReasonFailed)
			},
			"delay": func(t *rapid.T) {
				k := keys.Draw(t, "k")
				if _, ok := until[k]; ok {
					until[k] = now.Add(time.Second)
					q.Delay(k, until[k], queue.ReasonPlacing)
				}
			},
			"remove": func(t *rapid.T) {
				k := keys.Draw(t, "k")
				delete(until, k)
				q.Remove(k)
			},
			"block": func(t *rapid.T) { q.Block(keys.Draw(t, "k")) },
			"park":  func(t *rapid.T) { q.Park(keys.Draw(t, "k")) },
			"wait":  func(*rapid.T) { now = now.Add(time.Second) },
			"look": func(t *rapid.T) {
				q.Reexamine()
				for k, u := range until {
					if q.Len() != len(until) {
						t.Fatalf("got %d items, want %d", q.Len(), len(until))
					}
					if !u.After(now) {
						if _, ok := q.Next(now); !ok {
							t.Fatalf("got no ready item, want %v", k)
						}
					}
				}
			},
		})
		q.Reexamine()
		if got, want := len(drain(&q, now.Add(time.Hour))), len(until); got != want {
			t.Fatalf("got %d items in the end, want %d", got, want)
		}
	})
}
