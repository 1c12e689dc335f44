package job

import (
	"bytes"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// state returns the whole state as the bytes of a snapshot.
func state(t *testing.T, sm *StateMachine) []byte {
	t.Helper()
	parts, err := sm.Snapshot("state", minPartBytes)
	if err != nil {
		t.Fatal(err)
	}
	var out []byte
	for _, p := range parts {
		out = append(out, p.State...)
	}
	return out
}

// collect passes the parts to a SnapshotAssembler in random order, some of them twice.
func collect(t *testing.T, random *rand.Rand, parts []*record.Snapshot) []*record.Snapshot {
	t.Helper()
	var c SnapshotAssembler
	for range 3 {
		for _, i := range random.Perm(len(parts)) {
			if whole := c.Add(parts[i]); whole != nil {
				return whole
			}
			if random.IntN(3) == 0 {
				c.Add(parts[random.IntN(i+1)])
			}
		}
	}
	t.Fatal("the snapshot was not assembled")
	return nil
}

func TestSnapshotAndTailEqualFullReplay(t *testing.T) {
	const batches = 120
	for seed := range uint64(60) {
		s := newStream(seed)
		cut := s.random.Uint64N(batches)
		var restored *StateMachine
		for offset := range uint64(batches) {
			batch := s.next(offset)
			s.apply(&s.state, batch, offset)
			if restored != nil {
				s.apply(restored, batch, offset)
			}
			if offset == cut {
				parts, err := s.state.Snapshot("cut", minPartBytes)
				if err != nil {
					t.Fatal(err)
				}
				restored = new(StateMachine)
				if err := restored.Restore(collect(t, s.random, parts)); err != nil {
					t.Fatalf("seed %d: restore: %v", seed, err)
				}
			}
		}
		if got, want := state(t, restored), state(t, &s.state); !bytes.Equal(got, want) {
			t.Errorf("seed %d, snapshot at offset %d: got another state than without a restore", seed, cut)
		}
		checkIndexes(t, seed, &s.state, restored)
	}
}

// checkIndexes compares the derived fields of a restored state with those of a state
// that was computed from all records.
func checkIndexes(t *testing.T, seed uint64, whole, restored *StateMachine) {
	t.Helper()
	if got, want := len(restored.byWorker), len(whole.byWorker); got != want {
		t.Errorf("seed %d: workers with tasks: got %d, want %d", seed, got, want)
	}
	for name, tasks := range whole.byWorker {
		if got, want := len(restored.byWorker[name]), len(tasks); got != want {
			t.Errorf("seed %d: tasks of %s: got %d, want %d", seed, name, got, want)
		}
	}
	if got, want := len(restored.revokedEpochs), len(whole.revokedEpochs); got != want {
		t.Errorf("seed %d: revoked tasks: got %d, want %d", seed, got, want)
	}
	got, want := restored.EndedBefore(1<<40, 1000), whole.EndedBefore(1<<40, 1000)
	if len(got) != len(want) {
		t.Fatalf("seed %d: ended jobs: got %d, want %d", seed, len(got), len(want))
	}
	for i := range got {
		if got[i] != want[i] {
			t.Errorf("seed %d: ended job %d: got %s, want %s", seed, i, got[i], want[i])
		}
	}
}

func TestSnapshotPartsAreBounded(t *testing.T) {
	s := newStream(7)
	for offset := range uint64(200) {
		s.apply(&s.state, s.next(offset), offset)
	}
	const maxPart = 8 << 10
	parts, err := s.state.Snapshot("x", maxPart)
	if err != nil {
		t.Fatal(err)
	}
	if len(parts) < 2 {
		t.Fatalf("parts: got %d, want several", len(parts))
	}
	for i, p := range parts {
		if got := len(p.State); got > maxPart+maxPart/4 {
			t.Errorf("part %d: got %d bytes, want about %d", i, got, maxPart)
		}
	}
}

func TestRestoreRefuses(t *testing.T) {
	s := newStream(3)
	for offset := range uint64(100) {
		s.apply(&s.state, s.next(offset), offset)
	}
	parts, err := s.state.Snapshot("x", minPartBytes)
	if err != nil {
		t.Fatal(err)
	}
	var fresh StateMachine
	if err := fresh.Restore(parts[1:]); !errors.Is(err, ErrSnapshot) {
		t.Errorf("first part missing: got %v, want %v", err, ErrSnapshot)
	}
	if err := fresh.Restore(nil); !errors.Is(err, ErrSnapshot) {
		t.Errorf("no parts: got %v, want %v", err, ErrSnapshot)
	}
	var ahead StateMachine
	ahead.Advance(parts[0].EndOffset + 1)
	if err := ahead.Restore(parts); !errors.Is(err, ErrOldSnapshot) {
		t.Errorf("snapshot of an earlier state: got %v, want %v", err, ErrOldSnapshot)
	}
}

func TestRestoreNotifiesOfEveryTask(t *testing.T) {
	var before StateMachine
	_ = before.Apply(record.New(record.NewPosition(0, 0), "a", 1, &record.Submit{Spec: record.Spec{ID: "stays", Tasks: 2}}))
	before.Advance(1)
	parts, err := before.Snapshot("x", minPartBytes)
	if err != nil {
		t.Fatal(err)
	}
	var sm StateMachine
	_ = sm.Apply(record.New(record.NewPosition(0, 0), "a", 1, &record.Submit{Spec: record.Spec{ID: "gone", Tasks: 1}}))
	notified := make(map[record.TaskID]bool)
	sm.OnTaskChange = func(id record.TaskID, _ *Job, t *Task) { notified[id] = t != nil }
	if err := sm.Restore(parts); err != nil {
		t.Fatal(err)
	}
	want := map[record.TaskID]bool{{Job: "stays"}: true, {Job: "stays", Index: 1}: true, {Job: "gone"}: false}
	for id, present := range want {
		if got, ok := notified[id]; !ok || got != present {
			t.Errorf("%s: got notified %t, present %t, want present %t", id, ok, got, present)
		}
	}
}
