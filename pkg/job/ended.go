package job

import "savoryhoist.example/savoryhoist/pkg/record"

// endedJobs lists ended jobs in the order in which they ended. A job that is
// dropped by a Forget record stays listed until it reaches the front.
type endedJobs []endedJob

type endedJob struct {
	id       string
	position record.Position
}

func (sm *StateMachine) addEnded(j *Job) {
	sm.ended = append(sm.ended, endedJob{id: j.spec.ID, position: j.endPosition})
}

// stillKnown reports whether the state still contains a listed job.
func (sm *StateMachine) stillKnown(e endedJob) bool {
	j, ok := sm.jobs[e.id]
	return ok && j.endPosition == e.position
}

func (sm *StateMachine) trimEnded() {
	for len(sm.ended) > 0 && !sm.stillKnown(sm.ended[0]) {
		sm.ended = sm.ended[1:]
	}
}

// EndedBefore returns the ids of up to limit jobs that ended before beforeMS, in
// Unix milliseconds, oldest first. These jobs can be dropped by a Forget record.
func (sm *StateMachine) EndedBefore(beforeMS int64, limit int) []string {
	var out []string
	for _, e := range sm.ended {
		if !sm.stillKnown(e) {
			continue
		}
		if len(out) == limit || sm.jobs[e.id].EndedMS() >= beforeMS {
			break
		}
		out = append(out, e.id)
	}
	return out
}
