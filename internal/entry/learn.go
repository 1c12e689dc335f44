package entry

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of learning bundles from agents.
const (
	// learnTimeout bounds one fetch.
	learnTimeout = 2 * time.Second
	// learnEvery is the least time between two fetches.
	learnEvery = 500 * time.Millisecond
)

// noteBundle remembers an agent that has a newer bundle in force. That happens
// while the log is down and after a start, until the stream has been read.
func (e *Entry) noteBundle(h *link.Heartbeat, version uint64) {
	if h.BundleVersion <= version {
		return
	}
	select {
	case e.newer <- h.Address:
	default:
	}
}

// learnBundles fetches newer bundles from agents until ctx ends.
func (e *Entry) learnBundles(ctx context.Context) {
	for {
		select {
		case address := <-e.newer:
			e.learnBundle(ctx, address)
		case <-ctx.Done():
			return
		}
		if !delay.For(ctx, learnEvery) {
			return
		}
	}
}

// learnBundle adopts the bundle of one agent if its signatures hold.
func (e *Entry) learnBundle(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	var reply link.BundleReply
	if err := e.agents.Call(ctx, address, link.PathBundle, &link.BundleQuery{}, &reply); err != nil {
		e.log.Warn().Err(err).Str("agent", address).Msg("fetching a newer bundle failed")
		return
	}
	if len(reply.Signed) == 0 {
		return
	}
	proof, err := bundle.DecodeProof(reply.Signed, reply.Lineage, reply.Covers)
	if err != nil {
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Str("source", address).Msg("")
		return
	}
	e.offerBundle(func(c *bundle.Chain) error { return c.Adopt(proof) }, address)
}
