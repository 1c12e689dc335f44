package leadership

import "time"

// Durations that concern the followers of a dispatcher.
const (
	// SoloLeaseDuration is the part of a leadership lease for which a dispatcher may act whether or not it hears its followers.
	// An outage of the store that lasts longer ends no work as long as all followers are heard.
	SoloLeaseDuration = 4 * time.Second
	// maxFollowerAge is the maximum age of what a dispatcher has heard from a follower for it to count as in contact. It must not
	// exceed SoloLeaseDuration.
	maxFollowerAge = 2 * time.Second
	// followerRetention is how long after its last ping an entry is a follower.
	followerRetention = time.Minute
	// maxFollowedAge is how long before a term of its own an entry must have sent a ping that an earlier dispatcher answered, to be
	// a follower of that dispatcher until its leadership lease has expired.
	maxFollowedAge = 45 * time.Second
)

// Followers are the entries that have followed a dispatcher in its term. The zero value holds none.
type Followers struct {
	entries map[string]follower
}

// follower is what a dispatcher knows of an entry: when it last answered a ping, and a time after which the newest ping was sent,
// zero if none is known.
type follower struct {
	answeredAt time.Time
	sentAfter  time.Time
}

// NoteAnswer records that the ping of an entry, which knew no later term, is answered now. From then on the entry is a follower.
// sentAfter is a time after which the ping was sent, or zero.
func (f *Followers) NoteAnswer(now time.Time, entry string, sentAfter time.Time) {
	if f.entries == nil {
		f.entries = make(map[string]follower)
	}
	e := f.entries[entry]
	f.entries[entry] = follower{answeredAt: later(e.answeredAt, now), sentAfter: later(e.sentAfter, sentAfter)}
}

// InContact reports whether all followers have been heard lately. None of them had begun a later term then. It drops those that have
// sent no ping for followerRetention.
func (f *Followers) InContact(now time.Time) bool {
	for name, e := range f.entries {
		switch {
		case now.Sub(e.answeredAt) > followerRetention:
			delete(f.entries, name)
		case now.Sub(e.sentAfter) > maxFollowerAge:
			return false
		}
	}
	return true
}

// Followed holds the terms whose dispatchers have counted this entry among their followers. The zero value holds none.
type Followed struct {
	// pingSent holds, by term, when the newest ping was sent that the dispatcher answered.
	pingSent map[uint64]time.Time
}

// NoteAnswer records that the dispatcher of a term, which counts this entry among its followers, has answered a ping that was sent
// at the given time.
func (f *Followed) NoteAnswer(term uint64, sent time.Time) {
	if f.pingSent == nil {
		f.pingSent = make(map[uint64]time.Time)
	}
	f.pingSent[term] = later(f.pingSent[term], sent)
	for t, at := range f.pingSent {
		if sent.Sub(at) > maxFollowedAge {
			delete(f.pingSent, t)
		}
	}
}

// Terms returns the terms whose dispatchers count this entry among their followers until their leadership leases have expired, if
// a term of its own begins now.
func (f *Followed) Terms(now time.Time) map[uint64]bool {
	terms := make(map[uint64]bool)
	for t, at := range f.pingSent {
		if now.Sub(at) <= maxFollowedAge {
			terms[t] = true
		}
	}
	return terms
}

// AllFollowed reports whether the dispatchers of the watched claims, see MayServe, count certain entries among their followers.
// followed holds the terms for which that is so, see Followed.Terms. Of the earlier claims of a process only the newest one may be
// served.
func AllFollowed(watched, earlier []Claim, followed map[uint64]bool) bool {
	for _, w := range watched {
		newest := w.Term
		for _, c := range earlier {
			if c.Entry == w.Entry && c.Incarnation == w.Incarnation {
				newest = max(newest, c.Term)
			}
		}
		if !followed[newest] {
			return false
		}
	}
	return true
}

// UnheardFrom returns the time from which on a dispatcher hears no ping of a follower as one that knows no later term, if the
// follower had been told of a later term by the given time.
func UnheardFrom(heardBy time.Time) time.Time { return heardBy.Add(withMargin(maxFollowerAge)) }
