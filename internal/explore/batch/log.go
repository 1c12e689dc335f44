package batch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// loggedBatch is one batch of the log; at is when it was appended.
type loggedBatch struct {
	records []record.Record
	at      time.Duration
}

// logService simulates the platform's log.
type logService struct {
	w       *world
	batches []loggedBatch
	// Until downUntil reads are not answered and appends fail, until readOnlyUntil only
	// appends fail, and until slowUntil appends are slow.
	downUntil, readOnlyUntil, slowUntil time.Duration
}

// maxSlowAppend bounds the duration of an append to a slow log.
const maxSlowAppend = 4 * time.Second

func (l *logService) isDown() bool { return l.w.now < l.downUntil }

// append appends a batch unless the call is lost or fails, and calls done in the caller's
// process unless the reply is lost. The records of the batch get the writer's name and
// sequence numbers from firstSeq on.
func (l *logService) append(caller processGeneration, writer string, firstSeq uint64, messages []record.Message, done func(ok bool)) {
	var delay time.Duration
	if l.w.now < l.slowUntil {
		delay = l.w.randomUpTo(maxSlowAppend)
	}
	l.w.send(func() {
		l.w.schedule(delay, func() { l.write(caller, writer, firstSeq, messages, done) })
	})
}

// write carries out an append once its call and the log's delay have passed.
func (l *logService) write(caller processGeneration, writer string, firstSeq uint64, messages []record.Message, done func(ok bool)) {
	if l.isDown() || l.w.now < l.readOnlyUntil {
		l.w.reply(caller, func() { done(false) })
		return
	}
	offset := uint64(len(l.batches))
	var records []record.Record
	for i, m := range messages {
		records = append(records, record.New(record.NewPosition(offset, i), writer, firstSeq+uint64(i), m))
	}
	l.batches = append(l.batches, loggedBatch{records: records, at: l.w.now})
	l.w.history.applyAppended(l.w.now, records)
	if l.w.chance(replyLossRate) {
		return
	}
	l.w.reply(caller, func() { done(true) })
}

// read passes a page of the batches from an offset on to done; reachedEnd tells
// whether the page reaches the log's end.
func (l *logService) read(caller processGeneration, offset uint64, done func(batches []loggedBatch, reachedEnd bool)) {
	l.w.send(func() {
		if l.isDown() || l.w.chance(replyLossRate) {
			return
		}
		page := l.batches[offset:]
		reachedEnd := true
		if len(page) > 3 && l.w.chance(shortPageRate) {
			page, reachedEnd = page[:2], false
		}
		l.w.reply(caller, func() { done(page, reachedEnd) })
	})
}
