package capacity

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
)

// Settings configure a run.
type Settings struct {
	// AppendTime is how long appends are counted at each rate.
	AppendTime time.Duration
	// Heartbeats is how many heartbeats are measured at each size.
	Heartbeats int
}

// Result is what a run measured and worked out.
type Result struct {
	Slopes []Slope `json:"slopes"`
	Lines  []Line  `json:"lines"`
}

// slopes holds the measured slopes by their part.
type slopes struct {
	worker, running, ended, task, endpoint Slope
	record, placement, choice              Slope
	sent, received, heartbeat, appends     Slope
}

// Run measures every slope and works out the lines at the target size.
func Run(ctx context.Context, now time.Time, s Settings) (*Result, error) {
	m := slopes{
		worker:    memoryPerWorker(),
		endpoint:  memoryPerEndpoint(),
		running:   memoryPerJob("entry-memory-per-running-job", true),
		ended:     memoryPerJob("entry-memory-per-ended-job", false),
		task:      memoryPerTask(),
		record:    processorPerRecord(),
		placement: processorPerPlacement(),
		choice:    processorPerChoice(),
	}
	var err error
	m.sent, m.received, m.heartbeat, err = measureHeartbeats(ctx, now, s.Heartbeats)
	if err != nil {
		return nil, err
	}
	if m.appends, err = measureAppends(ctx, s.AppendTime); err != nil {
		return nil, err
	}
	return &Result{
		Slopes: []Slope{
			m.worker, m.endpoint, m.running, m.ended, m.task, m.record, m.placement, m.choice,
			m.sent, m.received, m.heartbeat, m.appends,
		},
		Lines: m.lines(),
	}, nil
}

// secondsPerDay and others turn the target's units.
const (
	secondsPerDay = 86400
	millionth     = 1e-6
)

// lines works out the cost of each role at the target size.
func (m *slopes) lines() []Line {
	workers := float64(targetWorkers) / targetDataCentres
	tasks := float64(targetTasks) / targetDataCentres
	endpoints := float64(targetEndpoints) / targetDataCentres
	starts := float64(targetStarts) / targetDataCentres
	tasksPerWorker := float64(targetTasks) / targetWorkers
	kept := float64(targetJobsPerDay) / targetDataCentres * keptJobHours / 24
	heard := workers * toldEntries / entriesPerDataCentre
	period := lease.HeartbeatInterval(int(heard)).Seconds()
	heartbeats := heard / period
	perHeartbeat := m.sent.at(tasksPerWorker) + m.received.at(tasksPerWorker)
	return []Line{
		newLine("agent", "heartbeats, both ways", "bytes a second", perHeartbeat*toldEntries/period, boundBytes,
			"bytes of a heartbeat at 5.4 tasks x 3 entries told, at the entries' pace"),
		newLine("entry", "live state of workers, endpoints, tasks and jobs kept a day", "bytes",
			m.worker.at(workers)+m.endpoint.at(endpoints)+m.running.per()*tasks+m.ended.per()*kept, boundMemory,
			"slopes x 200 workers, 443 endpoints, 1,071 running tasks and 3,286 ended jobs of a data centre"),
		newLine("entry", "processor for records folded at the peak", "cores",
			m.record.at(tasks+kept)*millionth*starts*recordsPerTask, boundCPU, "43 starts a second x 4 records"),
		newLine("entry", "processor for placements at the peak", "cores",
			m.placement.at(workers)*millionth*starts, boundCPU, "43 placements a second, all by one entry"),
		newLine("entry and agent", "processor for heartbeats, both sides", "cores",
			m.heartbeat.at(tasksPerWorker)*millionth*heartbeats, boundCPU,
			"67 agents at the entry's pace; upper limit for the entry, which has one side"),
		newLine("entry", "heartbeats of its agents, both ways", "bytes a second", perHeartbeat*heartbeats, boundBytes,
			"67 agents at the entry's pace"),
		newLine("streams", "appends at 300 starts a second", "appends a second",
			m.appends.most()*targetDataCentres+bundleAppends()+memberAppends(), boundAppends,
			"7 streams at the most measured, 2,200 bundles a day, membership; the writers' pace bounds a stream"),
		newLine("streams", "records of a day", "records",
			targetJobsPerDay*recordsPerTask+targetBundlesPerDay, 0, "23,000 jobs x 4 records, 2,200 bundles"),
	}
}

// bundleAppends and memberAppends are the appends a second besides the jobs'.
func bundleAppends() float64 { return float64(targetBundlesPerDay) / secondsPerDay }

// memberAppends counts the membership records of all entries.
func memberAppends() float64 {
	return entriesPerDataCentre * targetDataCentres * announcementsPerSecond
}
