package standin

import (
	"context"
	"sort"
	"sync"
	"time"

	"savoryhoist.example/savoryhoist/internal/store"
)

// Store simulates the platform's store of keyed topics in memory. The zero value is
// empty. It does not wait for new records in a read.
type Store struct {
	// PageSize is the largest number of records in one page of the newest records; 0 means
	// 500.
	PageSize int
	// FenceRepeats makes the store reject the repetition of an append of an earlier term than the newest, rather
	// than give it the first response again.
	FenceRepeats bool
	// OnPage, if set, is called after each read of a page of the newest records.
	OnPage func()

	mu     sync.Mutex
	topics map[store.Topic]*keyedTopic
	// fault, if set, is the error that every call returns. writeDespiteFault means that
	// appends still take effect.
	fault             error
	writeDespiteFault bool
	// topicFaults are the errors that calls for single topics return; they are not carried out.
	topicFaults map[store.Topic]error
	// silent makes calls wait without an answer until they are cancelled; they are not carried out.
	silent bool
}

type keyedTopic struct {
	// records holds the records from firstOffset on.
	records     []store.StoredRecord
	firstOffset uint64
	endOffset   uint64
	// newest holds the newest record of each key.
	newest map[string]store.StoredRecord
	// term is the newest term of an append, and seq the newest sequence number under it.
	term uint64
	seq  uint64
	// answered holds the newest appends of records under a term, up to repeatableAppends.
	answered []answeredAppend
}

// answeredAppend is an append under a term that was carried out; end is the end offset after it.
type answeredAppend struct{ term, seq, end uint64 }

// Client returns a client of the store.
func (s *Store) Client() store.Client {
	return store.Client{
		Append: func(ctx context.Context, a store.AppendRequest) (uint64, error) {
			return unlessSilent(ctx, s, func() (uint64, error) { return s.append(a) })
		},
		Read: func(ctx context.Context, topic store.Topic, offset uint64, _ time.Duration) (*store.Page, error) {
			return unlessSilent(ctx, s, func() (*store.Page, error) { return s.read(topic, offset) })
		},
		ReadNewest: func(ctx context.Context, topic store.Topic, afterKey string) (*store.Page, error) {
			return unlessSilent(ctx, s, func() (*store.Page, error) { return s.readNewest(topic, afterKey) })
		},
	}
}

// SetSilent makes calls wait until they are cancelled, without being carried out, or ends that. Calls that wait already
// get no answer either way, as on a connection that was cut without notice.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// unlessSilent carries out a call with fn, or waits until it is cancelled if the store is silent.
func unlessSilent[T any](ctx context.Context, s *Store, fn func() (T, error)) (T, error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return fn()
	}
	<-ctx.Done()
	var none T
	return none, store.ErrOutcomeUnknown
}

// SetFault makes every call return err until SetFault is called with nil. If
// writeDespiteFault is set, appends still take effect.
func (s *Store) SetFault(err error, writeDespiteFault bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.writeDespiteFault = err, writeDespiteFault
}

// SetTopicFault makes every call for a topic return err, without effect, until SetTopicFault is called with nil.
func (s *Store) SetTopicFault(topic store.Topic, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topicFaults == nil {
		s.topicFaults = make(map[store.Topic]error)
	}
	s.topicFaults[topic] = err
}

// Trim drops all records but the newest of each key, which only reads of the newest
// records still return.
func (s *Store) Trim() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		t.records, t.firstOffset = nil, t.endOffset
	}
}

func (s *Store) topic(name store.Topic) *keyedTopic {
	if s.topics == nil {
		s.topics = make(map[store.Topic]*keyedTopic)
	}
	t := s.topics[name]
	if t == nil {
		t = &keyedTopic{newest: make(map[string]store.StoredRecord)}
		s.topics[name] = t
	}
	return t
}

