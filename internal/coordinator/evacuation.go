package coordinator

import (
	"maps"
	"slices"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/internal/store"
)

// Parameters of reading which data centres are evacuated.
const (
	// evacuationKeyPrefix begins the keys of the records in store.TopicConfig that evacuate data centres, before the
	// name of the data centre.
	evacuationKeyPrefix = "evacuate/"
	// maxEvacuationAge bounds the time since the beginning of the newest complete read for which a dispatcher sends
	// starts, and maxEvacuationAgeShare does so as a fraction of Settings.EvacuationBound. The rest of the bound of 5 s
	// is for starts under way: agents close connections on which nothing arrives for 1.5 s.
	maxEvacuationAge      = 3 * time.Second
	maxEvacuationAgeShare = 0.6
	// evacuationReadWait replaces maxConfigReadWait in deployments with evacuations. A read without an answer then fails
	// after 1.7 s, before the last complete one is maxEvacuationAge old, so that an outage of the store holds no starts
	// back. All entries use it: an answer to a read of another entry that began before an outage shows the dispatcher,
	// wrongly, that the store fails the dispatcher only.
	evacuationReadWait = 500 * time.Millisecond
	// lateReadSlack is how much later than its time limit a failed read may end and still count as failed. A later end
	// shows that the process was suspended, which says nothing of the store. A read that ends by then is still less than
	// maxEvacuationAge later than the read before it. Processes with a share of a processor run late in bursts.
	lateReadSlack = 700 * time.Millisecond
)

// evacuationSet is a set of evacuated data centres.
type evacuationSet struct {
	// names are sorted.
	names []string
	// end is the offset in store.TopicConfig up to which the records are taken in.
	end uint64
	// asOf is a time at which no record from end on had been written; zero if nothing is known.
	asOf time.Time
	// source is where the set comes from, for the log.
	source string
}

// evacuationRecord is the newest record of a data centre.
type evacuationRecord struct {
	offset    uint64
	evacuated bool
}

// evacuations is what an entry knows of the evacuated data centres. The zero value knows nothing.
type evacuations struct {
	// records holds the newest records by data centre.
	records map[string]evacuationRecord
	// own is the set that the entry has read itself, peer the newest one that other entries have sent.
	own, peer evacuationSet
	// failedAt is when a read last failed.
	failedAt time.Time
	// applied holds the names that were in force at the last call of Coordinator.applyEvacuations.
	applied []string
}

// known reports whether the entry has read the records or has the set of another entry.
func (e *evacuations) known() bool { return !e.asOf().IsZero() }

// inForce returns the set that has taken in more records. Times do not tell which one is newer, since a read may return
// records that were written long after it began.
func (e *evacuations) inForce() *evacuationSet {
	if e.own.asOf.IsZero() || e.peer.end > e.own.end {
		return &e.peer
	}
	return &e.own
}

// asOf returns a time up to which no record is missing in the set in force: that set has all records of the other one.
func (e *evacuations) asOf() time.Time { return later(e.own.asOf, e.peer.asOf) }

// later returns the later of two times.
func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
}

// mayStart reports whether a dispatcher may send starts: the set in force is at most maxAge old, or reads have failed since, that is,
// lately. In an outage of the store for all, work continues with the last set. A process that was suspended waits
// until a read is complete.
func (e *evacuations) mayStart(now time.Time, maxAge time.Duration) bool {
	return now.Sub(e.asOf()) <= maxAge || now.Sub(e.failedAt) <= maxAge
}

