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
	// maxConfigReadWait is how long the store may delay its answer to one read until there is a
	// new version. It is short so that a lost connection is detected soon.
	maxConfigReadWait = 1500 * time.Millisecond
	// configRetryDelay is the delay after a failed read of the configuration; a new version must
	// be in force within two seconds.
	configRetryDelay = 300 * time.Millisecond
	// configKey is the key of the record that holds the configuration.
	configKey = "config"
)

// jobTopics are the topics whose records make up the job table.
var jobTopics = [...]store.Topic{intakeIndex: store.TopicIntake, 1: store.TopicProgress}

// intakeIndex is the index of store.TopicIntake in jobTopics.
const intakeIndex = 0

// tail is the read position in a topic.
type tail struct {
	// nextOffset is the offset of the next record to read.
	nextOffset uint64
	// caughtUpAt is when the latest read that reached the end of the topic began.
	caughtUpAt time.Time
}

// tailJobs keeps the job table up to date.
func (c *Coordinator) tailJobs(ctx context.Context) {
	failed := false
	for clock.WaitForWake(ctx, c.wakeTail, c.tailDelay(failed)) {
		err := c.catchUp(ctx)
		failed = err != nil
		if failed {
			c.log.Warn().Err(err).Msg("reading jobs from the store failed")
		} else {
			c.observeUnmatched(clock.Steady())
			c.deleteUnneededIntake(ctx, clock.Steady())
			c.deleteNames(ctx, clock.Steady())
		}
		clock.WaitForWake(ctx, nil, minTailInterval)
	}
}

// tailDelay returns the delay before the next read of job records. After a read or another call to the
// store has failed, reads are more frequent.
func (c *Coordinator) tailDelay(failed bool) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if failed || c.health.failing() {
		return storeRetryEvery
	}
	return tailEvery
}

const (
	// storeRetryEvery is how often job records are read while calls to the store fail.
	storeRetryEvery = 200 * time.Millisecond
	// minTailInterval is the minimum time between two reads of job records, so that one read covers
	// all records that this entry is told of together.
	minTailInterval = 20 * time.Millisecond
)

// catchUp applies the job records up to the end of their topics. It may run in several goroutines
// at once, so that records may be applied after later ones.
func (c *Coordinator) catchUp(ctx context.Context) error {
	c.beginJobRead()
	defer c.endJobRead()
	for i := range jobTopics {
		if err := c.catchUpTopic(ctx, jobTopics[i], &c.tails[i]); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != nil {
		c.term.scheduler.AllJobsKnown(clock.Steady(), c.jobsCaughtUpAt())
	}
	return nil
}

func (c *Coordinator) beginJobRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobReads++
}

// endJobRead has the job table forget deletions when no read is left that may return older records.
func (c *Coordinator) endJobRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobReads--; c.jobReads == 0 {
		c.jobs.ForgetDeleted()
	}
}

// jobsCaughtUpAt returns the time before which every stored job record is in the job
// table: the earliest caughtUpAt of all topics. The caller holds mu.
func (c *Coordinator) jobsCaughtUpAt() time.Time {
	oldest := c.tails[0].caughtUpAt
	for i := range c.tails {
		if c.tails[i].caughtUpAt.Before(oldest) {
			oldest = c.tails[i].caughtUpAt
		}
	}
	return oldest
}

// catchUpTopic applies the records of a topic up to its end, and moves the read position t there.
func (c *Coordinator) catchUpTopic(ctx context.Context, topic store.Topic, t *tail) error {
	for {
		c.mu.Lock()
		from, known := t.nextOffset, !t.caughtUpAt.IsZero()
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
			t.nextOffset = max(t.nextOffset, page.Records[i].Offset+1)
		}
		done := t.nextOffset >= page.End || len(page.Records) == 0
		if done {
			c.noteCaughtUp(t, began)
		}
		c.mu.Unlock()
		if done {
			return nil
		}
	}
}

// noteCaughtUp records that a read which began at the given time has reached the end of a topic. The caller holds mu.
func (c *Coordinator) noteCaughtUp(t *tail, began time.Time) {
	t.caughtUpAt = began
	if t == &c.tails[intakeIndex] {
		c.health.noteIntakeRead(began)
	}
}

// reread applies the newest record of each key of a topic. It replaces reading on from t when
// that position is not known, or the store no longer has the records from it on.
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
	c.applyNewest(topic, got.records, got.end)
	c.mu.Lock()
	t.nextOffset = max(t.nextOffset, got.end) // got.end is the end at the first page: later pages may hold newer records, and still miss some written meanwhile
	c.noteCaughtUp(t, began)
	c.mu.Unlock()
	c.log.Info().Str("topic", string(topic)).Int("records", len(got.records)).Uint64("end", got.end).Msg("jobs read from the store")
	return nil
}