// append carries out an append and returns the topic's end offset.
func (s *Store) append(a store.AppendRequest) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil && !s.writeDespiteFault {
		return 0, s.fault
	}
	if err := s.topicFaults[a.Topic]; err != nil {
		return 0, err
	}
	t := s.topic(a.Topic)
	if a.CheckEnd && a.ExpectedEnd != t.endOffset {
		return t.endOffset, s.faultOr(store.ErrEndMismatch)
	}
	if a.Term > 0 {
		if s.FenceRepeats && a.Term < t.term {
			return 0, s.faultOr(store.ErrFenced)
		}
		if end, repeated, err := t.checkSequence(&a); repeated || err != nil {
			return end, s.faultOr(err)
		}
		defer t.noteAnswer(&a)
	}
	for _, r := range a.Records {
		stored := store.StoredRecord{Record: r, Offset: t.endOffset}
		t.records = append(t.records, stored)
		t.newest[r.Key] = stored
		if len(r.Value) == 0 {
			delete(t.newest, r.Key)
		}
		t.endOffset++
	}
	return t.endOffset, s.fault
}

// faultOr returns the error that a call which was carried out returns: the fault if
// one is set, otherwise err.
func (s *Store) faultOr(err error) error {
	if s.fault != nil {
		return s.fault
	}
	return err
}

// repeatableAppends is the number of newest appends whose repetition gets the first response again,
// also after an append of a later term.
const repeatableAppends = 5

// checkSequence checks and records the term and the sequence number of an append.
// repeated means that the append was carried out before; end is then the topic's end
// offset after it.
func (t *keyedTopic) checkSequence(a *store.AppendRequest) (end uint64, repeated bool, err error) {
	for _, old := range t.answered {
		if len(a.Records) > 0 && old.term == a.Term && old.seq == a.Seq {
			return old.end, true, nil
		}
	}
	switch {
	case a.Term < t.term:
		return 0, false, store.ErrFenced
	case a.Term > t.term:
		t.term, t.seq = a.Term, 0
		if len(a.Records) > 0 {
			t.seq = a.Seq
		}
	case len(a.Records) == 0:
	case t.seq == 0 || a.Seq == t.seq+1:
		t.seq = a.Seq
	default:
		return 0, false, &store.SequenceError{Want: t.seq + 1}
	}
	return 0, false, nil
}

// noteAnswer records an append that was carried out.
func (t *keyedTopic) noteAnswer(a *store.AppendRequest) {
	if len(a.Records) == 0 {
		return
	}
	t.answered = append(t.answered, answeredAppend{a.Term, a.Seq, t.endOffset})
	t.answered = t.answered[max(0, len(t.answered)-repeatableAppends):]
}

// read returns the records of a topic from an offset on.
func (s *Store) read(topic store.Topic, offset uint64) (*store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil {
		return nil, s.fault
	}
	if err := s.topicFaults[topic]; err != nil {
		return nil, err
	}
	t := s.topic(topic)
	if offset < t.firstOffset {
		return nil, store.ErrTrimmed
	}
	page := &store.Page{End: t.endOffset}
	if offset < t.endOffset {
		page.Records = append(page.Records, t.records[offset-t.firstOffset:]...)
	}
	return page, nil
}

// readNewest returns a page of the newest records of the keys after afterKey.
func (s *Store) readNewest(topic store.Topic, afterKey string) (*store.Page, error) {
	page, err := s.newestPage(topic, afterKey)
	if s.OnPage != nil {
		s.OnPage()
	}
	return page, err
}

// newestPage returns the newest records of the keys after afterKey, up to PageSize.
func (s *Store) newestPage(topic store.Topic, afterKey string) (*store.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault != nil {
		return nil, s.fault
	}
	if err := s.topicFaults[topic]; err != nil {
		return nil, err
	}
	t := s.topic(topic)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > afterKey {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	size := s.PageSize
	if size == 0 {
		size = 500
	}
	page := &store.Page{End: t.endOffset, More: len(keys) > size}
	for _, k := range keys[:min(size, len(keys))] {
		page.Records = append(page.Records, t.newest[k])
	}
	return page, nil
}
