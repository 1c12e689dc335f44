package coordinator

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/internal/store"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

const (
	// learnedKey is the key, in the topic of progress, of what was learned about images.
	learnedKey = "learned"
	// learnedEvery is how often it is stored; a site's fifty pairs take about 1 KB.
	learnedEvery = 3 * time.Second
)

// learnedRecord returns what the board has learned if it is due to be stored. The
// caller holds mu.
func (c *Coordinator) learnedRecord(now time.Time, t *term) []store.Record {
	if now.Sub(t.taught) < learnedEvery {
		return nil
	}
	t.taught = now
	learned := t.board.Learned()
	if len(learned) == 0 {
		return nil
	}
	value, err := cbor.Marshal(learned)
	if err != nil {
		c.log.Error().Err(err).Msg("what was learned cannot be encoded")
		return nil
	}
	return []store.Record{{Key: learnedKey, Value: value}}
}

// decodeLearned reads what learnedRecord wrote.
func decodeLearned(value []byte) ([]dispatch.Learned, error) {
	var learned []dispatch.Learned
	return learned, errors.Wrap(cbor.Unmarshal(value, &learned), "what was learned")
}
