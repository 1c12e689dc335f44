package worker

import (
	"math/rand/v2"
	"time"
)

// PlaceGang chooses a worker for each of the tasks and allocates them
// tentatively. If any task does not fit, it returns an error and leaves no
// allocation. The caller replaces the allocations by complete ones, which also
// name the team.
func (f *Fleet) PlaceGang(now time.Time, tasks []Task, random *rand.Rand) ([]Choice, error) {
	out := make([]Choice, 0, len(tasks))
	racks := make(map[string]int)
	for i := range tasks {
		t := &tasks[i]
		t.TasksPerRack = racks
		c, err := f.Place(now, t, random)
		if err != nil {
			for k := range out {
				f.Release(tasks[k].Key)
			}
			return nil, err
		}
		f.Allocate(t.Key, Allocation{Worker: c.worker, Size: t.Size, Class: t.Class, AssignedAt: now, Tentative: true})
		racks[f.Rack(c.worker)]++
		out = append(out, c)
	}
	return out, nil
}
