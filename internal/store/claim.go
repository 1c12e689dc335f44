package store

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// claimKey is the key of all claims of the dispatch.
const claimKey = "dispatcher"

// ClaimRecord returns the record of a claim.
func ClaimRecord(claim *leadership.Claim) (Record, error) {
	value, err := cbor.Marshal(claim)
	return Record{Key: claimKey, Value: value}, errors.Wrap(err, "encode the claim")
}

// NewestClaim returns the newest claim of the dispatch, and the end of its
// topic. Records that are no claims are counted in skipped.
func (p *Port) NewestClaim(ctx context.Context) (newest leadership.Claim, end uint64, skipped int, err error) {
	records, end, err := p.All(ctx, TopicDispatch)
	if err != nil {
		return leadership.Claim{}, 0, 0, errors.Wrap(err, "read the claims")
	}
	for _, r := range records {
		var claim leadership.Claim
		if err := cbor.Unmarshal(r.Value, &claim); err != nil || r.Key != claimKey {
			skipped++
			continue
		}
		if claim.Term = r.Offset + 1; claim.Term > newest.Term {
			newest = claim
		}
	}
	return newest, end, skipped, nil
}
