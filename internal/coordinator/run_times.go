package coordinator

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/runtimes"
)

const (
	// runTimesKey is the key of the record in store.TopicProgress that holds the learned run times.
	runTimesKey = "run-times"
	// runTimesStoreEvery is how often that record is stored, if run times have been learned since.
	runTimesStoreEvery = 3 * time.Second
	// maxRunTimesBytes bounds its value, and maxRunTimesKeys the keys that are tried to fit into it: a key
	// takes at least 48 bytes.
	maxRunTimesBytes = 4096
	maxRunTimesKeys  = maxRunTimesBytes / 48
)

// runTimesRecord returns the run times that the scheduler has learned, as a record, if it is due to be stored. The
// caller holds mu.
func (c *Coordinator) runTimesRecord(now time.Time, t *term) []store.Record {
	observed := t.scheduler.RunTimesObserved()
	if observed == t.runTimesRecorded || now.Sub(t.runTimesRecordAt) < runTimesStoreEvery {
		return nil
	}
	t.runTimesRecordAt, t.runTimesRecorded = now, observed
	value, err := encodeRunTimes(t.scheduler.RunTimes(maxRunTimesKeys))
	if err != nil {
		c.log.Error().Err(err).Msg("encoding learned run times failed")
		return nil
	}
	return []store.Record{{Key: runTimesKey, Value: value}}
}

// encodeRunTimes encodes as many of the first run times as maxRunTimesBytes has room for.
func encodeRunTimes(learned []runtimes.Learned) ([]byte, error) {
	for {
		value, err := cbor.Marshal(learned)
		if err != nil {
			return nil, errors.Wrap(err, "encode run times")
		}
		if len(value) <= maxRunTimesBytes {
			return value, nil
		}
		learned = learned[:min(len(learned)-1, len(learned)*maxRunTimesBytes/len(value))]
	}
}

// loadRunTimes passes the stored run times to the scheduler of a new term. The caller holds mu.
func (c *Coordinator) loadRunTimes(t *term) {
	if len(c.storedRunTimes) == 0 {
		return
	}
	var learned []runtimes.Learned
	if err := cbor.Unmarshal(c.storedRunTimes, &learned); err != nil {
		c.log.Warn().Err(err).Msg("stored run times cannot be decoded; learning starts from scratch")
		return
	}
	t.scheduler.MergeRunTimes(learned)
	c.log.Info().Int("stored", len(learned)).Int("keys", t.scheduler.RunTimeKeys()).Uint64("term", t.number).Msg("learned run times taken over")
}

// countSpeculation counts the speculative runs since the last decision. The caller holds mu.
func (c *Coordinator) countSpeculation(t *term) {
	s := t.scheduler.TakeSpeculation()
	c.count("speculative-runs", s.Started)
	c.count("speculative-runs-won", s.Won)
	c.count("speculative-runs-lost", s.Lost)
	c.gauge("run-time-keys", int64(t.scheduler.RunTimeKeys()))
}
