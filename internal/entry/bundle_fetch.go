package entry

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of fetching bundles from agents.
const (
	// bundleFetchTimeout bounds one fetch.
	bundleFetchTimeout = 2 * time.Second
	// minBundleFetchInterval is the least time between two fetches.
	minBundleFetchInterval = 500 * time.Millisecond
)

// noteNewerBundle queues a fetch of the bundle from the agent that sent heartbeat h, if the agent
// has a newer bundle in force than this entry, whose bundle has version ownVersion. Agents can
// have a newer one while the log is down, and after the entry's start until the entry has read
// the bundles stream.
func (e *Entry) noteNewerBundle(h *link.Heartbeat, ownVersion uint64) {
	if h.BundleVersion <= ownVersion {
		return
	}
	select {
	case e.newerBundleAgents <- h.Address:
	default:
	}
}

// fetchNewerBundles fetches newer bundles from agents until ctx ends.
func (e *Entry) fetchNewerBundles(ctx context.Context) {
	for {
		select {
		case address := <-e.newerBundleAgents:
			e.fetchBundleFrom(ctx, address)
		case <-ctx.Done():
			return
		}
		if !delay.For(ctx, minBundleFetchInterval) {
			return
		}
	}
}

// fetchBundleFrom fetches the bundle of one agent and adopts it if its signatures are valid.
func (e *Entry) fetchBundleFrom(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, bundleFetchTimeout)
	defer cancel()
	var reply link.BundleReply
	if err := e.agentClient.Call(ctx, address, link.PathBundle, &link.BundleQuery{}, &reply); err != nil {
		e.log.Warn().Err(err).Str("agent", address).Msg("fetching a newer bundle failed")
		return
	}
	if len(reply.Signed) == 0 {
		return
	}
	proof, err := bundle.DecodeProof(reply.Signed, reply.OperatorChanges, reply.EndOffset)
	if err != nil {
		e.log.Warn().Err(err).Str("decision", "refuse-bundle").Str("source", address).Msg("")
		return
	}
	e.offerBundle(func(c *bundle.Chain) error { return c.Adopt(proof) }, address)
}
