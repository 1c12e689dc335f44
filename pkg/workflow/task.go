package workflow

import (
	"strconv"
	"strings"
)

// taskIDParts is the number of dot-separated parts of a task ID.
const taskIDParts = 4

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
