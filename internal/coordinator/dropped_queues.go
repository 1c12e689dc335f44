package coordinator

import (
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// droppedQueue is a queue that the configuration in force does not name, as the newest known version that named it
// described it.
type droppedQueue struct {
	queue   dispatch.Queue
	version uint64
}

// queuesInForce returns the queues by which jobs are scheduled: those of the configuration and the dropped ones, whose
// accepted jobs go on. The caller holds mu, and there is a configuration.
func (c *Coordinator) queuesInForce() map[string]dispatch.Queue {
	queues := c.config.queues()
	for name, d := range c.droppedQueues {
		queues[name] = d.queue
	}
	return queues
}

// replaceConfig puts a configuration in force. Queues that it does not name any more are kept while they have jobs that have
// not ended. The caller holds mu.
func (c *Coordinator) replaceConfig(next *Config) {
	before := c.config
	c.config = next
	if before != nil {
		for name, queue := range before.queues() {
			c.noteDroppedQueue(name, queue, before.Version)
		}
	}
	c.pruneDroppedQueues()
	if c.term != nil {
		c.term.scheduler.SetQueues(c.queuesInForce())
	}
}

// noteDroppedQueue records what a version of the configuration says of a queue, if the one in force does not name it, and
// reports whether that is news. The caller holds mu.
func (c *Coordinator) noteDroppedQueue(name string, queue dispatch.Queue, version uint64) bool {
	if d, known := c.droppedQueues[name]; c.config == nil || known && d.version >= version {
		return false
	}
	if _, named := c.config.queue(name); named {
		return false
	}
	if c.droppedQueues == nil {
		c.droppedQueues = make(map[string]droppedQueue)
	}
	c.droppedQueues[name] = droppedQueue{queue: queue, version: version}
	c.gauge("queues-dropped", int64(len(c.droppedQueues)))
	return true
}

// pruneDroppedQueues forgets dropped queues that the configuration names again, or that have no jobs left. The caller holds
// mu.
func (c *Coordinator) pruneDroppedQueues() {
	if len(c.droppedQueues) == 0 {
		return
	}
	open := make(map[string]int)
	c.jobs.Each(func(_ string, j *workflow.Job) {
		if isOpen(j) {
			open[j.Submission().Queue]++
		}
	})
	for name, d := range c.droppedQueues {
		if _, named := c.config.queue(name); named || open[name] == 0 {
			delete(c.droppedQueues, name)
			continue
		}
		c.log.Warn().Str("queue", name).Int("jobs", open[name]).Uint64("named-in-version", d.version).Uint64("version", c.config.Version).
			Msg("the configuration does not name a queue with jobs; these go on under the last version that did")
	}
	c.gauge("queues-dropped", int64(len(c.droppedQueues)))
}

// isOpen reports whether a job of the job table has not ended.
func isOpen(j *workflow.Job) bool {
	return j.Submission() != nil && !j.Cancelled() && !j.Phase().Ended()
}

// noteQueueTerms records the terms that a job was accepted under, if the configuration does not name its queue. The caller
// holds mu.
func (c *Coordinator) noteQueueTerms(s *workflow.Submission) {
	t := s.QueueTerms
	if t == nil || t.Service == "" || !c.noteDroppedQueue(s.Queue, dispatch.QueueOf(t), t.ConfigVersion) {
		return
	}
	c.log.Warn().Str("queue", s.Queue).Str("job", s.ID).Uint64("named-in-version", t.ConfigVersion).Uint64("version", c.config.Version).
		Msg("the configuration does not name the queue of a job; the job goes on under the version that it was accepted under")
	if c.term != nil {
		c.term.scheduler.SetQueues(c.queuesInForce())
	}
}

// addQueueTerms adds to a submission what the configuration says of its queue. The caller holds mu.
func (c *Coordinator) addQueueTerms(s *workflow.Submission) {
	if c.config == nil {
		return
	}
	if q, ok := c.config.queue(s.Queue); ok {
		s.QueueTerms = q.QueueTerms(c.config.Version)
	}
}
