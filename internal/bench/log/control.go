package log

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/entry"
	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/standin"
	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// The control measurement and the deployment that its figures are worked out for.
const (
	controlMeasured = 1500 * time.Millisecond
	controlPeriod   = 500 * time.Millisecond
	// warmBeats is the heartbeats per agent after which connections are up.
	warmBeats      = 3
	tasksPerWorker = 5
	// toldEntries is the number of entries that an agent tells.
	toldEntries = 3
	// targetPeriod is the heartbeat period at the target size.
	targetPeriod = 2 * time.Second
	// targetEntries is the number of entries in a data centre at the target size.
	targetEntries = 8
)

// ControlResult is what control messages cost.
type ControlResult struct {
	// BytesPerHeartbeat is on the wire, both ways, with IP and UDP headers.
	BytesPerHeartbeat float64 `json:"bytes-per-heartbeat"`
	Datagrams         float64 `json:"datagrams-per-heartbeat"`
	CPUPerHeartbeatUS float64 `json:"cpu-us-per-heartbeat"`
	Bytes11           float64 `json:"control-bytes-per-s-11"`
	Bytes100          float64 `json:"control-bytes-per-s-100"`
	Bytes400          float64 `json:"control-bytes-per-s-400"`
	// AgentBytes and EntryBytes are per node at the target size.
	AgentBytes float64 `json:"control-bytes-per-s-1400-agent"`
	EntryBytes float64 `json:"control-bytes-per-s-1400-entry"`
	Bytes1400  float64 `json:"control-bytes-per-s-1400"`
	CPU1400    float64 `json:"control-cpu-percent-1400"`
	// EntriesNeeded is how many entries a data centre needs at the target size
	// for an entry to stay within its bytes.
	EntriesNeeded int `json:"control-entries-per-data-centre"`
}

// maxNodeBytes is what a node may spend for control, in bytes a second.
const maxNodeBytes = 18000

// measureControl sends heartbeats of 11, 100 and 400 agents to one entry.
func measureControl(ctx context.Context, r *Result) error {
	var samples []controlSample
	for _, agents := range []int{11, 100, 400} {
		s, err := controlOf(ctx, agents)
		if err != nil {
			return errors.Wrapf(err, "%d agents", agents)
		}
		samples = append(samples, s)
	}
	r.Bytes11, r.Bytes100, r.Bytes400 = samples[0].bytes, samples[1].bytes, samples[2].bytes
	first, last := samples[0], samples[2]
	beats := last.beats - first.beats
	r.BytesPerHeartbeat = (last.bytes - first.bytes) / beats
	r.Datagrams = (last.datagrams - first.datagrams) / beats
	r.CPUPerHeartbeatUS = (last.cpu - first.cpu) / beats * 1e6
	agentBeats := toldEntries / targetPeriod.Seconds()
	centreBeats := agentBeats * targetWorkers / dataCentres
	entryBeats := centreBeats / targetEntries
	r.AgentBytes = agentBeats * r.BytesPerHeartbeat
	r.EntryBytes = entryBeats * r.BytesPerHeartbeat
	r.Bytes1400 = max(r.AgentBytes, r.EntryBytes)
	r.CPU1400 = entryBeats * r.CPUPerHeartbeatUS / 1e6 * 100
	r.EntriesNeeded = int(centreBeats*r.BytesPerHeartbeat/maxNodeBytes) + 1
	return nil
}

// controlSample is what one run used in a second.
type controlSample struct{ beats, bytes, datagrams, cpu float64 }

// controlOf measures bytes through a relay and processor time without it.
func controlOf(ctx context.Context, agents int) (controlSample, error) {
	l, err := newLab()
	if err != nil {
		return controlSample{}, err
	}
	live, stop := context.WithCancel(ctx)
	c := &controlSite{lab: l, log: new(standin.Log)}
	defer func() {
		for _, client := range c.clients {
			_ = client.Close()
		}
		stop()
		c.running.Wait()
		if c.relay != nil {
			c.relay.close()
		}
		l.close()
	}()
	if err := c.start(live, agents); err != nil {
		return controlSample{}, err
	}
	counted, err := c.measure(ctx, c.relay.address())
	if err != nil {
		return controlSample{}, err
	}
	direct, err := c.measure(ctx, c.entry.PeerAddress())
	counted.cpu = direct.cpu * counted.beats / direct.beats
	return counted, err
}

type controlSite struct {
	*lab
	log        *standin.Log
	entry      *entry.Entry
	relay      *relay
	running    sync.WaitGroup
	clients    []*link.Client
	heartbeats []*link.Heartbeat
}

const controlCentre = "dc-1"

