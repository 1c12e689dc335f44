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
	for i := range records {
		claim, err := decodeClaim(&records[i])
		if err != nil {
			skipped++
			continue
		}
		if claim.Term > newest.Term {
			newest = claim
		}
	}
	return newest, end, skipped, nil
}

// errNotClaim means that a record of TopicLeadership is not a leadership claim.
var errNotClaim = errors.New("not a leadership claim")

// Claims returns the leadership claims of the terms from first up to but not including end, which must
// have been claimed. It fails with ErrTrimmed if the store no longer has all of them, and with another
// error if one cannot be decoded.
func (c *Client) Claims(ctx context.Context, first, end uint64) ([]leadership.Claim, error) {
	var out []leadership.Claim
	for offset := first - 1; offset+1 < end; {
		page, err := c.Read(ctx, TopicLeadership, offset, 0)
		if err != nil {
			return nil, errors.Wrap(err, "read earlier leadership claims")
		}
		if len(page.Records) == 0 {
			return nil, errors.Mark(errors.Newf("no record of the claim of term %d", offset+1), ErrTrimmed)
		}
		for i := range page.Records {
			r := &page.Records[i]
			if r.Offset != offset {
				return nil, errors.Mark(errors.Newf("the record after the claim of term %d has offset %d", offset, r.Offset), ErrTrimmed)
			}
			claim, err := decodeClaim(r)
			if err != nil && !errors.Is(err, errNotClaim) {
				return nil, err
			}
			if err == nil && claim.Term < end {
				out = append(out, claim)
			}
			offset++
		}
	}
	return out, nil
}

// decodeClaim decodes the record of a leadership claim.
func decodeClaim(r *StoredRecord) (leadership.Claim, error) {
	if r.Key != leadershipClaimKey {
		return leadership.Claim{}, errNotClaim
	}
	var claim leadership.Claim
	if err := cbor.Unmarshal(r.Value, &claim); err != nil {
		return leadership.Claim{}, errors.Wrapf(err, "decode the claim of term %d", r.Offset+1)
	}
	claim.Term = r.Offset + 1
	return claim, nil
}
