package store

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// leadershipClaimKey is the key of the records of all leadership claims.
const leadershipClaimKey = "dispatcher"

// ClaimRecord returns the record that claims leadership.
func ClaimRecord(claim *leadership.Claim) (Record, error) {
	value, err := cbor.Marshal(claim)
	return Record{Key: leadershipClaimKey, Value: value}, errors.Wrap(err, "encode leadership claim")
}

// NewestClaim returns the newest leadership claim, with term 0 if there is none. The term of a
// claim is one more than the offset of the claim's record. end is the offset after the last record
// of the topic when the read began; skipped is the number of records in the topic that are not
// claims.
func (c *Client) NewestClaim(ctx context.Context) (newest leadership.Claim, end uint64, skipped int, err error) {
	records, end, err := c.AllNewest(ctx, TopicLeadership)
	if err != nil {
		return leadership.Claim{}, 0, 0, errors.Wrap(err, "read leadership claims")
	}
	for _, r := range records {
		var claim leadership.Claim
		if err := cbor.Unmarshal(r.Value, &claim); err != nil || r.Key != leadershipClaimKey {
			skipped++
			continue
		}
		if claim.Term = r.Offset + 1; claim.Term > newest.Term {
			newest = claim
		}
	}
	return newest, end, skipped, nil
}
