package record

import "testing"

// TestDeduperRecognisesDuplicates checks duplicates, writers that restart and
// writers out of the window, each also on a state restored from a snapshot.
func TestDeduperRecognisesDuplicates(t *testing.T) {
	cases := []struct {
		writer string
		offset uint64
		seq    uint64
		want   bool
	}{
		{"entry-1@1", 0, 1, true},
		{"entry-1@1", 0, 2, true},
		{"entry-2@1", 1, 1, true},
		{"entry-1@1", 2, 1, false},
		{"entry-1@1", 2, 2, false},
		{"entry-1@2", 3, 1, true},
		{"entry-1@1", 4, 3, true},
		{"entry-2@1", 1 + dedupWindowOffsets, 1, false},
		{"entry-2@1", 2 + dedupWindowOffsets, 1, true},
	}
	var whole Deduper
	for i, c := range cases {
		r := New(NewPosition(c.offset, 0), c.writer, c.seq, &Forget{})
		var restored Deduper
		restored.Restore(whole.Writers())
		if got := whole.Accept(r); got != c.want {
			t.Errorf("case %d: got %t, want %t", i, got, c.want)
		}
		if got := restored.Accept(r); got != c.want {
			t.Errorf("case %d after a snapshot: got %t, want %t", i, got, c.want)
		}
	}
}

// TestDeduperForgetsOldWriters checks that memory does not grow with every restart
// of a writer, which gives it a new identity.
func TestDeduperForgetsOldWriters(t *testing.T) {
	var d Deduper
	for i := range uint64(100) {
		d.Accept(New(NewPosition(i*dedupWindowOffsets/8, 0), string(rune('a'+i)), 1, &Forget{}))
	}
	if got, want := len(d.Writers()), 20; got > want {
		t.Errorf("writers kept: got %d, want at most %d", got, want)
	}
}
