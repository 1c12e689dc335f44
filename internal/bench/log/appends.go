package log

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// The load of the append measurement.
const (
	startsPerSecond   = 300
	entriesPerCentre  = 3
	appendsMeasured   = 5 * time.Second
	appendsTick       = 10 * time.Millisecond
	logDelayMS        = 5
	maxAppendMS       = 60000
	histogramAccuracy = 3
)

// appendLoad is the writers of all entries and what they measured.
type appendLoad struct {
	writers [][]*services.Writer
	group   sync.WaitGroup
	mu      sync.Mutex
	delays  *hdrhistogram.Histogram
	records int
	err     error
}

// measureAppends appends what 300 task starts a second cause: the assignment,
// the start and the end of each, by any of the entries of a data centre.
func measureAppends(ctx context.Context, r *Result) error {
	l, err := newLab()
	if err != nil {
		return err
	}
	defer l.close()
	service := new(standin.Log)
	service.SetFaults(standin.LogFaults{DelayMS: logDelayMS})
	url, err := l.host(service.Handler())
	if err != nil {
		return err
	}
	load := &appendLoad{delays: hdrhistogram.New(1, maxAppendMS, histogramAccuracy)}
	live, stop := context.WithCancel(ctx)
	var writers sync.WaitGroup
	for dc := range dataCentres {
		load.addWriters(live, &writers, url, fmt.Sprintf("dc-%d", dc+1))
	}
	began := time.Now()
	load.run(ctx)
	load.group.Wait()
	took := time.Since(began).Seconds()
	stop()
	writers.Wait()
	if load.err != nil {
		return load.err
	}
	r.Appends = float64(service.Appends()) / took
	r.AppendsEach = float64(load.records) / took
	r.AppendP99MS = float64(load.delays.ValueAtQuantile(99))
	return nil
}

func (a *appendLoad) addWriters(ctx context.Context, group *sync.WaitGroup, url, dataCentre string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: entriesPerCentre}}
	var writers []*services.Writer
	for i := range entriesPerCentre {
		name := fmt.Sprintf("%s/entry-%d@1", dataCentre, i)
		w := services.NewWriter(services.NewLog(client, url), entry.JobsStream(dataCentre), name, entriesPerCentre*entry.StreamAppendInterval)
		group.Go(func() { w.Run(ctx, time.Second) })
		writers = append(writers, w)
	}
	a.writers = append(a.writers, writers)
}

func (a *appendLoad) run(ctx context.Context) {
	began := time.Now()
	started := 0
	for elapsed := time.Duration(0); elapsed < appendsMeasured && delay.For(ctx, appendsTick); elapsed = time.Since(began) {
		for ; started < int(elapsed.Seconds()*startsPerSecond); started++ {
			hold := record.AssignmentID{Task: record.TaskID{Job: fmt.Sprintf("job-%d", started/8), Index: uint32(started % 8)}, Epoch: 1}
			centre := a.writers[rand.IntN(dataCentres)]
			a.append(ctx, centre, &record.Assign{Placements: []record.Placement{{Task: hold.Task, Worker: "worker-17"}}})
			a.append(ctx, centre, &record.Started{Assignments: []record.AssignmentID{hold}})
			a.append(ctx, centre, &record.Finished{Assignment: hold, Outcome: record.OutcomeSucceeded})
		}
	}
}

// append adds one record through any entry of a data centre.
func (a *appendLoad) append(ctx context.Context, centre []*services.Writer, m record.Message) {
	w := centre[rand.IntN(len(centre))]
	a.records++
	a.group.Go(func() {
		began := time.Now()
		err := w.Append(ctx, m)
		a.mu.Lock()
		defer a.mu.Unlock()
		if err != nil {
			a.err = err
		}
		_ = a.delays.RecordValue(max(1, time.Since(began).Milliseconds()))
	})
}
