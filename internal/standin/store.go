package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
)

// Store stands in for the platform's store of keyed topics. The zero value is
// empty and answers at once.
type Store struct {
	// PageSize is the most records of one page of the newest; 0 is 500.
	PageSize int
	// OnPage runs after each page of the newest records was read.
	OnPage func()

	mu     sync.Mutex
	topics map[store.Topic]*keyedTopic
	// fault is returned instead of an answer; the write is carried out if done.
	fault error
	done  bool
}

type keyedTopic struct {
	records []store.Stored
	first   uint64
	end     uint64
	newest  map[string]store.Stored
	term    uint64
	seq     uint64
	// ends are the ends after the last appends of the term, by sequence number.
	ends map[uint64]uint64
}

// Port returns the calls to the store.
func (s *Store) Port() store.Port {
	return store.Port{Append: s.append, Read: s.read, Newest: s.page}
}

// Fail makes every call return err until it is nil; writes are carried out
// nevertheless if done.
func (s *Store) Fail(err error, done bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.done = err, done
}

// Trim forgets all but the newest record of each key.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.records, t.first = nil, t.end
	}
}

func (s *Store) topic(name store.Topic) *keyedTopic {
	if s.topics == nil {
		s.topics = make(map[store.Topic]*keyedTopic)
	}
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{newest: make(map[string]store.Stored)}
		s.topics[name] = t
	}
	return t
}

func (s *Store) append(_ context.Context, a store.Append) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil && !s.done {
		return 0, s.fault
	}
	t := s.topic(a.Topic)
	if a.AtSet && a.At != t.end {
		return t.end, s.outcome(store.ErrMoved)
	}
	if a.Term > 0 {
		if end, again, err := t.follow(&a); again || err != nil {
			return end, s.outcome(err)
		}
		defer func() { t.ends[a.Seq] = t.end }()
	}
	for _, r := range a.Records {
		stored := store.Stored{Record: r, Offset: t.end}
		t.records = append(t.records, stored)
		t.newest[r.Key] = stored
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
		t.end++
	}
	return t.end, s.fault
}

// outcome returns what a caller learns of a call that was carried out.
func (s *Store) outcome(err error) error {
	if s.fault != nil {
		return s.fault
	}
	return err
}

// repeats is how many of the last appends of a term are answered again.
const repeats = 5

// follow takes in the term and the sequence number of an append. Again is set
// if it was carried out before.
func (t *keyedTopic) follow(a *store.Append) (end uint64, again bool, err error) {
	switch {
	case a.Term < t.term:
		return 0, false, store.ErrFenced
	case a.Term > t.term:
		t.term, t.seq, t.ends = a.Term, 0, make(map[uint64]uint64)
		if len(a.Records) > 0 {
			t.seq = a.Seq
		}
	case len(a.Records) == 0:
	case t.seq == 0 || a.Seq == t.seq+1:
		t.seq = a.Seq
	default:
		if end, ok := t.ends[a.Seq]; ok && a.Seq <= t.seq && a.Seq+repeats > t.seq {
			return end, true, nil
		}
		return 0, false, &store.SequenceError{Want: t.seq + 1}
	}
	return 0, false, nil
}

func (s *Store) read(_ context.Context, topic store.Topic, from uint64, _ time.Duration) (*store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil {
		return nil, s.fault
	}
	t := s.topic(topic)
	if from < t.first {
		return nil, store.ErrTrimmed
	}
	page := &store.Page{End: t.end}
	if from < t.end {
		page.Records = append(page.Records, t.records[from-t.first:]...)
	}
	return page, nil
}

func (s *Store) page(_ context.Context, topic store.Topic, after string) (*store.Page, error) {
	page, err := s.newest(topic, after)
	if s.OnPage != nil {
		s.OnPage()
	}
	return page, err
}

func (s *Store) newest(topic store.Topic, after string) (*store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil {
		return nil, s.fault
	}
	t := s.topic(topic)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	size := s.PageSize
	if size == 0 {
		size = 500
	}
	page := &store.Page{End: t.end, More: len(keys) > size}
	for _, k := range keys[:min(size, len(keys))] {
		page.Records = append(page.Records, t.newest[k])
	}
	return page, nil
}
