package coordinator

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/clock"
	"savoryhoist.example/savoryhoist/internal/store"
)

// Times of reading the configuration.
const (
	// configWait is how long one read waits for a new version; a connection that went silent is noticed soon after.
	configWait = 1500 * time.Millisecond
	// configRetry is the delay after a failed read; a version is in force within two seconds.
	configRetry = 300 * time.Millisecond
	// configKey is the key of the whole configuration.
	configKey = "config"
)

// bookTopics are the topics whose records make the book of jobs.
var bookTopics = [...]store.Topic{store.TopicIntake, store.TopicProgress}

// tail is how far a topic has been read.
type tail struct {
	next uint64
	// read is when the newest reading that reached the end began.
	read time.Time
}

// tailJobs keeps the book of jobs up to date.
func (c *Coordinator) tailJobs(ctx context.Context) {
	for clock.Pause(ctx, nil, c.tailPause()) {
		if err := c.catchUp(ctx); err != nil {
			c.log.Warn().Err(err).Msg("reading jobs from the store failed")
		}
	}
}

// tailPause returns the delay before the next reading; while the store is away,
// readings find out when it is back.
func (c *Coordinator) tailPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeFails > 0 {
		return probeEvery
	}
	return tailEvery
}

// probeEvery is how often the store is tried while calls fail.
const probeEvery = 200 * time.Millisecond

// catchUp reads the jobs' records up to the end of their topics.
func (c *Coordinator) catchUp(ctx context.Context) error {
	for i := range bookTopics {
		if err := c.catchUpTopic(ctx, bookTopics[i], &c.tails[i]); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != nil {
		c.term.board.CaughtUp(clock.Steady(), c.bookRead())
	}
	return nil
}

// bookRead returns when the oldest of the newest readings of all topics began. The caller holds mu.
func (c *Coordinator) bookRead() time.Time {
	oldest := c.tails[0].read
	for i := range c.tails {
		if c.tails[i].read.Before(oldest) {
			oldest = c.tails[i].read
		}
	}
	return oldest
}

func (c *Coordinator) catchUpTopic(ctx context.Context, topic store.Topic, t *tail) error {
	for {
		c.mu.Lock()
		from, known := t.next, !t.read.IsZero()
		c.mu.Unlock()
		if !known {
			return c.reread(ctx, topic, t)
		}
		began := clock.Steady()
		page, err := call(ctx, c, 0, func(ctx context.Context) (*store.Page, error) {
			return c.store.Read(ctx, topic, from, 0)
		})
		if errors.Is(err, store.ErrTrimmed) {
			return c.reread(ctx, topic, t)
		}
		if err != nil {
			return err
		}
		c.takeIn(page.Records)
		c.mu.Lock()
		for i := range page.Records {
			t.next = max(t.next, page.Records[i].Offset+1)
		}
		done := t.next >= page.End || len(page.Records) == 0
		if done {
			t.read = began
		}
		c.mu.Unlock()
		if done {
			return nil
		}
	}
}

// reread reads the newest record of every job.
func (c *Coordinator) reread(ctx context.Context, topic store.Topic, t *tail) error {
	began := clock.Steady()
	type all struct {
		records []store.Stored
		end     uint64
	}
	got, err := call(ctx, c, storeTimeout, func(ctx context.Context) (all, error) {
		records, end, err := c.store.All(ctx, topic)
		return all{records, end}, err
	})
	if err != nil {
		return err
	}
	c.takeIn(got.records)
	c.mu.Lock()
	t.next = max(t.next, got.end) // not after the newest record seen: later pages skip what was written in between
	t.read = began
	c.mu.Unlock()
	c.log.Info().Str("topic", string(topic)).Int("records", len(got.records)).Uint64("end", got.end).Msg("jobs read from the store")
	return nil
}

// takeIn applies records to the book and passes news to the board.
func (c *Coordinator) takeIn(records []store.Stored) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Steady()
	news := false
	for i := range records {
		r := &records[i]
		if r.Key == learnedKey {
			c.learned = r.Value
			continue
		}
		id, err := c.book.Apply(r.Record)
		if err != nil {
			c.log.Warn().Err(err).Uint64("offset", r.Offset).Msg("a record of a job is skipped")
			continue
		}
		if c.term != nil {
			news = c.term.tell(now, c, id) || news
		}
	}
	if news {
		kick(c.wake)
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
			clock.Pause(ctx, nil, configRetry)
			continue
		}
		next, known = end, true
	}
}

func (c *Coordinator) readConfig(ctx context.Context, next uint64, known bool) (uint64, error) {
	if !known {
		records, end, err := c.allConfig(ctx)
		if err != nil {
			return 0, err
		}
		c.offerAll(records)
		return end, nil
	}
	page, err := call(ctx, c, configWait, func(ctx context.Context) (*store.Page, error) {
		return c.store.Read(ctx, store.TopicConfig, next, configWait)
	})
	if err != nil {
		return 0, err
	}
	c.offerAll(page.Records)
	for i := range page.Records {
		next = max(next, page.Records[i].Offset+1)
	}
	return next, nil
}

func (c *Coordinator) allConfig(ctx context.Context) ([]store.Stored, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return c.store.All(ctx, store.TopicConfig)
}

func (c *Coordinator) offerAll(records []store.Stored) {
	for i := range records {
		if records[i].Key == configKey {
			c.offerConfig(records[i].Value, "store")
		}
	}
}

// offerConfig puts a configuration in force unless a newer one is.
func (c *Coordinator) offerConfig(data []byte, source string) {
	config, err := c.settings.DecodeConfig(data)
	if err != nil {
		c.log.Error().Err(err).Str("source", source).Msg("a configuration cannot be read and is skipped")
		return
	}
	c.mu.Lock()
	if c.config != nil && c.config.Version >= config.Version {
		c.mu.Unlock()
		return
	}
	c.config, c.rawConfig = config, data
	if c.term != nil {
		c.term.board.SetQueues(config.queues())
	}
	c.mu.Unlock()
	kick(c.wake)
	c.gauge("config-version", int64(config.Version))
	c.log.Info().Uint64("version", config.Version).Int("routes", len(config.Routes)).Str("source", source).Msg("configuration in force")
}
