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
	// Calls are not answered or fail until downUntil, appends fail until
	// readOnlyUntil, and appends are slow until slowUntil.
	downUntil, readOnlyUntil, slowUntil time.Duration
}

// maxSlowAppend bounds the duration of an append to a slow log.
const maxSlowAppend = 4 * time.Second

func (l *logService) isDown() bool { return l.w.now < l.downUntil }

// append appends a batch unless the call is lost or fails, and calls done in the
// writer's process unless the reply is lost.
func (l *logService) append(from processGeneration, writer string, first uint64, messages []record.Message, done func(ok bool)) {
	var wait time.Duration
	if l.w.now < l.slowUntil {
		wait = l.w.randomUpTo(maxSlowAppend)
	}
	l.w.send(func() {
		l.w.schedule(wait, func() { l.write(from, writer, first, messages, done) })
	})
}

func (l *logService) write(from processGeneration, writer string, first uint64, messages []record.Message, done func(ok bool)) {
	if l.isDown() || l.w.now < l.readOnlyUntil {
		l.w.reply(from, func() { done(false) })
		return
	}
	offset := uint64(len(l.batches))
	var records []record.Record
	for i, m := range messages {
		records = append(records, record.New(record.NewPosition(offset, i), writer, first+uint64(i), m))
	}
	l.batches = append(l.batches, loggedBatch{records: records, at: l.w.now})
	l.w.history.applyAppended(l.w.now, records)
	if l.w.chance(replyLossRate) {
		return
	}
	l.w.reply(from, func() { done(true) })
}

// read passes a page of the batches from an offset on to done; reachedEnd tells
// whether the page reaches the log's end.
func (l *logService) read(by processGeneration, from uint64, done func(batches []loggedBatch, reachedEnd bool)) {
	l.w.send(func() {
		if l.isDown() || l.w.chance(replyLossRate) {
			return
		}
		page := l.batches[from:]
		reachedEnd := true
		if len(page) > 3 && l.w.chance(shortPageRate) {
			page, reachedEnd = page[:2], false
		}
		l.w.reply(by, func() { done(page, reachedEnd) })
	})
}
