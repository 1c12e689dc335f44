package job

import "savoryhoist.example/savoryhoist/pkg/record"

// endQueue lists ended jobs in the order in which they ended. Jobs that have
// been forgotten since stay listed until they come to the front.
type endQueue []endedJob

type endedJob struct {
	id string
	at record.Position
}

func (f *Fold) pushEnded(j *Job) {
	f.ended = append(f.ended, endedJob{id: j.spec.ID, at: j.ended})
}

// kept reports whether a listed job is still known.
func (f *Fold) kept(e endedJob) bool {
	j, ok := f.jobs[e.id]
	return ok && j.ended == e.at
}

func (f *Fold) trimEnded() {
	for len(f.ended) > 0 && !f.kept(f.ended[0]) {
		f.ended = f.ended[1:]
	}
}

// EndedBefore returns up to most jobs that ended before beforeMS, in Unix
// milliseconds, oldest first. They can be forgotten.
func (f *Fold) EndedBefore(beforeMS int64, most int) []string {
	var out []string
	for _, e := range f.ended {
		if !f.kept(e) {
			continue
		}
		if len(out) == most || f.jobs[e.id].EndedMS() >= beforeMS {
			break
		}
		out = append(out, e.id)
	}
	return out
}
