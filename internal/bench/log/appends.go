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

// Load of the append measurement.
const (
	startsPerSecond      = 300
	entriesPerDataCentre = 3
	appendMeasurePeriod  = 5 * time.Second
	appendTickInterval   = 10 * time.Millisecond
	logDelayMS           = 5
	maxAppendMS          = 60000
	histogramDigits      = 3
)

// appendLoad holds the writers of all entries, by data centre, and the measurements:
// the latencies of the appends in milliseconds and the number of records.
type appendLoad struct {
	writers     [][]*services.Writer
	group       sync.WaitGroup
	mu          sync.Mutex
	latenciesMS *hdrhistogram.Histogram
	records     int
	err         error
}

// measureAppends appends the records that 300 task starts per second cause: the
// assignment, the start and the end of each task, by any of the entries of a data
// centre.
func measureAppends(ctx context.Context, r *Result) error {
	h, err := newHarness()
	if err != nil {
		return err
	}
	defer h.close()
	logService := new(standin.Log)
	logService.SetFaults(standin.LogFaults{DelayMS: logDelayMS})
	url, err := h.serve(logService.Handler())
	if err != nil {
		return err
	}
	load := &appendLoad{latenciesMS: hdrhistogram.New(1, maxAppendMS, histogramDigits)}
	live, stop := context.WithCancel(ctx)
	var writers sync.WaitGroup
	for dc := range dataCentres {
		load.addWriters(live, &writers, url, fmt.Sprintf("dc-%d", dc+1))
	}
	began := time.Now()
	load.run(ctx)
	load.group.Wait()
	seconds := time.Since(began).Seconds()
	stop()
	writers.Wait()
	if load.err != nil {
		return load.err
	}
	r.AppendsPerSecond = float64(logService.Appends()) / seconds
	r.RecordsPerSecond = float64(load.records) / seconds
	r.AppendP99MS = float64(load.latenciesMS.ValueAtQuantile(99))
	return nil
}

// addWriters adds the writers of one data centre's entries, and runs them in group until
// ctx ends.
func (a *appendLoad) addWriters(ctx context.Context, group *sync.WaitGroup, url, dataCentre string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: entriesPerDataCentre}}
	var writers []*services.Writer
	for i := range entriesPerDataCentre {
		name := fmt.Sprintf("%s/entry-%d@1", dataCentre, i)
		w := services.NewWriter(services.NewLog(client, url), entry.JobsStream(dataCentre), name, entriesPerDataCentre*entry.StreamAppendInterval)
		group.Go(func() { w.Run(ctx, time.Second) })
		writers = append(writers, w)
	}
	a.writers = append(a.writers, writers)
}

// run starts startsPerSecond tasks per second for appendMeasurePeriod, and appends the
// records of each.
func (a *appendLoad) run(ctx context.Context) {
	began := time.Now()
	started := 0
	for elapsed := time.Duration(0); elapsed < appendMeasurePeriod && delay.For(ctx, appendTickInterval); elapsed = time.Since(began) {
		for ; started < int(elapsed.Seconds()*startsPerSecond); started++ {
			assignment := record.AssignmentID{Task: record.TaskID{Job: fmt.Sprintf("job-%d", started/8), Index: uint32(started % 8)}, Epoch: 1}
			writers := a.writers[rand.IntN(dataCentres)]
			a.append(ctx, writers, &record.Assign{Placements: []record.Placement{{Task: assignment.Task, Worker: "worker-17"}}})
			a.append(ctx, writers, &record.Started{Assignments: []record.AssignmentID{assignment}})
			a.append(ctx, writers, &record.Finished{Assignment: assignment, Outcome: record.OutcomeSucceeded})
		}
	}
}

// append appends one record through a random entry of a data centre.
func (a *appendLoad) append(ctx context.Context, writers []*services.Writer, m record.Message) {
	w := writers[rand.IntN(len(writers))]
	a.records++
	a.group.Go(func() {
		began := time.Now()
		err := w.Append(ctx, m)
		a.mu.Lock()
		defer a.mu.Unlock()
		if err != nil {
			a.err = err
		}
		_ = a.latenciesMS.RecordValue(max(1, time.Since(began).Milliseconds()))
	})
}
