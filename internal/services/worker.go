package services

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Errors returned by the functions of Worker.
var (
	// ErrWorker means that the worker did not take the call.
	ErrWorker = errors.New("the worker did not take the call")
	// ErrNoTask means that the worker has no such task.
	ErrNoTask = errors.New("the worker has no such task")
)

// TaskState is a task's state on its worker.
type TaskState string

// The states of a task on its worker.
const (
	TaskRunning TaskState = "running"
	// TaskHeld tasks have outlived their lease: they keep their resources and make no progress.
	TaskHeld      TaskState = "held"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
)

// Ended reports whether the task makes no progress any more.
func (s TaskState) Ended() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskStopped
}

// Listing is what a worker runs.
type Listing struct {
	// Incarnation changes when the worker has lost its tasks.
	Incarnation string `json:"incarnation"`
	// UptimeMS is the worker's monotonic clock in milliseconds.
	UptimeMS int64            `json:"uptime-ms"`
	Total    worker.Resources `json:"total"`
	Tasks    []WorkerTask     `json:"tasks"`
}

// WorkerTask is one task on a worker.
type WorkerTask struct {
	Job    string           `json:"job"`
	Index  uint32           `json:"index"`
	Epoch  uint64           `json:"epoch"`
	Size   worker.Resources `json:"size"`
	State  TaskState        `json:"state"`
	Ref    string           `json:"ref,omitempty"`
	Detail string           `json:"detail,omitempty"`
	// UntilMS is when the lease ends on the worker's clock.
	UntilMS int64 `json:"until-ms"`
	// TakeoverMS is the task's takeover time, kept for an agent that restarts.
	TakeoverMS int64  `json:"takeover-ms"`
	Class      string `json:"class,omitempty"`
}

// Hold returns the task's hold.
func (t *WorkerTask) Hold() record.AssignmentID {
	return record.AssignmentID{Task: record.TaskID{Job: t.Job, Index: t.Index}, Epoch: record.Position(t.Epoch)}
}

// StartOrder asks a worker to run a task.
type StartOrder struct {
	WorkerTask
	Payload []byte `json:"payload,omitempty"`
}

// Renewal extends the lease of a task.
type Renewal struct {
	Key     string `json:"key"`
	UntilMS int64  `json:"until-ms"`
}

// Usage is a worker's measured use, some time ago.
type Usage struct {
	Used  worker.Resources            `json:"used"`
	Tasks map[string]worker.Resources `json:"tasks"`
}

// Worker is the port to the platform's worker.
type Worker struct {
	// List returns all tasks, ended ones included until they are removed.
	List func(ctx context.Context) (Listing, error)
	// Start begins a task; repeating it for the same key is idempotent.
	Start func(ctx context.Context, order StartOrder) error
	// Renew sets leases.
	Renew func(ctx context.Context, renewals []Renewal) error
	// Checkpoint saves a task's progress and returns its reference.
	Checkpoint func(ctx context.Context, key string) (string, error)
	// Throttle limits a task to a percentage of its processors.
	Throttle func(ctx context.Context, key string, percent int) error
	// Stop ends a task; it stays listed as stopped.
	Stop func(ctx context.Context, key string) error
	// Remove drops an ended task from the list.
	Remove func(ctx context.Context, key string) error
	// Usage returns lagging measurements.
	Usage func(ctx context.Context) (Usage, error)
}

// NewWorker returns the worker port for the service at base.
func NewWorker(client *http.Client, base string) Worker {
	c := workerClient{client: client, base: base}
	return Worker{
		List: func(ctx context.Context) (out Listing, err error) {
			return out, c.call(ctx, http.MethodGet, "/tasks", nil, &out)
		},
		Start: func(ctx context.Context, order StartOrder) error {
			return c.call(ctx, http.MethodPost, "/tasks", order, nil)
		},
		Renew: func(ctx context.Context, renewals []Renewal) error {
			return c.call(ctx, http.MethodPost, "/renew", renewals, nil)
		},
		Checkpoint: func(ctx context.Context, key string) (string, error) {
			var out WorkerTask
			err := c.call(ctx, http.MethodPost, taskPath(key, "/checkpoint"), nil, &out)
			return out.Ref, err
		},
		Throttle: func(ctx context.Context, key string, percent int) error {
			return c.call(ctx, http.MethodPost, taskPath(key, "/throttle"), percent, nil)
		},
		Stop: func(ctx context.Context, key string) error {
			return c.call(ctx, http.MethodPost, taskPath(key, "/stop"), nil, nil)
		},
		Remove: func(ctx context.Context, key string) error {
			return c.call(ctx, http.MethodDelete, taskPath(key, ""), nil, nil)
		},
		Usage: func(ctx context.Context) (out Usage, err error) {
			return out, c.call(ctx, http.MethodGet, "/usage", nil, &out)
		},
	}
}

func taskPath(key, action string) string { return "/tasks/" + url.PathEscape(key) + action }

// workerTimeout bounds one call to a worker.
const workerTimeout = 2 * time.Second

type workerClient struct {
	client *http.Client
	base   string
}

func (c *workerClient) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Mark(err, ErrWorker)
	}
	defer func() { _ = resp.Body.Close() }()
	defer drain(resp.Body)
	if resp.StatusCode == http.StatusNotFound {
		return errors.Wrapf(ErrNoTask, "%s %s", method, path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrWorker, "%s %s: status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Mark(json.NewDecoder(resp.Body).Decode(out), ErrWorker)
}

// TaskKey names a task under one epoch, so that two epochs of a task are two
// tasks to the worker.
func TaskKey(h record.AssignmentID) string { return fmt.Sprintf("%s@%d", h.Task, h.Epoch) }
