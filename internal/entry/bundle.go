package entry

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// maxBundleBytes bounds the encoded size of a signed bundle.
const maxBundleBytes = 4 << 20

// maxConcurrentPublishes is the most bundles that one entry publishes at the same time.
const maxConcurrentPublishes = 8

// maxKeptContents is the most recent bundle contents that are kept as bases for compressed
// replies.
const maxKeptContents = 4

// bundleState is what an entry knows of bundles.
type bundleState struct {
	// chain holds the bundle in force and decides which bundles follow it.
	chain *bundle.Chain
	// contents are the encoded documents of the newest versions, newest last.
	contents []bundleContent
	// replies caches the reply to a bundle query by the digest of the base it is
	// compressed against; an empty digest means no base.
	replies map[string]*link.BundleReply
	// publishCount is the number of publications in progress.
	publishCount int
}

type bundleContent struct {
	digest  string
	content []byte
}

// recordChange stores the content of the bundle that has just come in force and empties the
// cache of replies; bundleMu is held.
func (b *bundleState) recordChange() {
	b.replies = make(map[string]*link.BundleReply)
	b.contents = append(b.contents, bundleContent{digest: b.chain.Digest(), content: b.chain.Signed().Content()})
	if len(b.contents) > maxKeptContents {
		b.contents = b.contents[1:]
	}
}

// content returns the content of a recent bundle by its digest, or nil if it is not kept.
func (b *bundleState) content(digest string) []byte {
	for _, c := range b.contents {
		if c.digest == digest {
			return c.content
		}
	}
	return nil
}

// reply returns the reply to a peer that has the bundle with digest haveDigest; bundleMu is
// held. The reply is empty if that bundle, or none, is in force.
func (b *bundleState) reply(haveDigest string) (*link.BundleReply, error) {
	proof := b.chain.Proof()
	if proof == nil || haveDigest == b.chain.Digest() {
		return &link.BundleReply{}, nil
	}
	base := b.content(haveDigest)
	if base == nil {
		haveDigest = ""
	}
	if r, ok := b.replies[haveDigest]; ok {
		return r, nil
	}
	signed, operatorChanges, err := proof.Encode()
	if err != nil {
		return nil, err
	}
	packed, err := link.Pack(signed, base)
	if err != nil {
		return nil, err
	}
	r := &link.BundleReply{Packed: packed, BaseDigest: haveDigest, OperatorChanges: operatorChanges, EndOffset: proof.EndOffset()}
	b.replies[haveDigest] = r
	return r, nil
}

func (e *Entry) handleBundleQuery(_ context.Context, _ link.Peer, q *link.BundleQuery) (*link.BundleReply, error) {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	return e.bundle.reply(q.HaveDigest)
}

// applyBundles applies records that were read from the bundles stream; next is the offset of
// the next batch to read.
func (e *Entry) applyBundles(records []record.Record, next uint64, _ time.Time) {
	now := time.Now()
	for _, r := range records {
		m, ok := r.Message().(*record.Bundle)
		if !ok {
			continue
		}
		digest := e.applyBundle(r.Position().Offset(), m)
		e.bundleMu.Lock()
		inForce := digest != "" && digest == e.bundle.chain.Digest()
		e.bundleMu.Unlock()
		if inForce && m.CarriedForward {
			e.carriedForward.noteBundleCopy(now, writtenAt(m.WrittenMS), m.EndOffset)
		}
	}
	e.bundleMu.Lock()
	e.bundle.chain.NoteReadTo(next)
	e.bundleMu.Unlock()
}

// bundlesExpired is called when the log's retention has dropped the next bundles to read. It
// returns the offset to continue at. The entry learns which bundle is in force from the next
// bundle that was carried forward.
func (e *Entry) bundlesExpired(_ context.Context, page record.Page) uint64 {
	e.bundleMu.Lock()
	e.bundle.chain.NoteGap(page.FirstOffset)
	e.bundleMu.Unlock()
	e.log.Info().Uint64("first", page.FirstOffset).Msg("the log's retention dropped the next bundles; reading on at the first offset kept")
	return page.FirstOffset
}

// writtenAt returns the time of a record's WrittenMS, which is zero if the record has none.
func writtenAt(ms int64) time.Time {
	if ms == 0 {
		return time.Time{}
	}
	return time.UnixMilli(ms)
}

// applyBundle offers the bundle of the record at an offset to the chain and returns the bundle's
// digest, or "" if the bundle cannot be decoded.
func (e *Entry) applyBundle(offset uint64, m *record.Bundle) string {
	proof, err := bundle.DecodeProof(m.Signed, m.OperatorChanges, m.EndOffset)
	if err != nil {
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Msg("")
		return ""
	}
	offer := func(c *bundle.Chain) error { return c.OfferAt(offset, proof.Signed()) }
	if m.CarriedForward {
		offer = func(c *bundle.Chain) error { return c.Adopt(proof) }
	}
	e.offerBundle(offer, "log")
	return bundle.Digest(proof.Signed().Content())
}

// offerBundle calls offer, which offers a bundle to the chain, and logs whether the chain has
// accepted the bundle. source says where the bundle comes from: "log" or an agent's address.
func (e *Entry) offerBundle(offer func(*bundle.Chain) error, source string) {
	e.bundleMu.Lock()
	err := offer(e.bundle.chain)
	if err == nil {
		e.bundle.recordChange()
	}
	version, digest := e.bundle.chain.Version(), e.bundle.chain.Digest()
	e.bundleMu.Unlock()
	switch {
	case err == nil:
		e.log.Info().Str("decision", "accept-bundle").Str("source", source).Uint64("version", version).Str("digest", digest).Msg("")
	case errors.Is(err, bundle.ErrInForce):
	default:
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Str("source", source).Uint64("version-in-force", version).Msg("")
	}
}

