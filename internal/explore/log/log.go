// Package log explores the log's readers and the succession of bundles under
// seeded faults: lost replies, copies that are written late, retention, readers
// that are behind or restarted, racing operators, forged and replayed bundles.
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
	// ErrLost means that an acknowledged record was not seen by a reader.
	ErrLost = errors.New("a record was lost")
	// ErrDoubled means that a reader took a record in twice.
	ErrDoubled = errors.New("a record took effect twice")
	// ErrReverted means that a process went back to an older bundle.
	ErrReverted = errors.New("a bundle was reverted")
	// ErrDisagree means that two processes have different bundles of one version in force.
	ErrDisagree = errors.New("two bundles of one version are in force")
)

// Sizes of a schedule.
const (
	steps      = 120
	writers    = 3
	readers    = 4
	followers  = 4
	keepLeast  = 60
	keepSpread = 100
)

// Run explores the schedule of one seed and returns the first violation.
func Run(seed uint64) error {
	w := newWorld(seed)
	for range steps {
		if err := w.step(); err != nil {
			return errors.Wrapf(err, "seed %d, step %d", seed, w.now)
		}
	}
	return errors.Wrapf(w.settle(), "seed %d", seed)
}

// world is one log with the processes around it.
type world struct {
	random    *rand.Rand
	now       int
	keep      int
	first     uint64
	batches   [][]byte
	late      [][]byte
	writers   []writer
	readers   []*reader
	followers []*follower
	operators []string
	carry     record.CarryForwardSchedule
	// acknowledged are the jobs named in records whose writer knows them written.
	acknowledged map[string]uint64
}

// writer appends records of its own, one batch at a time.
type writer struct {
	name string
	seq  uint64
	jobs int
}

func newWorld(seed uint64) *world {
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // a reproducible schedule
	w := &world{
		random: random, keep: keepLeast + random.IntN(keepSpread), acknowledged: make(map[string]uint64),
		operators: []string{"alice"},
	}
	for i := range writers {
		w.writers = append(w.writers, writer{name: fmt.Sprintf("writer-%d@1", i)})
	}
	for range readers {
		w.readers = append(w.readers, newReader())
	}
	for range followers {
		w.followers = append(w.followers, newFollower())
	}
	return w
}

func (w *world) time() time.Time { return time.Unix(int64(w.now), 0) }

// append adds a batch and drops what the retention ends.
func (w *world) append(data []byte) uint64 {
	offset := w.first + uint64(len(w.batches))
	w.batches = append(w.batches, data)
	if drop := len(w.batches) - w.keep; drop > 0 {
		w.batches = w.batches[drop:]
		w.first += uint64(drop)
	}
	w.carry.Observe(w.time(), w.first, w.next())
	return offset
}

func (w *world) next() uint64 { return w.first + uint64(len(w.batches)) }

// step lets processes do something, and readers read on.
func (w *world) step() error {
	w.now++
	switch w.random.IntN(8) {
	case 0, 1, 2:
		w.write()
	case 3:
		w.publish()
	case 4:
		w.forge()
	case 5:
		w.restart()
	case 6:
		w.landLate()
	default:
		if err := w.follow(); err != nil {
			return err
		}
	}
	for range readers / 2 {
		if err := w.read(w.readers[w.random.IntN(readers)]); err != nil {
			return err
		}
	}
	return w.carryForward()
}

// write appends one writer's next batch, with the faults that an append has.
func (w *world) write() {
	p := &w.writers[w.random.IntN(writers)]
	var messages []record.Message
	var names []string
	for range 1 + w.random.IntN(3) {
		p.jobs++
		names = append(names, fmt.Sprintf("%s/%d", p.name, p.jobs))
		messages = append(messages, &record.Forget{Jobs: names[len(names)-1:]})
	}
	data, err := record.Encode(p.name, p.seq+1, messages)
	if err != nil {
		panic(err) // the messages are the program's own
	}
	p.seq += uint64(len(messages))
	switch w.random.IntN(6) {
	case 0: // the reply was lost, the batch was found by reading
	case 1: // the first call hangs in the network and is written later
		w.late = append(w.late, data)
	case 2: // the log was wrongly taken to lack the batch
		w.append(data)
	}
	offset := w.append(data)
	for _, n := range names {
		w.acknowledged[n] = offset
	}
}

// landLate writes a copy that a network has held up.
func (w *world) landLate() {
	if len(w.late) > 0 {
		w.append(w.late[0])
		w.late = w.late[1:]
	}
}

// restart replaces a process by one that knows nothing.
func (w *world) restart() {
	if w.random.IntN(2) == 0 {
		w.readers[w.random.IntN(readers)] = newReader()
		return
	}
	w.followers[w.random.IntN(followers)] = newFollower()
}

// settle lets everything be read and compares the ends.
func (w *world) settle() error {
	for len(w.late) > 0 {
		w.landLate()
	}
	if err := w.readAll(); err != nil {
		return err
	}
	if err := w.carryBy(w.attached()); err != nil {
		return err
	}
	if err := w.readAll(); err != nil {
		return err
	}
	for i := range w.followers {
		if err := w.adopt(w.followers[i], w.readers[0]); err != nil {
			return err
		}
	}
	return w.agree()
}

// readAll lets every reader reach the log's end.
func (w *world) readAll() error {
	for _, r := range w.readers {
		for r.next < w.next() {
			if err := w.read(r); err != nil {
				return err
			}
		}
	}
	return nil
}

// agree checks that every process has the same bundle in force.
func (w *world) agree() error {
	want := w.readers[0].chain.Digest()
	for i, r := range w.readers {
		if got := r.chain.Digest(); got != want {
			return errors.Wrapf(ErrDisagree, "reader %d has version %d, reader 0 version %d", i, r.chain.Version(), w.readers[0].chain.Version())
		}
	}
	for i, f := range w.followers {
		if got := f.chain.Digest(); got != want {
			return errors.Wrapf(ErrDisagree, "follower %d has version %d, reader 0 version %d", i, f.chain.Version(), w.readers[0].chain.Version())
		}
	}
	return nil
}

// key returns an operator's key; the same for the same name.
func key(name string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, name)
	return ed25519.NewKeyFromSeed(seed)
}

func operators(names ...string) bundle.Operators {
	o := bundle.Operators{Threshold: 1}
	for _, n := range names {
		public, ok := key(n).Public().(ed25519.PublicKey)
		if ok {
			o.Keys = append(o.Keys, bundle.Key{Name: n, PublicKey: base64.StdEncoding.EncodeToString(public)})
		}
	}
	return o
}
