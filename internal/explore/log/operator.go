package log

import (
	"fmt"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// rotations is how many publications there are to each change of keys.
const rotations = 4

// newest returns the reader with the highest version in force.
func (w *world) newest() *reader {
	best := w.readers[0]
	for _, r := range w.readers {
		if r.chain.Version() > best.chain.Version() {
			best = r
		}
	}
	return best
}

// attached returns the reader with the highest version of those that follow
// the log without a gap.
func (w *world) attached() *reader {
	var best *reader
	for _, r := range w.readers {
		if r.chain.InSync() && (best == nil || r.chain.Version() > best.chain.Version()) {
			best = r
		}
	}
	if best == nil {
		return w.readers[0]
	}
	return best
}

// publish lets one or two operators publish through an entry, which refuses
// what cannot come in force as far as it has read.
func (w *world) publish() {
	through := w.readers[w.random.IntN(readers)]
	for i := range 1 + w.random.IntN(2) {
		s := w.child(through.chain, i)
		if through.chain.Check(s) == nil {
			w.appendBundle(&record.Bundle{Signed: encode(s)})
		}
	}
}

// child returns a bundle that follows the one in force, sometimes with other keys.
func (w *world) child(c *bundle.Chain, variant int) *bundle.Signed {
	signer := "alice"
	if d := c.Document(); d != nil {
		signer = d.Operators.Keys[0].Name
	}
	next := signer
	if w.random.IntN(rotations) == 0 {
		next = fmt.Sprintf("operator-%d", w.now)
	}
	return signedBundle(c.Version()+1, c.Digest(), signer, next, variant)
}

func signedBundle(version uint64, parent, signer, next string, variant int) *bundle.Signed {
	d := &bundle.Document{Version: version, Parent: parent, Operators: operators(next)}
	d.BatchClasses = []bundle.BatchClass{{Name: "shaping", Priority: variant, TakeoverAfter: 1e9, MaxFailures: 1}}
	content, err := bundle.Format(d)
	if err != nil {
		panic(err) // the document is the program's own
	}
	s := bundle.NewSigned(content)
	s.Sign(signer, key(signer))
	return s
}

// forge appends a bundle of a stranger, or an old one again.
func (w *world) forge() {
	r := w.newest()
	if r.chain.Signed() == nil {
		return
	}
	if w.random.IntN(2) == 0 {
		w.appendBundle(&record.Bundle{Signed: encode(r.chain.Signed())})
		return
	}
	s := signedBundle(r.chain.Version()+1, r.chain.Digest(), "mallory", "mallory", 0)
	w.appendBundle(&record.Bundle{Signed: encode(s)})
}

// carryForward lets a reader write the bundle in force again if it sees it due.
func (w *world) carryForward() error {
	if _, due := w.carry.Due(w.time()); !due {
		return nil
	}
	return w.carryBy(w.readers[w.random.IntN(readers)])
}

func (w *world) carryBy(r *reader) error {
	proof := r.chain.Proof()
	if proof == nil || !r.chain.InSync() {
		return nil
	}
	signed, lineage, err := proof.Encode()
	if err != nil {
		return err
	}
	w.appendBundle(&record.Bundle{Signed: signed, OperatorChanges: lineage, CarriedForward: true, EndOffset: proof.EndOffset()})
	return nil
}

func (w *world) appendBundle(m *record.Bundle) {
	data, err := record.Encode(fmt.Sprintf("door@%d", w.next()), 1, []record.Message{m})
	if err != nil {
		panic(err) // the message is the program's own
	}
	w.append(data)
}

func encode(s *bundle.Signed) []byte {
	data, err := s.Encode()
	if err != nil {
		panic(err) // the bundle is the program's own
	}
	return data
}