// applyRecords applies records that follow without a gap on those applied before.
func (c *Coordinator) applyRecords(records []store.StoredRecord) { c.apply(records, true) }

// applyNewest applies the newest records of all keys of a topic, older ones of which may never have been read, and the
// deletion of the other keys. The topic had reached end when the first of them was read.
func (c *Coordinator) applyNewest(topic store.Topic, records []store.StoredRecord, end uint64) {
	c.apply(records, false)
	present := make(map[string]struct{}, len(records))
	for i := range records {
		present[records[i].Key] = struct{}{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs.ApplyMissing(present, end, topic == store.TopicProgress)
}

// apply applies records to the job table, and passes changed jobs to the scheduler if this entry is
// the dispatcher.
func (c *Coordinator) apply(records []store.StoredRecord, gapless bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	changed := false
	for i := range records {
		r := &records[i]
		if r.Key == interferenceKey {
			if r.Offset >= c.interferenceOffset {
				c.storedInterference, c.interferenceOffset = r.Value, r.Offset
			}
			continue
		}
		if r.Key == runTimesKey {
			if r.Offset >= c.runTimesOffset {
				c.storedRunTimes, c.runTimesOffset = r.Value, r.Offset
			}
			continue
		}
		if r.Key == stoppedBeforeKey {
			c.applyStoppedBefore(r.Value)
			continue
		}
		if c.applyMark(r.Record) {
			continue
		}
		id, err := c.applyJobRecord(r, gapless)
		if err != nil {
			c.log.Warn().Err(err).Uint64("offset", r.Offset).Msg("skipped a job record that cannot be applied")
			continue
		}
		if j, ok := c.jobs.Job(id); ok && j.Submission() != nil {
			c.noteTerm(j.Submission().Term, "the record of job "+id) // a later one ends this term
		}
		if c.term != nil {
			changed = c.term.syncJob(now, c, id, gapless) || changed
		}
	}
	if changed {
		notify(c.wakeLead)
	}
}

// applyJobRecord applies a record to the job table. The caller holds mu.
func (c *Coordinator) applyJobRecord(r *store.StoredRecord, gapless bool) (id string, err error) {
	if gapless {
		return c.jobs.Apply(r.Record, r.Offset)
	}
	return c.jobs.ApplyNewest(r.Record, r.Offset)
}

// tailConfig keeps the configuration up to date.
func (c *Coordinator) tailConfig(ctx context.Context) {
	nextOffset, offsetKnown := uint64(0), false
	for ctx.Err() == nil {
		end, err := c.readConfig(ctx, nextOffset, offsetKnown)
		if errors.Is(err, store.ErrTrimmed) {
			offsetKnown = false
			continue
		}
		if err != nil {
			c.log.Warn().Err(err).Msg("reading the configuration failed")
			clock.WaitForWake(ctx, nil, configRetryDelay)
			continue
		}
		nextOffset, offsetKnown = end, true
	}
}

// readConfig reads and applies the configuration, and returns the offset from which to read on.
// If offsetKnown is set, readConfig reads new records from nextOffset on, and else the newest
// record of each key.
func (c *Coordinator) readConfig(ctx context.Context, nextOffset uint64, offsetKnown bool) (uint64, error) {
	began, wait := clock.Steady(), c.configReadWait()
	if !offsetKnown {
		records, end, err := c.readAllConfig(ctx)
		if err != nil {
			c.noteConfigFailure(began, clock.Steady(), storeTimeout)
			return 0, err
		}
		c.noteConfigRead(clock.Steady(), began, records, end, true, true)
		c.applyConfigRecords(records)
		return end, nil
	}
	page, err := callDelayed(ctx, c, wait, func(ctx context.Context) (*store.Page, error) {
		return c.store.Read(ctx, store.TopicConfig, nextOffset, wait)
	})
	if errors.Is(err, store.ErrTrimmed) || err == nil && len(page.Records) > 0 && page.Records[0].Offset > nextOffset {
		return 0, store.ErrTrimmed // what the records before said has to be read anew
	}
	if err != nil {
		c.noteConfigFailure(began, clock.Steady(), storeTimeout+wait)
		return 0, err
	}
	for i := range page.Records {
		nextOffset = max(nextOffset, page.Records[i].Offset+1)
	}
	c.noteConfigRead(clock.Steady(), began, page.Records, nextOffset, false, len(page.Records) == 0 || nextOffset >= page.End)
	c.applyConfigRecords(page.Records)
	return nextOffset, nil
}

// readAllConfig returns the newest record of each key of store.TopicConfig, and the offset from
// which to read on.
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

// applyConfig puts a configuration in force unless its version or a newer one already is.
// source is where data came from, for the log.
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
	c.rawConfig = data
	c.replaceConfig(config)
	c.mu.Unlock()
	notify(c.wakeLead)
	c.gauge("config-version", int64(config.Version))
	c.log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Str("source", source).Msg("configuration in force")
}
