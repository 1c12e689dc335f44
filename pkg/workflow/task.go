package workflow

import (
	"strconv"
	"strings"
)

// taskParts is the number of parts of a task's name.
const taskParts = 4

// ParseTask reads what TaskID.String returned.
func ParseTask(name string) (TaskID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != taskParts || parts[0] == "" {
		return TaskID{}, false
	}
	var n [taskParts - 1]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, false
		}
		n[i] = v
	}
	return TaskID{Job: parts[0], Occurrence: n[0], Step: n[1], Index: n[2]}, true
}
