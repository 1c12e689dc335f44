package log

import (
	"fmt"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// publicationsPerKeyChange is the mean number of bundles for each one that changes
// the operators' keys.
const publicationsPerKeyChange = 4

// newestReader returns the reader with the highest version in force.
func (w *world) newestReader() *reader {
	best := w.readers[0]
	for _, r := range w.readers {
		if r.chain.Version() > best.chain.Version() {
			best = r
		}
	}
	return best
}

// newestInSync returns the reader with the highest version in force of those whose
// chain is in sync with the log, or any reader if there is none.
func (w *world) newestInSync() *reader {
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

// publishBundles lets one or two operators publish bundles through an entry, which
// refuses those that cannot come in force as far as it has read the log.
func (w *world) publishBundles() {
	entry := w.readers[w.random.IntN(readers)]
	for i := range 1 + w.random.IntN(2) {
		s := w.nextBundle(entry.chain, i)
		if entry.chain.Check(s) == nil {
			w.appendBundle(&record.Bundle{Signed: encodeSigned(s)})
		}
	}
}

// nextBundle returns a child of the bundle in force, sometimes with another
// operator's key.
func (w *world) nextBundle(c *bundle.Chain, variant int) *bundle.Signed {
	signer := "alice"
	if d := c.Document(); d != nil {
		signer = d.Operators.Keys[0].Name
	}
	next := signer
	if w.random.IntN(publicationsPerKeyChange) == 0 {
		next = fmt.Sprintf("operator-%d", w.now)
	}
	return signedBundle(c.Version()+1, c.Digest(), signer, next, variant)
}

// signedBundle returns a bundle signed by one operator that names the next operator.
// Bundles that differ only in variant differ in their content.
func signedBundle(version uint64, parent, signer, next string, variant int) *bundle.Signed {
	d := &bundle.Document{Version: version, Parent: parent, Operators: operators(next)}
	d.BatchClasses = []bundle.BatchClass{{Name: "shaping", Priority: variant, TakeoverAfter: 1e9, MaxFailures: 1}}
	content, err := bundle.Format(d)
	if err != nil {
		panic(err) // the document is the program's own
	}
	s := bundle.NewSigned(content)
	s.Sign(signer, operatorKey(signer))
	return s
}

// appendInvalidBundle appends the bundle in force again, or one signed with a key
// that is not an operator's.
func (w *world) appendInvalidBundle() {
	r := w.newestReader()
	if r.chain.Signed() == nil {
		return
	}
	if w.random.IntN(2) == 0 {
		w.appendBundle(&record.Bundle{Signed: encodeSigned(r.chain.Signed())})
		return
	}
	s := signedBundle(r.chain.Version()+1, r.chain.Digest(), "mallory", "mallory", 0)
	w.appendBundle(&record.Bundle{Signed: encodeSigned(s)})
}

// carryForwardIfDue lets a reader append the bundle in force again before the log's
// retention drops it.
func (w *world) carryForwardIfDue() error {
	if _, due := w.carrySchedule.Due(w.time()); !due {
		return nil
	}
	return w.carryForwardBy(w.readers[w.random.IntN(readers)])
}

// carryForwardBy appends the bundle in force at a reader, if its chain is in sync.
func (w *world) carryForwardBy(r *reader) error {
	proof := r.chain.Proof()
	if proof == nil || !r.chain.InSync() {
		return nil
	}
	signed, operatorChanges, err := proof.Encode()
	if err != nil {
		return err
	}
	w.appendBundle(&record.Bundle{Signed: signed, OperatorChanges: operatorChanges, CarriedForward: true, EndOffset: proof.EndOffset()})
	return nil
}

func (w *world) appendBundle(m *record.Bundle) {
	data, err := record.Encode(fmt.Sprintf("door@%d", w.endOffset()), 1, []record.Message{m})
	if err != nil {
		panic(err) // the message is the program's own
	}
	w.append(data)
}

func encodeSigned(s *bundle.Signed) []byte {
	data, err := s.Encode()
	if err != nil {
		panic(err) // the bundle is the program's own
	}
	return data
}
