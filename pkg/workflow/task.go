package workflow

import (
	"cmp"
	"strconv"
	"strings"
)

// taskIDParts is the number of dot-separated parts of a task ID.
const taskIDParts = 4

// Compare orders task IDs by job, occurrence, step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(strings.Compare(t.Job, o.Job), cmp.Compare(t.Occurrence, o.Occurrence), cmp.Compare(t.Step, o.Step), cmp.Compare(t.Index, o.Index))
}

// ParseTaskID parses what TaskID.String returned.
func ParseTaskID(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != taskIDParts || parts[0] == "" {
		return TaskID{}, false
	}
	var n [taskIDParts - 1]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, true
}
