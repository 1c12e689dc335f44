// Package log simulates the readers of the log and the chain of bundles. Its seeded
// simulated runs have lost replies, batches that the network delays, retention, readers
// that lag or are restarted, concurrent operators, and forged and replayed bundles.
package log

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// Errors returned by Run.
var (
	// ErrLost means that a reader did not see an acknowledged record, or could not decode one.
	ErrLost = errors.New("record lost")
	// ErrAppliedTwice means that a reader applied a record twice.
	ErrAppliedTwice = errors.New("record applied twice")
	// ErrReverted means that a process replaced the bundle in force by an older one, or
	// by another one of the same version.
	ErrReverted = errors.New("bundle reverted")
	// ErrBundlesDiffer means that two processes that have read the whole log have different
	// bundles in force.
	ErrBundlesDiffer = errors.New("processes have different bundles in force")
)

// Sizes of a simulated run. The log of a run retains the newest minRetainedBatches
// batches and a random number below retainedBatchesRange more.
const (
	// stepCount is the number of steps of one simulated run, each of one second.
	stepCount            = 120
	writerCount          = 3
	readerCount          = 4
	followerCount        = 4
	minRetainedBatches   = 60
	retainedBatchesRange = 100
)

// Run performs the simulated run of a seed and returns the first violation found.
func Run(seed uint64) error {
	w := newWorld(seed)
	for range stepCount {
		if err := w.step(); err != nil {
			return errors.Wrapf(err, "seed %d, step %d", seed, w.now)
		}
	}
	return errors.Wrapf(w.finish(), "seed %d", seed)
}

// world is one log with its writers, its readers and the followers of the readers.
type world struct {
	random *rand.Rand
	// now is the number of the current step, and thus the time in seconds.
	now int
	// retainedBatches is the largest number of batches that the log retains.
	retainedBatches int
	firstOffset     uint64
	batches         [][]byte
	// delayedBatches are the batches of appends that the network delays. Their writers
	// have retried them, so that each takes effect as a second copy.
	delayedBatches [][]byte
	writers        []writer
	readers        []*reader
	followers      []*follower
	operators      []string
	// carrySchedule determines when the bundle in force must be appended again.
	carrySchedule record.CarryForwardSchedule
	// acknowledged holds, by job, the offset of the record that names the job, for records
	// whose append was acknowledged.
	acknowledged map[string]uint64
}

// writer appends records, one batch at a time. Each record names a job of its own,
// which is numbered from 1.
type writer struct {
	name    string
	seq     uint64
	lastJob int
}

func newWorld(seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a reproducible simulated run
	w := &world{
		random: random, retainedBatches: minRetainedBatches + random.IntN(retainedBatchesRange), acknowledged: make(map[string]uint64),
		operators: []string{"alice"},
	}
	for i := range writerCount {
		w.writers = append(w.writers, writer{name: fmt.Sprintf("writer-%d@1", i)})
	}
	for range readerCount {
		w.readers = append(w.readers, newReader())
	}
	for range followerCount {
		w.followers = append(w.followers, newFollower())
	}
	return w
}

func (w *world) time() time.Time { return time.Unix(int64(w.now), 0) }

// append appends a batch and returns its offset. It drops the oldest batches beyond the
// log's retention.
func (w *world) append(data []byte) uint64 {
	offset := w.firstOffset + uint64(len(w.batches))
	w.batches = append(w.batches, data)
	if excess := len(w.batches) - w.retainedBatches; excess > 0 {
		w.batches = w.batches[excess:]
		w.firstOffset += uint64(excess)
	}
	w.carrySchedule.Observe(w.time(), w.firstOffset, w.endOffset())
	return offset
}

func (w *world) endOffset() uint64 { return w.firstOffset + uint64(len(w.batches)) }

