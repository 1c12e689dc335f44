package coordinator

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

const (
	// learnedKey is the key of the measured interference between images, in store.TopicProgress.
	learnedKey = "learned"
	// learnedEvery is how often it is stored; the fifty pairs of images of a site take about 1 KB.
	learnedEvery = 3 * time.Second
)

// learnedRecord returns the interference that the scheduler has measured, as a
// record, if it is due to be stored. The caller holds mu.
func (c *Coordinator) learnedRecord(now time.Time, t *term) []store.Record {
	if now.Sub(t.lastLearnedRecord) < learnedEvery {
		return nil
	}
	t.lastLearnedRecord = now
	learned := t.scheduler.InterferenceLimits()
	if len(learned) == 0 {
		return nil
	}
	value, err := cbor.Marshal(learned)
	if err != nil {
		c.log.Error().Err(err).Msg("encoding interference measurements failed")
		return nil
	}
	return []store.Record{{Key: learnedKey, Value: value}}
}

// decodeLearned decodes the value of a record that learnedRecord returned.
func decodeLearned(value []byte) ([]dispatch.InterferenceLimit, error) {
	var learned []dispatch.InterferenceLimit
	return learned, errors.Wrap(cbor.Unmarshal(value, &learned), "decode interference measurements")
}