func (c *controlSite) start(ctx context.Context, agents int) error {
	url, err := c.host(c.log.Handler())
	if err != nil {
		return err
	}
	id, err := c.identity(link.RoleEntry, controlCentre, "entry-1")
	if err != nil {
		return err
	}
	c.entry, err = entry.New(time.Now(), entry.Settings{
		Name: "entry-1", DataCentre: controlCentre, Listen: "127.0.0.1:0", PeerListen: "127.0.0.1:0",
		LogURL: url, Roots: c.roots, DrainDelay: siteDrain, AllowUnauthenticated: true,
	}, id, quiet())
	if err != nil {
		return err
	}
	if c.relay, err = newRelay(); err != nil {
		return err
	}
	if err := c.relay.serveFor(c.entry.PeerListenAddress()); err != nil {
		return err
	}
	for i := range agents {
		if err := c.addAgent(i); err != nil {
			return err
		}
	}
	c.running.Go(func() { _ = c.entry.Run(ctx) })
	return nil
}

// addAgent makes one agent's client and heartbeat and puts its tasks into the log.
func (c *controlSite) addAgent(i int) error {
	name := fmt.Sprintf("worker-%d", i)
	id, err := c.identity(link.RoleAgent, controlCentre, name)
	if err != nil {
		return err
	}
	c.clients = append(c.clients, link.NewClient(id, link.RoleEntry))
	spec := record.Spec{ID: "job-of-" + name, Team: "nursery", Class: "shaping", Tasks: tasksPerWorker, TakeoverMS: 10000}
	assign := new(record.Assign)
	started := new(record.Started)
	h := &link.Heartbeat{
		Worker: name, Rack: fmt.Sprintf("rack-%d", i/3), Service: "planner", Address: fmt.Sprintf("10.1.%d.%d:8443", i/250, i%250),
		Incarnation: uint64(time.Now().UnixNano()), Slots: 8, InFlight: 3, Ready: true,
		Total: worker.Resources{MilliCPU: 16000, MemoryMB: 60000}, Free: worker.Resources{MilliCPU: 4000, MemoryMB: 9000},
	}
	epoch := record.NewPosition(uint64(i), 1)
	for t := range uint32(tasksPerWorker) {
		hold := record.AssignmentID{Task: record.TaskID{Job: spec.ID, Index: t}, Epoch: epoch}
		assign.Placements = append(assign.Placements, record.Placement{Task: hold.Task, Worker: name})
		started.Assignments = append(started.Assignments, hold)
		h.Tasks = append(h.Tasks, lease.Report{Hold: hold, State: lease.Running})
	}
	c.heartbeats = append(c.heartbeats, h)
	data, err := record.Encode(name, 1, []record.Message{&record.Submit{Spec: spec}, assign, started})
	if err != nil {
		return err
	}
	c.log.Append(entry.JobsStream(controlCentre), data)
	return nil
}

// measure sends every agent's heartbeats to an address for a while, first
// without counting, so that connections are up.
func (c *controlSite) measure(ctx context.Context, address string) (controlSample, error) {
	var group sync.WaitGroup
	var beats, failed atomic.Int64
	sending, stop := context.WithCancel(ctx)
	defer stop()
	for i := range c.clients {
		group.Go(func() { c.beat(sending, i, address, &beats, &failed) })
	}
	for beats.Load() < warmBeats*int64(len(c.clients)) && delay.For(ctx, rollPoll) {
		continue
	}
	beats.Store(0)
	bytes, datagrams := c.relay.bytes.Load(), c.relay.datagrams.Load()
	cpu, began := cpuTime(), time.Now()
	delay.For(ctx, controlMeasured)
	took := time.Since(began).Seconds()
	s := controlSample{
		beats:     float64(beats.Load()) / took,
		bytes:     float64(c.relay.bytes.Load()-bytes) / took,
		datagrams: float64(c.relay.datagrams.Load()-datagrams) / took,
		cpu:       (cpuTime() - cpu).Seconds() / took,
	}
	stop()
	group.Wait()
	if failed.Load() > 0 {
		return s, errors.Newf("%d heartbeats failed", failed.Load())
	}
	return s, ctx.Err()
}

func (c *controlSite) beat(ctx context.Context, i int, address string, beats, failed *atomic.Int64) {
	delay.For(ctx, rand.N(controlPeriod))
	h := *c.heartbeats[i]
	var sender link.HeartbeatSender
	for ctx.Err() == nil {
		h.Round++
		if err := c.call(ctx, i, address, &sender, &h); err == nil {
			beats.Add(1)
		} else if ctx.Err() == nil {
			failed.Add(1)
		}
		delay.For(ctx, controlPeriod)
	}
}

// call sends one heartbeat as an agent does.
func (c *controlSite) call(ctx context.Context, i int, address string, sender *link.HeartbeatSender, h *link.Heartbeat) error {
	sent, digest, err := sender.Compact(address, h)
	if err != nil {
		return err
	}
	var reading link.HeartbeatReply
	if err := c.clients[i].Call(ctx, address, link.PathHeartbeat, sent, &reading); err != nil {
		return err
	}
	sender.HandleReply(address, digest, &reading)
	if len(reading.LogReading.Stop)+len(reading.LogReading.Start) > 0 {
		return errors.Wrap(ErrBroken, "the entry does not know the tasks that were reported")
	}
	return nil
}
