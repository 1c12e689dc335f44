package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
)

// Parameters of reading the configuration.
const (
	// configWait is how long the store may hold one read until there is a new version; a
	// lost connection is detected soon after.
	configWait = 1500 * time.Millisecond
	// configRetry is the delay after a failed read; a new version must be in force within two seconds.
	configRetry = 300 * time.Millisecond
	// configKey is the key of the record that holds the configuration.
	configKey = "config"
)

// jobTopics are the topics whose records make up the job table.
var jobTopics = [...]store.Topic{store.TopicIntake, store.TopicProgress}

// tail is the read position in a topic.
type tail struct {
	// next is the offset from which to read on.
	next uint64
	// caughtUp is when the latest read that reached the end of the topic began.
	caughtUp time.Time
}

// tailJobs keeps the job table up to date.
func (c *Coordinator) tailJobs(ctx context.Context) {
	for clock.WaitForWake(ctx, nil, c.tailPause()) {
		if err := c.catchUp(ctx); err != nil {
			c.log.Warn().Err(err).Msg("reading jobs from the store failed")
		}
	}
}

// tailPause returns the delay before the next read. After a failed call reads are
// more frequent, to find out when the store answers again.
func (c *Coordinator) tailPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeFailures > 0 {
		return storeRetryEvery
	}
	return tailEvery
}

// storeRetryEvery is how often job records are read while calls to the store fail.
const storeRetryEvery = 200 * time.Millisecond

// catchUp applies the job records up to the end of their topics.
func (c *Coordinator) catchUp(ctx context.Context) error {
	for i := range jobTopics {
		if err := c.catchUpTopic(ctx, jobTopics[i], &c.tails[i]); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != nil {
		c.term.scheduler.AllJobsKnown(clock.Steady(), c.jobsCaughtUp())
	}
	return nil
}

// jobsCaughtUp returns the time up to which all records stored are in the job
// table: the earliest caughtUp of all topics. The caller holds mu.
func (c *Coordinator) jobsCaughtUp() time.Time {
	oldest := c.tails[0].caughtUp
	for i := range c.tails {
		if c.tails[i].caughtUp.Before(oldest) {
			oldest = c.tails[i].caughtUp
		}
	}
	return oldest
}

func (c *Coordinator) catchUpTopic(ctx context.Context, topic store.Topic, t *tail) error {
	for {
		c.mu.Lock()
		from, known := t.next, !t.caughtUp.IsZero()
		c.mu.Unlock()
		if !known {
			return c.reread(ctx, topic, t)
		}
		began := clock.Steady()
		page, err := callStore(ctx, c, 0, func(ctx context.Context) (*store.Page, error) {
			return c.store.Read(ctx, topic, from, 0)
		})
		if errors.Is(err, store.ErrTrimmed) {
			return c.reread(ctx, topic, t)
		}
		if err != nil {
			return err
		}
		c.applyRecords(page.Records)
		c.mu.Lock()
		for i := range page.Records {
			t.next = max(t.next, page.Records[i].Offset+1)
		}
		done := t.next >= page.End || len(page.Records) == 0
		if done {
			t.caughtUp = began
		}
		c.mu.Unlock()
		if done {
			return nil
		}
	}
}

// reread reads the newest record of each key, when the read position is unknown or no longer kept.
func (c *Coordinator) reread(ctx context.Context, topic store.Topic, t *tail) error {
	began := clock.Steady()
	type all struct {
		records []store.StoredRecord
		end     uint64
	}
	got, err := callStore(ctx, c, storeTimeout, func(ctx context.Context) (all, error) {
		records, end, err := c.store.AllNewest(ctx, topic)
		return all{records, end}, err
	})
	if err != nil {
		return err
	}
	c.applyRecords(got.records)
	c.mu.Lock()
	t.next = max(t.next, got.end) // got.end is that of the first page: later pages may hold newer records and still miss some written meanwhile
	t.caughtUp = began
	c.mu.Unlock()
	c.log.Info().Str("topic", string(topic)).Int("records", len(got.records)).Uint64("end", got.end).Msg("jobs read from the store")
	return nil
}

// applyRecords applies records to the job table and passes changes to the scheduler.
func (c *Coordinator) applyRecords(records []store.StoredRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	changed := false
	for i := range records {
		r := &records[i]
		if r.Key == learnedKey {
			c.learned = r.Value
			continue
		}
		id, err := c.jobs.Apply(r.Record)
		if err != nil {
			c.log.Warn().Err(err).Uint64("offset", r.Offset).Msg("skipped a job record that cannot be applied")
			continue
		}
		if c.term != nil {
			changed = c.term.syncJob(now, c, id) || changed
		}
	}
	if changed {
		notify(c.wakeLead)
	}
}

// tailConfig keeps the configuration up to date.
func (c *Coordinator) tailConfig(ctx context.Context) {
	next, known := uint64(0), false
	for ctx.Err() == nil {
		end, err := c.readConfig(ctx, next, known)
		if errors.Is(err, store.ErrTrimmed) {
			known = false
			continue
		}
		if err != nil {
			c.log.Warn().Err(err).Msg("reading the configuration failed")
			clock.WaitForWake(ctx, nil, configRetry)
			continue
		}
		next, known = end, true
	}
}

func (c *Coordinator) readConfig(ctx context.Context, next uint64, known bool) (uint64, error) {
	if !known {
		records, end, err := c.readAllConfig(ctx)
		if err != nil {
			return 0, err
		}
		c.applyConfigRecords(records)
		return end, nil
	}
	page, err := callStore(ctx, c, configWait, func(ctx context.Context) (*store.Page, error) {
		return c.store.Read(ctx, store.TopicConfig, next, configWait)
	})
	if err != nil {
		return 0, err
	}
	c.applyConfigRecords(page.Records)
	for i := range page.Records {
		next = max(next, page.Records[i].Offset+1)
	}
	return next, nil
}

func (c *Coordinator) readAllConfig(ctx context.Context) ([]store.StoredRecord, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.AllNewest(ctx, store.TopicConfig)
}

func (c *Coordinator) applyConfigRecords(records []store.StoredRecord) {
	for i := range records {
		if records[i].Key == configKey {
			c.applyConfig(records[i].Value, "store")
		}
	}
}

// applyConfig puts a configuration in force unless that version or a newer one already is.
func (c *Coordinator) applyConfig(data []byte, source string) {
	config, err := c.settings.DecodeConfig(data)
	if err != nil {
		c.log.Error().Err(err).Str("source", source).Msg("skipped a configuration that cannot be decoded")
		return
	}
	c.mu.Lock()
	if c.config != nil && c.config.Version >= config.Version {
		c.mu.Unlock()
		return
	}
	c.config, c.rawConfig = config, data
	if c.term != nil {
		c.term.scheduler.SetQueues(config.queues())
	}
	c.mu.Unlock()
	notify(c.wakeLead)
	c.gauge("config-version", int64(config.Version))
	c.log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Str("source", source).Msg("configuration in force")
}
