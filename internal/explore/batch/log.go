package batch

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// batchOf is one batch of the log and when it was written.
type batchOf struct {
	records []record.Record
	at      time.Duration
}

// logService is the platform's log in true time.
type logService struct {
	w       *world
	batches []batchOf
	// down, readOnly and slow are until when calls fail, appends fail, and
	// appends take long.
	down, readOnly, slow time.Duration
}

// slowAppend is the longest that an append to a slow log takes.
const slowAppend = 4 * time.Second

func (l *logService) isDown() bool { return l.w.now < l.down }

// append writes a batch, or not; done is called on the writer's side unless the
// reply is lost.
func (l *logService) append(from process, writer string, first uint64, messages []record.Message, done func(ok bool)) {
	var wait time.Duration
	if l.w.now < l.slow {
		wait = l.w.upTo(slowAppend)
	}
	l.w.send(func() {
		l.w.schedule(wait, func() { l.write(from, writer, first, messages, done) })
	})
}

func (l *logService) write(from process, writer string, first uint64, messages []record.Message, done func(ok bool)) {
	if l.isDown() || l.w.now < l.readOnly {
		l.w.reply(from, func() { done(false) })
		return
	}
	offset := uint64(len(l.batches))
	var records []record.Record
	for i, m := range messages {
		records = append(records, record.New(record.NewPosition(offset, i), writer, first+uint64(i), m))
	}
	l.batches = append(l.batches, batchOf{records: records, at: l.w.now})
	l.w.history.appended(l.w.now, records)
	if l.w.chance(lostReply) {
		return
	}
	l.w.reply(from, func() { done(true) })
}

// read returns what is there from offset from on; whole tells whether the page
// reaches the log's end.
func (l *logService) read(by process, from uint64, done func(batches []batchOf, whole bool)) {
	l.w.send(func() {
		if l.isDown() || l.w.chance(lostReply) {
			return
		}
		page := l.batches[from:]
		whole := true
		if len(page) > 3 && l.w.chance(shortPage) {
			page, whole = page[:2], false
		}
		l.w.reply(by, func() { done(page, whole) })
	})
}
