package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/services"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// measureAppends returns the appends a second in one data centre's stream by
// task starts a second there.
func measureAppends(ctx context.Context, length time.Duration) (Slope, error) {
	out := Slope{Name: "appends-per-start", Unit: "appends a second"}
	for _, starts := range []int{2, 10, targetStarts / targetDataCentres, 2 * targetStarts / targetDataCentres} {
		appends, err := appendsAt(ctx, starts, length)
		if err != nil {
			return out, err
		}
		out.add(float64(starts), appends)
	}
	out.fit()
	return out, nil
}

// appendsAt lets the entries of one data centre record task starts at a rate.
func appendsAt(ctx context.Context, starts int, length time.Duration) (float64, error) {
	ctx, cancel := context.WithTimeout(ctx, length)
	defer cancel()
	ln, err := new(net.ListenConfig).Listen(ctx, "tcp", loopback)
	if err != nil {
		return 0, err
	}
	l := new(standin.Log)
	server := &http.Server{Handler: l.Handler(), ReadHeaderTimeout: readLimit}
	var group sync.WaitGroup
	defer group.Wait()
	defer func() { _ = server.Close() }()
	group.Go(func() { _ = server.Serve(ln) })
	port := services.NewLog(&http.Client{}, "http://"+ln.Addr().String())
	var writers []*services.Writer
	var running sync.WaitGroup
	for i := range entriesPerDataCentre {
		w := services.NewWriter(port, "jobs-dc-1", fmt.Sprintf("entry-%d@1", i), entry.StreamAppendInterval*entriesPerDataCentre)
		writers = append(writers, w)
		running.Go(func() { w.Run(ctx, 0) })
	}
	random := rand.New(rand.NewPCG(uint64(starts), 1))
	mean := float64(time.Second) / float64(starts*recordsPerTask)
	for delay.For(ctx, time.Duration(random.ExpFloat64()*mean)) {
		task := record.AssignmentID{Task: record.TaskID{Job: "00000000000000000000"}, Epoch: 1}
		if err := writers[random.IntN(len(writers))].Enqueue(&record.Started{Assignments: []record.AssignmentID{task}}); err != nil {
			return 0, err
		}
	}
	running.Wait()
	return float64(l.Appends()) / length.Seconds(), nil
}