// BundleResult is the JSON form of the result of publishing a bundle.
type BundleResult struct {
	Accepted bool   `json:"accepted"`
	Version  uint64 `json:"version-in-force"`
	Digest   string `json:"digest-in-force"`
	// Winner is the digest of the bundle that came in force with the published bundle's
	// version.
	Winner string `json:"winner,omitempty"`
	Detail string `json:"detail,omitempty"`
}

// publishTimeout bounds the wait until a published bundle has been read back from the log.
const publishTimeout = 10 * time.Second

// publishPollInterval is the time between two checks of the chain of bundles while a
// publication waits.
const publishPollInterval = 50 * time.Millisecond

// servePublish publishes a signed bundle: it appends the bundle to the log and responds once the
// result is known.
func (e *Entry) servePublish(w http.ResponseWriter, r *http.Request) {
	if !e.beginPublish() {
		p := problem.New(http.StatusTooManyRequests, "", "too many bundles are being published")
		p.RetryAfter = publishTimeout
		p.Write(w)
		return
	}
	defer e.endPublish()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBundleBytes))
	if err != nil {
		problem.New(http.StatusRequestEntityTooLarge, "body", "the bundle is too large").Write(w)
		return
	}
	signed, err := bundle.DecodeSigned(data)
	if err != nil {
		problem.New(http.StatusBadRequest, "bundle", err.Error()).Write(w)
		return
	}
	d, err := bundle.Parse(signed.Content())
	if err != nil {
		problem.New(http.StatusBadRequest, "bundle", err.Error()).Write(w)
		return
	}
	if e.respondWithoutAppend(w, r, signed, d) {
		return
	}
	m := &record.Bundle{Signed: data, WrittenMS: time.Now().UnixMilli()}
	if err := e.bundlesWriter.Append(r.Context(), m); err != nil {
		p := problem.New(http.StatusServiceUnavailable, "", "the log did not accept the bundle in time; publishing the same bundle again is safe")
		p.RetryAfter = publishTimeout
		if errors.Is(err, record.ErrOutcomeUnknown) {
			p.Outcome = problem.Unknown
		}
		p.Write(w)
		return
	}
	e.awaitVersion(w, r, signed, d)
}

// beginPublish counts a publication in progress, or returns false if there are
// maxConcurrentPublishes already.
func (e *Entry) beginPublish() bool {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	if e.bundle.publishCount >= maxConcurrentPublishes {
		return false
	}
	e.bundle.publishCount++
	return true
}

func (e *Entry) endPublish() {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	e.bundle.publishCount--
}

// respondWithoutAppend responds and returns true if a bundle need not be appended: the result of
// publishing it is known already, or it cannot come in force. If the bundle's parent is not in
// force yet, respondWithoutAppend first waits up to publishTimeout for the parent.
func (e *Entry) respondWithoutAppend(w http.ResponseWriter, r *http.Request, s *bundle.Signed, d *bundle.Document) bool {
	for waited := time.Duration(0); ; waited += publishPollInterval {
		if result, known := e.publishResult(s, d); known {
			writeResult(w, result)
			return true
		}
		e.bundleMu.Lock()
		err := e.bundle.chain.Check(s)
		e.bundleMu.Unlock()
		if err == nil {
			return false
		}
		if !errors.Is(err, bundle.ErrNoParent) || waited >= publishTimeout || !delay.For(r.Context(), publishPollInterval) {
			problem.New(http.StatusConflict, "bundle", err.Error()).Write(w)
			return true
		}
	}
}

// publishResult returns the result of publishing a bundle and whether that result is known yet.
func (e *Entry) publishResult(s *bundle.Signed, d *bundle.Document) (BundleResult, bool) {
	e.bundleMu.Lock()
	defer e.bundleMu.Unlock()
	c := e.bundle.chain
	r := BundleResult{Version: c.Version(), Digest: c.Digest(), Winner: c.AcceptedDigest(d.Version)}
	switch {
	case r.Winner == bundle.Digest(s.Content()):
		r.Accepted = true
		return r, true
	case r.Winner != "":
		r.Detail = "another bundle with this version came in force first"
		return r, true
	case r.Version >= d.Version:
		r.Detail = "a newer bundle is in force; this entry does not know which bundle came in force with this version"
		return r, true
	}
	return r, false
}

func writeResult(w http.ResponseWriter, r BundleResult) {
	status := http.StatusConflict
	if r.Accepted {
		status = http.StatusOK
	}
	writeJSON(w, status, r)
}

// awaitVersion waits until the result of an appended bundle is known and responds with it.
func (e *Entry) awaitVersion(w http.ResponseWriter, r *http.Request, s *bundle.Signed, d *bundle.Document) {
	for waited := time.Duration(0); waited < publishTimeout; waited += publishPollInterval {
		if result, known := e.publishResult(s, d); known {
			writeResult(w, result)
			return
		}
		if !delay.For(r.Context(), publishPollInterval) {
			return
		}
	}
	p := problem.New(http.StatusGatewayTimeout, "", "the bundle has not been read back from the log yet")
	p.Outcome = problem.Unknown
	p.Write(w)
}

func (e *Entry) serveBundle(w http.ResponseWriter, _ *http.Request) {
	e.bundleMu.Lock()
	signed := e.bundle.chain.Signed()
	e.bundleMu.Unlock()
	if signed == nil {
		problem.New(http.StatusNotFound, "bundle", "no bundle is in force yet").Write(w)
		return
	}
	data, err := signed.Encode()
	if err != nil {
		problem.New(http.StatusInternalServerError, "", err.Error()).Write(w)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	_, _ = w.Write(data)
}
