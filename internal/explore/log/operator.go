package log

import (
	"fmt"

	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"
)

// publicationsPerKeyChange is the mean number of bundles for each one that changes
// the operators' keys.
const publicationsPerKeyChange = 4

// newestReader returns the reader whose bundle in force has the highest version.
func (w *world) newestReader() *reader {
	newest := w.readers[0]
	for _, r := range w.readers {
		if r.chain.Version() > newest.chain.Version() {
			newest = r
		}
	}
	return newest
}

// newestInSync returns, of the readers whose chains are in sync with the log, the one
// whose bundle in force has the highest version. If no chain is in sync, it returns the
// first reader.
func (w *world) newestInSync() *reader {
	var newest *reader
	for _, r := range w.readers {
		if r.chain.InSync() && (newest == nil || r.chain.Version() > newest.chain.Version()) {
			newest = r
		}
	}
	if newest == nil {
		return w.readers[0]
	}
	return newest
}

// publishBundles lets operators publish one or two bundles through a random entry. The
// entry refuses bundles that cannot come in force according to the part of the log that
// it has read.
func (w *world) publishBundles() {
	entry := w.readers[w.random.IntN(readerCount)]
	for i := range 1 + w.random.IntN(2) {
		s := w.nextBundle(entry.chain, i)
		if entry.chain.Check(s) == nil {
			w.appendBundle(&record.Bundle{Signed: encodeSigned(s)})
		}
	}
}

// nextBundle returns a child of the bundle in force, which sometimes replaces the
// operator by another one. variant distinguishes bundles of the same version.
func (w *world) nextBundle(chain *bundle.Chain, variant int) *bundle.Signed {
	signer := "alice"
	if d := chain.Document(); d != nil {
		signer = d.Operators.Keys[0].Name
	}
	nextOperator := signer
	if w.random.IntN(publicationsPerKeyChange) == 0 {
		nextOperator = fmt.Sprintf("operator-%d", w.now)
	}
	return signedBundle(chain.Version()+1, chain.Digest(), signer, nextOperator, variant)
}

// signedBundle returns a bundle that is signed by signer and makes nextOperator the only
// operator. Bundles that differ only in variant differ in their content.
func signedBundle(version uint64, parent, signer, nextOperator string, variant int) *bundle.Signed {
	d := &bundle.Document{Version: version, Parent: parent, Operators: operators(nextOperator)}
	d.BatchClasses = []bundle.BatchClass{{Name: "shaping", Priority: variant, TakeoverAfter: 1e9, MaxFailures: 1}}
	content, err := bundle.Format(d)
	if err != nil {
		panic(err) // the document is the program's own
	}
	s := bundle.NewSigned(content)
	s.Sign(signer, operatorKey(signer))
	return s
}

// appendInvalidBundle appends the newest bundle in force again, or a bundle signed with a
// key that is not an operator's.
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

// carryForwardIfDue lets a random reader append its bundle in force again before the
// log's retention drops that bundle.
func (w *world) carryForwardIfDue() error {
	if _, due := w.carrySchedule.Due(w.time()); !due {
		return nil
	}
	return w.carryForwardBy(w.readers[w.random.IntN(readerCount)])
}

// carryForwardBy appends the bundle in force at a reader again, if the reader's chain is
// in sync with the log.
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

// appendBundle appends a batch with one bundle, as a new writer.
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