// step performs one random action, lets some readers read, and carries the bundle
// forward if that is due.
func (w *world) step() error {
	w.now++
	switch w.random.IntN(8) {
	case 0, 1, 2:
		w.appendRecords()
	case 3:
		w.publishBundles()
	case 4:
		w.appendInvalidBundle()
	case 5:
		w.restartProcess()
	case 6:
		w.appendDelayedBatch()
	default:
		if err := w.updateFollower(); err != nil {
			return err
		}
	}
	for range readerCount / 2 {
		if err := w.read(w.readers[w.random.IntN(readerCount)]); err != nil {
			return err
		}
	}
	return w.carryForwardIfDue()
}

// appendRecords appends the next batch of a random writer, sometimes with a second copy,
// at once or later.
func (w *world) appendRecords() {
	p := &w.writers[w.random.IntN(writerCount)]
	var messages []record.Message
	var names []string
	for range 1 + w.random.IntN(3) {
		p.lastJob++
		names = append(names, fmt.Sprintf("%s/%d", p.name, p.lastJob))
		messages = append(messages, &record.Forget{Jobs: names[len(names)-1:]})
	}
	data, err := record.Encode(p.name, p.seq+1, messages)
	if err != nil {
		panic(err) // the messages are the program's own
	}
	p.seq += uint64(len(messages))
	switch w.random.IntN(6) {
	case 0: // the reply was lost, the batch was found by reading
	case 1: // the first call is delayed by the network, and takes effect after the retry
		w.delayedBatches = append(w.delayedBatches, data)
	case 2: // the writer wrongly assumed that the log lacked the batch, and retried
		w.append(data)
	}
	offset := w.append(data)
	for _, n := range names {
		w.acknowledged[n] = offset
	}
}

// appendDelayedBatch lets the oldest append that the network delayed take effect: it adds
// a second copy of a batch that its writer has retried.
func (w *world) appendDelayedBatch() {
	if len(w.delayedBatches) > 0 {
		w.append(w.delayedBatches[0])
		w.delayedBatches = w.delayedBatches[1:]
	}
}

// restartProcess replaces a random reader or follower by one without state.
func (w *world) restartProcess() {
	if w.random.IntN(2) == 0 {
		w.readers[w.random.IntN(readerCount)] = newReader()
		return
	}
	w.followers[w.random.IntN(followerCount)] = newFollower()
}

// finish appends the delayed batches, lets every reader and follower catch up, and
// compares their bundles in force.
func (w *world) finish() error {
	for len(w.delayedBatches) > 0 {
		w.appendDelayedBatch()
	}
	if err := w.readAll(); err != nil {
		return err
	}
	if err := w.carryForwardBy(w.newestInSync()); err != nil {
		return err
	}
	if err := w.readAll(); err != nil {
		return err
	}
	for i := range w.followers {
		if err := w.adoptProof(w.followers[i], w.readers[0]); err != nil {
			return err
		}
	}
	return w.checkBundlesAgree()
}

// readAll lets every reader read to the log's end.
func (w *world) readAll() error {
	for _, r := range w.readers {
		for r.nextOffset < w.endOffset() {
			if err := w.read(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkBundlesAgree checks that every process has the same bundle in force.
func (w *world) checkBundlesAgree() error {
	want := w.readers[0].chain.Digest()
	for i, r := range w.readers {
		if got := r.chain.Digest(); got != want {
			return errors.Wrapf(ErrBundlesDiffer, "reader %d has version %d, reader 0 version %d", i, r.chain.Version(), w.readers[0].chain.Version())
		}
	}
	for i, f := range w.followers {
		if got := f.chain.Digest(); got != want {
			return errors.Wrapf(ErrBundlesDiffer, "follower %d has version %d, reader 0 version %d", i, f.chain.Version(), w.readers[0].chain.Version())
		}
	}
	return nil
}

// operatorKey returns an operator's key, which is derived from the operator's name.
func operatorKey(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

// operators returns operators with these names. One signature is enough for a bundle.
func operators(names ...string) bundle.Operators {
	o := bundle.Operators{Threshold: 1}
	for _, n := range names {
		public, ok := operatorKey(n).Public().(ed25519.PublicKey)
		if ok {
			o.Keys = append(o.Keys, bundle.Key{Name: n, PublicKey: base64.StdEncoding.EncodeToString(public)})
		}
	}
	return o
}
