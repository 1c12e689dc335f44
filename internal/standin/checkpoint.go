package standin

import (
	"fmt"
	"hash/crc32"
	"time"
)

// worked returns how much of the task's work was done, by this run and before.
func (t *taskRun) worked(now time.Time) time.Duration {
	if t.waits {
		return t.resumed
	}
	return min(t.resumed+max(now.Sub(t.startedAt), 0), t.need)
}

// checkpoint returns the newest checkpoint of a run; atStop is set if the run is stopped, and so makes one.
func (t *taskRun) checkpoint(now time.Time, atStop bool) string {
	done := t.worked(now)
	if !atStop {
		done = t.resumed + (done - t.resumed).Truncate(checkpointEvery)
	}
	if !t.step.Checkpointing || done <= 0 {
		return ""
	}
	return fmt.Sprintf("%08x%08x", done.Milliseconds(), checkpointTag(t.past.successKey()))
}

// checkpointTag returns the part of a checkpoint that tells which tasks it is for.
func checkpointTag(key string) uint32 { return crc32.ChecksumIEEE([]byte(key)) }

// parseCheckpoint returns the work that a checkpoint stands for, and whether it is one for the tasks with a key.
func parseCheckpoint(checkpoint, key string) (time.Duration, bool) {
	var ms int64
	var tag uint32
	if n, err := fmt.Sscanf(checkpoint, "%08x%08x", &ms, &tag); n != 2 || err != nil || tag != checkpointTag(key) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// percent returns the progress of a run.
func (t *taskRun) percent(now time.Time) int {
	switch {
	case t.behaviour == TaskNeverEnds && now.Sub(t.startedAt) > startupTime:
		return 100
	case t.behaviour == TaskNeverEnds || t.need <= 0:
		return 0
	}
	return int(100 * t.worked(now) / t.need)
}
