package agent

import (
	"context"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// updateBundle fetches the bundle in force from each entry whose reply names another bundle than
// this agent has, unless the version in the reply shows that the entry's bundle is not newer.
func (a *Agent) updateBundle(ctx context.Context, replies []entryReply) {
	for _, o := range replies {
		a.mu.Lock()
		have, version := a.chain.Digest(), a.chain.Version()
		a.mu.Unlock()
		if o.reply.BundleDigest == "" || o.reply.BundleDigest == have {
			continue
		}
		if o.reply.BundleVersion != 0 && o.reply.BundleVersion <= version {
			continue
		}
		if err := a.fetchBundle(ctx, o.entry, have); err != nil {
			a.log.Warn().Err(err).Str("decision", "refuse-bundle").Str("entry", o.entry).Msg("")
		}
	}
}

// handleBundleQuery returns the bundle in force to an entry that was started while the log was
// down.
func (a *Agent) handleBundleQuery(context.Context, link.Peer, *link.BundleQuery) (*link.BundleReply, error) {
	a.mu.Lock()
	proof := a.chain.Proof()
	a.mu.Unlock()
	if proof == nil {
		return &link.BundleReply{}, nil
	}
	signed, operatorChanges, err := proof.Encode()
	return &link.BundleReply{Signed: signed, OperatorChanges: operatorChanges, EndOffset: proof.EndOffset()}, err
}

// fetchBundle asks the entry at an address for the bundle in force and adopts that bundle if it is
// newer and its signatures are valid. haveDigest is the digest of the bundle that this agent has.
func (a *Agent) fetchBundle(ctx context.Context, entryAddress, haveDigest string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply link.BundleReply
	if err := a.entryClient.Call(ctx, entryAddress, link.PathBundle, &link.BundleQuery{HaveDigest: haveDigest}, &reply); err != nil {
		return err
	}
	signed, err := a.unpack(&reply)
	if err != nil || len(signed) == 0 {
		return err
	}
	proof, err := bundle.DecodeProof(signed, reply.OperatorChanges, reply.EndOffset)
	if err != nil {
		return err
	}
	a.mu.Lock()
	err = a.chain.Adopt(proof)
	version, digest := a.chain.Version(), a.chain.Digest()
	a.mu.Unlock()
	if errors.Is(err, bundle.ErrInForce) || errors.Is(err, bundle.ErrSuperseded) {
		return nil
	}
	if err == nil {
		a.log.Info().Str("decision", "accept-bundle").Uint64("version", version).Str("digest", digest).Msg("")
	}
	return err
}

// unpack returns the encoded signed bundle of a reply, which is decompressed if need be.
func (a *Agent) unpack(reply *link.BundleReply) ([]byte, error) {
	if reply.Packed == nil {
		return reply.Signed, nil
	}
	var base []byte
	a.mu.Lock()
	if reply.BaseDigest != "" && reply.BaseDigest == a.chain.Digest() {
		base = a.chain.Signed().Content()
	}
	a.mu.Unlock()
	return link.Unpack(reply.Packed, base)
}
