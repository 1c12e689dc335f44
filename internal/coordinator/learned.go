package coordinator

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

const (
	// interferenceKey is the key of the record in store.TopicProgress that holds the measured
	// interference between images: the share of a worker's processors that a best-effort image
	// may use before a serving image misses its latency target.
	interferenceKey = "learned"
	// interferenceStoreEvery is how often that record is stored; it takes about 1 KB for the
	// fifty pairs of images of a site.
	interferenceStoreEvery = 3 * time.Second
)

// interferenceRecord returns the interference that the scheduler has measured, as a
// record, if it is due to be stored. The caller holds mu.
func (c *Coordinator) interferenceRecord(now time.Time, t *term) []store.Record {
	if now.Sub(t.lastInterferenceRecord) < interferenceStoreEvery {
		return nil
	}
	t.lastInterferenceRecord = now
	limits := t.scheduler.InterferenceLimits()
	if len(limits) == 0 {
		return nil
	}
	value, err := cbor.Marshal(limits)
	if err != nil {
		c.log.Error().Err(err).Msg("encoding interference measurements failed")
		return nil
	}
	return []store.Record{{Key: interferenceKey, Value: value}}
}

// decodeInterference decodes the value of a record that interferenceRecord returned.
func decodeInterference(value []byte) ([]dispatch.InterferenceLimit, error) {
	var limits []dispatch.InterferenceLimit
	return limits, errors.Wrap(cbor.Unmarshal(value, &limits), "decode interference measurements")
}
