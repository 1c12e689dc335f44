package job

import (
	"fmt"
	"math/rand/v2"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// stream generates random batches: valid records, stale records, and duplicates
// of the batch before.
type stream struct {
	random      *rand.Rand
	state       StateMachine
	seq         map[string]uint64
	assignments []record.AssignmentID
	last        []record.Record
}

func newStream(seed uint64) *stream {
	return &stream{random: rand.New(rand.NewPCG(seed, 1)), seq: make(map[string]uint64)}
}

// next generates the records of the batch at an offset, or a copy of the batch before.
func (s *stream) next(offset uint64) []record.Record {
	if len(s.last) > 0 && s.random.IntN(8) == 0 {
		return s.copyOf(offset)
	}
	writer := fmt.Sprintf("entry-%d", s.random.IntN(3))
	var out []record.Record
	for i := range 1 + s.random.IntN(5) {
		s.seq[writer]++
		out = append(out, record.New(record.NewPosition(offset, i), writer, s.seq[writer], s.message()))
	}
	s.last = out
	return out
}

func (s *stream) copyOf(offset uint64) []record.Record {
	out := make([]record.Record, len(s.last))
	for i, r := range s.last {
		out[i] = record.New(record.NewPosition(offset, i), r.Writer(), r.Seq(), r.Message())
	}
	return out
}

// apply applies the batch at an offset to a state and notes the assignments in it.
func (s *stream) apply(f *StateMachine, batch []record.Record, offset uint64) {
	for _, r := range batch {
		_ = f.Apply(r)
		if m, ok := r.Message().(*record.Assign); ok {
			for _, p := range m.Placements {
				s.assignments = append(s.assignments, record.AssignmentID{Task: p.Task, Epoch: r.Position()})
			}
		}
	}
	f.Advance(offset + 1)
}

func (s *stream) id() string { return fmt.Sprintf("job-%d", s.random.IntN(12)) }

func (s *stream) assignment() record.AssignmentID {
	if len(s.assignments) == 0 {
		return record.AssignmentID{}
	}
	recent := s.assignments[max(0, len(s.assignments)-12):]
	return recent[s.random.IntN(len(recent))]
}

func (s *stream) message() record.Message {
	atMS := s.random.Int64N(1000)
	switch s.random.IntN(14) {
	case 0, 1:
		return &record.Submit{Spec: record.Spec{ID: s.id(), Team: "nursery", Class: "shaping", Tasks: 1 + s.random.Uint32N(600), MaxFailures: 2}}
	case 2, 3, 4, 5:
		return &record.Assign{Placements: []record.Placement{{
			Task:   record.TaskID{Job: s.id(), Index: s.random.Uint32N(2)},
			Worker: fmt.Sprintf("worker-%d", s.random.IntN(4)), Attempt: s.random.Uint32N(3),
		}}}
	case 6:
		return &record.Started{Assignments: []record.AssignmentID{s.assignment(), s.assignment()}}
	case 7:
		return &record.Checkpointed{Assignment: s.assignment(), Ref: fmt.Sprintf("ref-%d", s.random.IntN(100))}
	case 8:
		return &record.Finished{Assignment: s.assignment(), Outcome: record.Outcome(1 + s.random.IntN(2)), AtMS: atMS}
	case 9:
		return &record.Revoke{Assignments: []record.AssignmentID{s.assignment()}}
	case 10:
		return &record.Released{Assignment: s.assignment(), Ref: "ref", AtMS: atMS}
	case 11:
		return &record.Cancel{Jobs: []string{s.id()}, AtMS: atMS}
	case 12:
		return &record.Move{Job: s.id(), To: "dc-2", AtMS: atMS}
	}
	return &record.Forget{Jobs: []string{s.id(), s.id()}}
}
