package services

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// faultyLog is an in-memory log of one stream whose appends fail as scripted.
type faultyLog struct {
	mu      sync.Mutex
	first   uint64
	batches [][]byte
	// script holds the fault of each append, in order; an empty one is none. The faults are
	// those that append implements.
	script []string
	// failedReads is how many reads fail once the stream has a batch.
	failedReads int
	// expireAll drops all batches after an append whose response is lost.
	expireAll bool
	// otherBatches is the number of batches that another writer appends after an
	// append whose response is lost.
	otherBatches int
	// delayedBatch is written after the next append.
	delayedBatch []byte
}

const maxFaultyLogPage = 100

// client returns the log's client for a writer.
func (l *faultyLog) client() record.Log { return record.Log{Append: l.append, Read: l.read} }

func (l *faultyLog) append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fault := ""
	if len(l.script) > 0 {
		fault, l.script = l.script[0], l.script[1:]
	}
	switch fault {
	case "refused":
		return 0, record.ErrUnavailable
	case "vanished":
		return 0, record.ErrOutcomeUnknown
	case "late":
		l.delayedBatch = data
		return 0, record.ErrOutcomeUnknown
	}
	offset := l.first + uint64(len(l.batches))
	l.batches = append(l.batches, data)
	if l.delayedBatch != nil {
		l.batches = append(l.batches, l.delayedBatch)
		l.delayedBatch = nil
	}
	if fault == "lost" {
		for range l.otherBatches {
			other, _ := record.Encode("other", 1, []record.Message{&record.Forget{}})
			l.batches = append(l.batches, other)
		}
		if l.expireAll {
			l.first += uint64(len(l.batches))
			l.batches = nil
		}
		return 0, record.ErrOutcomeUnknown
	}
	return offset, nil
}

func (l *faultyLog) read(_ context.Context, _ string, from uint64, _ time.Duration) (record.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := record.Page{FirstOffset: l.first, NextOffset: l.first + uint64(len(l.batches))}
	if l.failedReads > 0 && len(l.batches) > 0 {
		l.failedReads--
		return record.Page{}, record.ErrUnavailable
	}
	if from < l.first {
		return page, record.ErrExpired
	}
	for o := from; o < page.NextOffset && len(page.Batches) < maxFaultyLogPage; o++ {
		page.Batches = append(page.Batches, record.RawBatch{Offset: o, Data: l.batches[o-l.first]})
	}
	return page, nil
}

// acceptedFrom returns the number of batches of writer and the job names in their
// records, duplicates dropped as a reader does.
func (l *faultyLog) acceptedFrom(t *testing.T, writer string) (batches int, jobs []string) {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	var d record.Deduper
	for i, data := range l.batches {
		records, skipped, err := record.Decode(l.first+uint64(i), data)
		if err != nil || skipped > 0 {
			t.Fatalf("batch %d: skipped %d, error %v", i, skipped, err)
		}
		if records[0].Writer() != writer {
			continue
		}
		batches++
		for _, r := range records {
			if d.Accept(r) {
				jobs = append(jobs, r.Message().(*record.Forget).Jobs...)
			}
		}
	}
	return batches, jobs
}

type writerCase struct {
	Name         string   `json:"name"`
	Appends      []string `json:"appends"`
	FailedReads  int      `json:"failed-reads"`
	Expire       bool     `json:"expire"`
	Others       int      `json:"others"`
	Calls        int      `json:"calls"`
	WantBatches  int      `json:"want-batches"`
	WantResolved uint64   `json:"want-resolved"`
	WantRetries  uint64   `json:"want-retries"`
}

// TestWriterFaults checks that faults of appends and reads neither lose nor
// duplicate records.
func TestWriterFaults(t *testing.T) {
	data, err := os.ReadFile("testdata/writer.json")
	if err != nil {
		t.Fatal(err)
	}
	var cases []writerCase
	if err := json.Unmarshal(data, &cases); err != nil {
		t.Fatal(err)
	}
	for _, c := range cases {
		t.Run(c.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runWriterCase(t, &c) })
		})
	}
}

