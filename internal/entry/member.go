package entry

import (
	"cmp"
	"context"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"savoryhoist.example/savoryhoist/pkg/record"

	"savoryhoist.example/savoryhoist/internal/delay"
)

// Times of membership.
const (
	// defaultAnnounceInterval is the time between two membership records of an entry unless
	// Settings.AnnounceEvery is set.
	defaultAnnounceInterval = 10 * time.Second
	// forgetMemberAfter is how long an entry counts as a member after its newest membership
	// record was read.
	forgetMemberAfter = 3 * time.Minute
)

// member is the newest membership record of one entry.
type member struct {
	record     record.Member
	lastReadAt time.Time
	// ownRecordsRead is the value of Entry.ownRecordsRead when the record was read.
	ownRecordsRead uint64
}

// announce appends this entry's membership record regularly until ctx ends.
func (e *Entry) announce(ctx context.Context) {
	for {
		e.appendMembership(ctx, false)
		if !delay.For(ctx, cmp.Or(e.settings.AnnounceEvery, defaultAnnounceInterval)) {
			return
		}
	}
}

// appendMembership appends this entry's membership record. leaving means that the entry is
// draining.
func (e *Entry) appendMembership(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	m := e.ownMember()
	m.Leaving = leaving
	m.WrittenMS = time.Now().UnixMilli()
	if err := e.membersWriter.Append(ctx, &m); err != nil {
		e.log.Warn().Err(err).Msg("membership record not appended")
	}
}

// ownMember returns this entry's membership record.
func (e *Entry) ownMember() record.Member {
	return record.Member{
		Name: e.settings.Name, DataCentre: e.settings.DataCentre, Address: e.PeerAddress(),
		Incarnation: uint64(e.jobs.startedAt.UnixNano()),
	}
}

// applyMembers updates the known entries from membership records that were read from the
// log.
func (e *Entry) applyMembers(records []record.Record, _ uint64, _ time.Time) {
	now := time.Now()
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	for _, r := range records {
		m, ok := r.Message().(*record.Member)
		if !ok || m.Incarnation < e.knownMembers[m.Name].record.Incarnation {
			continue
		}
		if m.Name == e.settings.Name && m.Incarnation == uint64(e.jobs.startedAt.UnixNano()) {
			e.ownRecordsRead++
		}
		e.knownMembers[m.Name] = member{record: *m, lastReadAt: now, ownRecordsRead: e.ownRecordsRead}
	}
}

// localEntries returns the entries of this data centre that are not draining, including
// this one, sorted by name.
func (e *Entry) localEntries(now time.Time) []record.Member {
	out := e.entriesOf(e.settings.DataCentre, now)
	out = slices.DeleteFunc(out, func(m record.Member) bool { return m.Name == e.settings.Name })
	if !e.draining.Load() {
		out = append(out, e.ownMember())
	}
	sortMembers(out)
	return out
}

func sortMembers(members []record.Member) {
	sort.Slice(members, func(i, k int) bool { return members[i].Name < members[k].Name })
}

// rendezvousRank returns the rank of the entry self among entries for key, by rendezvous
// hashing. The entry with rank 0 is responsible for what the key stands for: for a job id it
// schedules the job, and the others take over in the order of their ranks.
func rendezvousRank(self, key string, entries []record.Member) int {
	own := rendezvousWeight(self, key)
	n := 0
	for _, m := range entries {
		if m.Name != self && rendezvousWeight(m.Name, key) > own {
			n++
		}
	}
	return n
}

// rendezvousWeight returns the weight of a name for key in rendezvous hashing.
func rendezvousWeight(name, key string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(key)
	return d.Sum64()
}
