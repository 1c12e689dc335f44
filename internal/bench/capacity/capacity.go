package capacity

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/pkg/lease"
)

// Settings configure the benchmark.
type Settings struct {
	// AppendTime is how long appends are counted at each rate of task starts.
	AppendTime time.Duration
	// Heartbeats is the number of heartbeats measured with each number of tasks.
	Heartbeats int
}

// Result holds the costs that were measured at several sizes, each with the line fitted
// to it, and the costs at the target size that follow from these lines.
type Result struct {
	FittedCosts []FittedCost `json:"slopes"`
	TargetCosts []TargetCost `json:"lines"`
}

// fittedCosts holds all measured costs, each with the line fitted to it. The unit and the
// kind of size of each are given where it is measured.
type fittedCosts struct {
	workerMemory, runningJobMemory, endedJobMemory, taskMemory, endpointMemory FittedCost
	recordCPU, placementCPU, choiceCPU                                         FittedCost
	bytesSent, bytesReceived, heartbeatCPU, appends                            FittedCost
}

// Run measures all costs, fits a line to each, and computes the costs at the target size.
func Run(ctx context.Context, now time.Time, s Settings) (*Result, error) {
	m := fittedCosts{
		workerMemory:     measureWorkerMemory(),
		endpointMemory:   measureEndpointMemory(),
		runningJobMemory: measureJobMemory("entry-memory-per-running-job", true),
		endedJobMemory:   measureJobMemory("entry-memory-per-ended-job", false),
		taskMemory:       measureTaskMemory(),
		recordCPU:        measureRecordCPU(),
		placementCPU:     measurePlacementCPU(),
		choiceCPU:        measureChoiceCPU(),
	}
	var err error
	m.bytesSent, m.bytesReceived, m.heartbeatCPU, err = measureHeartbeats(ctx, now, s.Heartbeats)
	if err != nil {
		return nil, err
	}
	if m.appends, err = measureAppends(ctx, s.AppendTime); err != nil {
		return nil, err
	}
	return &Result{
		FittedCosts: []FittedCost{
			m.workerMemory, m.endpointMemory, m.runningJobMemory, m.endedJobMemory, m.taskMemory, m.recordCPU, m.placementCPU, m.choiceCPU,
			m.bytesSent, m.bytesReceived, m.heartbeatCPU, m.appends,
		},
		TargetCosts: m.targetCosts(),
	}, nil
}

// Factors to convert units.
const (
	secondsPerDay         = 86400
	secondsPerMicrosecond = 1e-6
)

// targetCosts computes the costs of each role at the target size.
func (m *fittedCosts) targetCosts() []TargetCost {
	workers := float64(targetWorkers) / targetDataCentres
	tasks := float64(targetTasks) / targetDataCentres
	endpoints := float64(targetEndpoints) / targetDataCentres
	starts := float64(targetStartsPerSecond) / targetDataCentres
	tasksPerWorker := float64(targetTasks) / targetWorkers
	endedJobs := float64(targetJobsPerDay) / targetDataCentres * endedJobRetentionHours / 24
	agentsPerEntry := workers * entriesPerAgent / entriesPerDataCentre
	interval := lease.HeartbeatInterval(int(agentsPerEntry)).Seconds()
	heartbeats := agentsPerEntry / interval
	bytesPerHeartbeat := m.bytesSent.costAt(tasksPerWorker) + m.bytesReceived.costAt(tasksPerWorker)
	return []TargetCost{
		newTargetCost("agent", "heartbeats, both ways", "bytes a second", bytesPerHeartbeat*entriesPerAgent/interval, maxBytesPerSecond,
			"bytes of a heartbeat at 5.4 tasks x 3 entries told, at the entries' pace"),
		newTargetCost("entry", "live state of workers, endpoints, tasks and jobs kept a day", "bytes",
			m.workerMemory.costAt(workers)+m.endpointMemory.costAt(endpoints)+m.runningJobMemory.perUnit()*tasks+m.endedJobMemory.perUnit()*endedJobs, maxMemoryBytes,
			"slopes x 200 workers, 443 endpoints, 1,071 running tasks and 3,286 ended jobs of a data centre"),
		newTargetCost("entry", "processor for records folded at the peak", "cores",
			m.recordCPU.costAt(tasks+endedJobs)*secondsPerMicrosecond*starts*recordsPerTask, maxCores, "43 starts a second x 4 records"),
		newTargetCost("entry", "processor for placements at the peak", "cores",
			m.placementCPU.costAt(workers)*secondsPerMicrosecond*starts, maxCores, "43 placements a second, all by one entry"),
		newTargetCost("entry and agent", "processor for heartbeats, both sides", "cores",
			m.heartbeatCPU.costAt(tasksPerWorker)*secondsPerMicrosecond*heartbeats, maxCores,
			"67 agents at the entry's pace; upper limit for the entry, which has one side"),
		newTargetCost("entry", "heartbeats of its agents, both ways", "bytes a second", bytesPerHeartbeat*heartbeats, maxBytesPerSecond,
			"67 agents at the entry's pace"),
		newTargetCost("streams", "appends at 300 starts a second", "appends a second",
			m.appends.maxCost()*targetDataCentres+bundleAppendRate()+memberAppendRate(), maxAppendsPerSecond,
			"7 streams at the most measured, 2,200 bundles a day, membership; the writers' pace bounds a stream"),
		newTargetCost("streams", "records of a day", "records",
			targetJobsPerDay*recordsPerTask+targetBundlesPerDay, 0, "23,000 jobs x 4 records, 2,200 bundles"),
	}
}

// bundleAppendRate returns the appends per second, to all streams, for bundles.
func bundleAppendRate() float64 { return float64(targetBundlesPerDay) / secondsPerDay }

// memberAppendRate returns the appends per second for the membership records of all
// entries.
func memberAppendRate() float64 {
	return entriesPerDataCentre * targetDataCentres * membershipRecordsPerSecond
}