// noteRead takes in records that a read returned which began at the given time. end is the offset up to which they
// reach. all is set if they are the newest records of all keys, complete if the read has reached the end of the topic.
func (e *evacuations) noteRead(began time.Time, records []store.StoredRecord, end uint64, all, complete bool) {
	if e.records == nil {
		e.records = make(map[string]evacuationRecord)
	}
	if all {
		clear(e.records)
	}
	for i := range records {
		r := &records[i]
		name, ok := strings.CutPrefix(r.Key, evacuationKeyPrefix)
		if ok && name != "" && r.Offset >= e.records[name].offset { // pages of newest records may be ahead of later reads
			e.records[name] = evacuationRecord{offset: r.Offset, evacuated: len(r.Value) > 0}
		}
	}
	e.own.names = e.own.names[:0:0]
	for name, r := range e.records {
		if r.evacuated {
			e.own.names = append(e.own.names, name)
		}
	}
	slices.Sort(e.own.names)
	e.own.end, e.own.source = end, "store"
	if complete {
		e.own.asOf = began
	}
}

// noteFailure records that a read which began at the given time and was given limit has failed.
func (e *evacuations) noteFailure(began, now time.Time, limit time.Duration) {
	if now.Sub(began) <= limit+lateReadSlack {
		e.failedAt = now
	}
}

// notePeer takes in the set of another entry.
func (e *evacuations) notePeer(s evacuationSet) {
	asOf := later(e.peer.asOf, s.asOf) // the set that has more records is complete as of both times
	if s.end > e.peer.end || e.peer.asOf.IsZero() {
		e.peer = s
	}
	e.peer.asOf = asOf
}

// noteConfigRead takes in the records of a read of the configuration topic, see evacuations.noteRead.
func (c *Coordinator) noteConfigRead(now, began time.Time, records []store.StoredRecord, end uint64, all, complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range records {
		if records[i].Key == evacuationKeyPrefix {
			c.log.Warn().Uint64("offset", records[i].Offset).Msg("skipped an evacuation that names no data centre")
		}
	}
	c.evacuations.noteRead(began, records, end, all, complete)
	c.applyEvacuations(now)
	if c.term != nil && c.term.startsHeld {
		notify(c.wakeLead)
	}
}

// noteConfigFailure records that a read of the configuration topic has failed, see evacuations.noteFailure.
func (c *Coordinator) noteConfigFailure(began, now time.Time, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations.noteFailure(began, now, limit)
}

// configReadWait returns how long the store may delay its answer to a read of new configuration records.
func (c *Coordinator) configReadWait() time.Duration {
	if c.settings.EvacuationBound > 0 {
		return evacuationReadWait
	}
	return maxConfigReadWait
}

// applyEvacuations puts the newest known set in force. The caller holds mu.
func (c *Coordinator) applyEvacuations(now time.Time) {
	set := c.evacuations.inForce()
	if slices.Equal(set.names, c.evacuations.applied) {
		return
	}
	before := c.evacuations.applied
	c.evacuations.applied = slices.Clone(set.names)
	workers := 0
	if c.term != nil {
		c.term.scheduler.SetEvacuated(set.names)
		byName := c.term.scheduler.DataCentreWorkers()
		for _, name := range set.names {
			workers += byName[name]
		}
		notify(c.wakeLead)
	}
	c.gauge("data-centres-evacuated", int64(len(set.names)))
	c.log.Warn().Strs("evacuated", set.names).Strs("before", before).Str("source", set.source).Uint64("end", set.end).
		Dur("age", now.Sub(c.evacuations.asOf())).Int("workers", workers).Bool("dispatching", c.term != nil).Msg("evacuated data centres changed")
}

// maxSetAge returns the age of the set of evacuated data centres up to which the dispatcher sends starts.
func (c *Coordinator) maxSetAge() time.Duration {
	return min(maxEvacuationAge, time.Duration(maxEvacuationAgeShare*float64(c.settings.EvacuationBound)))
}

// holdsStarts reports whether the dispatcher must send no starts, since it may not know of an evacuation. The caller
// holds mu.
func (c *Coordinator) holdsStarts(now time.Time, t *term) bool {
	held := c.settings.EvacuationBound > 0 && !c.evacuations.mayStart(now, c.maxSetAge())
	if held != t.startsHeld {
		t.startsHeld = held
		if held {
			c.count("starts-held", 1)
		}
		c.log.Warn().Bool("held", held).Dur("age", now.Sub(c.evacuations.asOf())).Uint64("term", t.number).Msg("starts are held, or go on, until the evacuated data centres are read")
	}
	return held
}

