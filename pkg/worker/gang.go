package worker

import (
	"math/rand/v2"
	"time"
)

// PlaceGang chooses a worker for every task, or for none: on an error no hold
// remains. The holds that it leaves are tentative; the caller fills in what
// else it knows with Hold.
func (f *Fleet) PlaceGang(now time.Time, tasks []Task, random *rand.Rand) ([]Choice, error) {
	out := make([]Choice, 0, len(tasks))
	racks := make(map[string]int)
	for i := range tasks {
		t := &tasks[i]
		t.Racks = racks
		c, err := f.Place(now, t, random)
		if err != nil {
			for k := range out {
				f.Drop(tasks[k].Key)
			}
			return nil, err
		}
		f.Hold(t.Key, Hold{Worker: c.worker, Size: t.Size, Class: t.Class, Since: now, Tentative: true})
		racks[f.Rack(c.worker)]++
		out = append(out, c)
	}
	return out, nil
}
