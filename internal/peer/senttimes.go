package peer

import "time"

// keptTimes is how many of the last messages SentTimes keeps. With a ping every 300 ms that is 4.8 s.
const keptTimes = 16

// SentTimes holds when the last numbered messages of one kind were sent. An answer that names such a number is known to
// be no older than that message. The zero value is empty.
type SentTimes struct {
	last uint64
	at   [keptTimes]time.Time
}

// Note records that the message with a number, which is higher than all before, is sent at the given time.
func (s *SentTimes) Note(seq uint64, at time.Time) { s.last, s.at[seq%keptTimes] = seq, at }

// Find returns when the message with a number was sent, or false if that is not known, or not any more.
func (s *SentTimes) Find(seq uint64) (time.Time, bool) {
	if seq == 0 || seq > s.last || s.last-seq >= keptTimes || s.at[seq%keptTimes].IsZero() {
		return time.Time{}, false
	}
	return s.at[seq%keptTimes], true
}