func runWriterCase(t *testing.T, c *writerCase) {
	t.Helper()
	log := &faultyLog{script: c.Appends, failedReads: c.FailedReads, expireAll: c.Expire, otherBatches: c.Others}
	w := NewWriter(log.client(), "jobs", "writer@1", 20*time.Millisecond)
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	group.Go(func() { w.Run(ctx, time.Second) })
	var want []string
	for i := range c.Calls {
		name := fmt.Sprintf("job-%d", i)
		want = append(want, name)
		if err := w.Append(ctx, &record.Forget{Jobs: []string{name}}); err != nil {
			t.Errorf("append %d: got %v, want no error", i, err)
		}
	}
	cancel()
	group.Wait()
	batches, got := log.acceptedFrom(t, "writer@1")
	if fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("records read: got %v, want %v", got, want)
	}
	if batches != c.WantBatches || w.ResolvedAppends() != c.WantResolved || w.Retries() != c.WantRetries {
		t.Errorf("batches, resolved, retries: got %d, %d, %d, want %d, %d, %d",
			batches, w.ResolvedAppends(), w.Retries(), c.WantBatches, c.WantResolved, c.WantRetries)
	}
}

// TestAppendWithdrawn checks the errors of calls that time out: one whose append
// is in progress and one that is still queued and must not be written.
func TestAppendWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hang := make(chan struct{})
		log := &faultyLog{}
		client := log.client()
		client.Append = func(ctx context.Context, stream string, data []byte) (uint64, error) {
			<-hang
			return log.append(ctx, stream, data)
		}
		w := NewWriter(client, "jobs", "writer@1", 0)
		run, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		group.Go(func() { w.Run(run, time.Second) })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var first, second error
		var calls sync.WaitGroup
		calls.Go(func() { first = w.Append(ctx, &record.Forget{Jobs: []string{"first"}}) })
		synctest.Wait()
		calls.Go(func() {
			second = w.Append(ctx, &record.Forget{Jobs: []string{"second"}}, &record.Forget{Jobs: []string{"third"}})
		})
		calls.Wait()
		if !errors.Is(first, record.ErrOutcomeUnknown) {
			t.Errorf("append under way: got %v, want %v", first, record.ErrOutcomeUnknown)
		}
		if !errors.Is(second, record.ErrUnavailable) || errors.Is(second, record.ErrOutcomeUnknown) {
			t.Errorf("append not begun: got %v, want %v", second, record.ErrUnavailable)
		}
		close(hang)
		stop()
		group.Wait()
		if _, got := log.acceptedFrom(t, "writer@1"); fmt.Sprint(got) != "[first]" {
			t.Errorf("records written: got %v, want [first]", got)
		}
	})
}

// TestAppendKeepsCallsWhole checks that the records of one call share a batch, that
// a batch is limited in records and that the queue is limited in bytes.
func TestAppendKeepsCallsWhole(t *testing.T) {
	w := NewWriter(record.Log{}, "jobs", "writer@1", 0)
	big := make([]byte, maxQueuedBytes/4)
	for range 3 {
		if err := w.Enqueue(&record.Bundle{Signed: big}); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Enqueue(&record.Bundle{Signed: big}, &record.Forget{}); !errors.Is(err, ErrBackpressure) {
		t.Errorf("queue full by bytes: got %v, want %v", err, ErrBackpressure)
	}
	if got, want := w.Queued(), 3; got != want {
		t.Errorf("queued after a refusal: got %d, want %d", got, want)
	}
	var q queue
	for range maxBatchRecords/2 + 1 {
		g, err := newGroup([]record.Message{&record.Forget{}, &record.Forget{}})
		if err != nil {
			t.Fatal(err)
		}
		if err := q.add(g); err != nil {
			t.Fatal(err)
		}
	}
	if _, records := q.takeBatch(); len(records) != maxBatchRecords {
		t.Errorf("first batch: got %d records, want %d", len(records), maxBatchRecords)
	}
	if _, records := q.takeBatch(); len(records) != 2 {
		t.Errorf("second batch: got %d records, want 2", len(records))
	}
}

// TestPaceSpacesAppends checks the burst after an idle period and the interval under load.
func TestPaceSpacesAppends(t *testing.T) {
	p := appendPacer{interval: 100 * time.Millisecond}
	now := time.Unix(1000, 0)
	for i := range appendBurst {
		if got := p.reserve(now); got != 0 {
			t.Errorf("append %d of a burst: got a wait of %s, want none", i, got)
		}
	}
	appends := 0
	for end := now.Add(10 * time.Second); now.Before(end); appends++ {
		now = now.Add(p.reserve(now))
	}
	if appends > 101 {
		t.Errorf("appends in 10 s of load: got %d, want at most 101", appends)
	}
}