// evacuationMessage returns the set in force for another entry; nil if there is none or the deployment has no
// evacuations. The caller holds mu.
func (c *Coordinator) evacuationMessage(now time.Time) *peer.Evacuation {
	if c.settings.EvacuationBound <= 0 || !c.evacuations.known() {
		return nil
	}
	set := c.evacuations.inForce()
	return &peer.Evacuation{Names: set.names, End: set.end, AgeMS: now.Sub(c.evacuations.asOf()).Milliseconds() + 1}
}

// notePeerEvacuation takes in the set that another entry sent after the given time. The caller holds mu.
func (c *Coordinator) notePeerEvacuation(now, sentAfter time.Time, m *peer.Evacuation, from string) {
	if m == nil || m.AgeMS < 0 || c.settings.EvacuationBound <= 0 {
		return
	}
	names := slices.Clone(m.Names)
	slices.Sort(names)
	c.evacuations.notePeer(evacuationSet{names: names, end: m.End, asOf: sentAfter.Add(-peer.Duration(m.AgeMS)), source: "peer " + from})
	c.applyEvacuations(now)
}

// notePingEvacuation takes in the set in a ping that arrived on conn from the entry of a link. A ping that may have been
// sent long ago, before the connection of the link, proves nothing. The caller holds mu.
func (c *Coordinator) notePingEvacuation(now time.Time, conn *peer.Conn, l *entryLink, p *peer.Ping) {
	if l.conn != conn {
		return
	}
	if sentAfter, ok := l.pongTimes.Find(p.LastPong); ok {
		c.notePeerEvacuation(now, sentAfter, p.Evacuation, l.name)
	}
	l.pongTimes.Note(p.Seq, now)
}

// evacuationLogInterval is how often the evacuated data centres are compared with those of the workers, and
// evacuationLogDelay the age of a term from which that counts: until then workers may not have reported.
const (
	evacuationLogInterval = time.Second
	evacuationLogDelay    = 3 * time.Second
)

// logEvacuations logs evacuations of data centres without a worker, and whether all workers are in evacuated ones. The
// caller holds mu.
func (c *Coordinator) logEvacuations(now time.Time, t *term) {
	names := c.evacuations.applied
	if len(names) == 0 && !t.allEvacuated || now.Sub(t.began) < evacuationLogDelay || now.Sub(t.evacuationsLoggedAt) < evacuationLogInterval {
		return
	}
	t.evacuationsLoggedAt = now
	workers := t.scheduler.DataCentreWorkers()
	maps.DeleteFunc(t.unknownEvacuations, func(name string, _ struct{}) bool { return !slices.Contains(names, name) || workers[name] > 0 })
	for _, name := range names {
		if _, logged := t.unknownEvacuations[name]; logged || workers[name] > 0 {
			continue
		}
		if t.unknownEvacuations == nil {
			t.unknownEvacuations = make(map[string]struct{})
		}
		t.unknownEvacuations[name] = struct{}{}
		c.log.Warn().Str("data-centre", name).Uint64("term", t.number).Msg("evacuation of a data centre in which no worker is known")
	}
	all := len(workers) > 0
	for name := range workers {
		all = all && slices.Contains(names, name)
	}
	if all == t.allEvacuated {
		return
	}
	t.allEvacuated = all
	value := int64(0)
	if all {
		value = 1
	}
	c.gauge("all-data-centres-evacuated", value)
	c.log.Warn().Bool("all", all).Strs("evacuated", names).Uint64("term", t.number).Msg("all workers are, or no longer are, in evacuated data centres; while they are, no task starts")
}
