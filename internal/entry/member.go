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
	// announceEvery is how often an entry refreshes its membership record if
	// its settings name no other time.
	announceEvery = 10 * time.Second
	// forgetMemberAfter is how long an entry without a refresh counts as a member.
	forgetMemberAfter = 3 * time.Minute
)

// member is what the members stream says about one entry.
type member struct {
	record record.Member
	seen   time.Time
	// refresh is the reader's own count of refreshes when the record was read.
	refresh uint64
}

func (e *Entry) announce(ctx context.Context) {
	for {
		e.tellMembers(ctx, false)
		if !delay.For(ctx, cmp.Or(e.settings.AnnounceEvery, announceEvery)) {
			return
		}
	}
}

func (e *Entry) tellMembers(ctx context.Context, leaving bool) {
	ctx, cancel := context.WithTimeout(ctx, flushTime)
	defer cancel()
	m := e.self()
	m.Leaving = leaving
	m.WrittenMS = time.Now().UnixMilli()
	if err := e.members.Append(ctx, &m); err != nil {
		e.log.Warn().Err(err).Msg("membership record not appended yet")
	}
}

// self returns this entry's membership record.
func (e *Entry) self() record.Member {
	return record.Member{
		Name: e.settings.Name, DataCentre: e.settings.DataCentre, Address: e.PeerAddress(),
		Incarnation: uint64(e.jobs.born.UnixNano()),
	}
}

func (e *Entry) deliverMembers(records []record.Record, _ uint64, _ time.Time) {
	now := time.Now()
	e.memberMu.Lock()
	defer e.memberMu.Unlock()
	for _, r := range records {
		m, ok := r.Message().(*record.Member)
		if !ok || m.Incarnation < e.known[m.Name].record.Incarnation {
			continue
		}
		if m.Name == e.settings.Name && m.Incarnation == uint64(e.jobs.born.UnixNano()) {
			e.refreshes++
		}
		e.known[m.Name] = member{record: *m, seen: now, refresh: e.refreshes}
	}
}

// neighbours returns the entries of this data centre, sorted by name.
func (e *Entry) neighbours(now time.Time) []record.Member {
	out := e.membersOf(e.settings.DataCentre, now)
	out = slices.DeleteFunc(out, func(m record.Member) bool { return m.Name == e.settings.Name })
	if !e.leaving.Load() {
		out = append(out, e.self())
	}
	sortMembers(out)
	return out
}

func sortMembers(members []record.Member) {
	sort.Slice(members, func(i, k int) bool { return members[i].Name < members[k].Name })
}

// rank returns this entry's place among neighbours for a job by rendezvous
// hashing: the entry of rank 0 schedules it, the others take over one by one.
func rank(self, job string, neighbours []record.Member) int {
	own := weight(self, job)
	n := 0
	for _, m := range neighbours {
		if m.Name != self && weight(m.Name, job) > own {
			n++
		}
	}
	return n
}

func weight(name, job string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(name)
	_, _ = d.WriteString("/")
	_, _ = d.WriteString(job)
	return d.Sum64()
}
