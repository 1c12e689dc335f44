package workflow

// Sizes of what progress consists of, in bytes.
const (
	// progressFixedBytes bounds the key of a record of progress, and its fields other than the lists.
	progressFixedBytes = 128
	// arrayHeaderBytes bounds the header of a small array or of a list's entry.
	arrayHeaderBytes = 1
	// bitsHeaderBytes bounds the header of the bits of a DoneTasks.
	bitsHeaderBytes = 5
	// countBytes bounds the count of a task's failures.
	countBytes = 5
)

// intBytes returns the size of a number from 0 to highest in CBOR.
func intBytes(highest int) int {
	switch {
	case highest < 24:
		return 1
	case highest < 1<<8:
		return 2
	case highest < 1<<16:
		return 3
	}
	return 5
}

// openOccurrenceBytes bounds what one occurrence that is not done takes in shortened progress: the done tasks and the
// counts of failures of its steps, and a range of done occurrences beside it.
func (s *Spec) openOccurrenceBytes() int {
	occurrence := intBytes(s.Occurrences())
	bytes := arrayHeaderBytes + 2*occurrence
	for i := range s.Steps {
		count := s.Steps[i].Count
		bytes += arrayHeaderBytes + occurrence + intBytes(len(s.Steps)) + bitsHeaderBytes + (count+7)/8
		bytes += count * (arrayHeaderBytes + occurrence + intBytes(len(s.Steps)) + intBytes(count) + countBytes)
	}
	return bytes
}

// MaxOpenOccurrences returns how many occurrences of the job may be begun and not done at a time so that a record of
// its shortened progress takes at most recordBytes, whatever happens to its tasks; at least 1. A recordBytes of 0 means no
// limit.
func (s *Spec) MaxOpenOccurrences(recordBytes int) int {
	if recordBytes <= 0 {
		return s.Occurrences()
	}
	return max(1, (recordBytes-progressFixedBytes)/s.openOccurrenceBytes())
}

// CheckProgress returns an ErrInvalidSpec if progress of one occurrence may take more than recordBytes in the store.
func (s *Spec) CheckProgress(recordBytes int) error {
	if need := progressFixedBytes + s.openOccurrenceBytes(); recordBytes > 0 && need > recordBytes {
		return invalid("steps: progress of their tasks may take %d bytes in the store, want at most %d", need, recordBytes)
	}
	return nil
}
