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
	// ErrWorkerCall means that the worker was not reached, refused the call or sent
	// a response that cannot be decoded.
	ErrWorkerCall = errors.New("call to the worker failed")
	// ErrTaskNotFound means that the worker has no such task.
	ErrTaskNotFound = errors.New("the worker has no such task")
)

// TaskState is a task's state on its worker.
type TaskState string

// The states of a task on its worker.
const (
	TaskRunning TaskState = "running"
	// TaskSuspended means that the task's lease has expired: the task keeps its
	// resources and makes no progress until the lease is renewed.
	TaskSuspended TaskState = "held"
	TaskSucceeded TaskState = "succeeded"
	TaskFailed    TaskState = "failed"
	TaskStopped   TaskState = "stopped"
)

// Ended reports whether the task has ended for good.
func (s TaskState) Ended() bool {
	return s == TaskSucceeded || s == TaskFailed || s == TaskStopped
}

// TaskList lists the tasks of a worker.
type TaskList struct {
	// Incarnation changes each time the worker loses its tasks.
	Incarnation string `json:"incarnation"`
	// UptimeMS is the worker's monotonic clock in milliseconds.
	UptimeMS int64 `json:"uptime-ms"`
	// Total is the worker's capacity.
	Total worker.Resources `json:"total"`
	Tasks []WorkerTask     `json:"tasks"`
}

// WorkerTask is one task on a worker.
type WorkerTask struct {
	Job   string           `json:"job"`
	Index uint32           `json:"index"`
	Epoch uint64           `json:"epoch"`
	Size  worker.Resources `json:"size"`
	State TaskState        `json:"state"`
	// CheckpointRef refers to the newest checkpoint of the task.
	CheckpointRef string `json:"ref,omitempty"`
	Detail        string `json:"detail,omitempty"`
	// LeaseEndMS is when the lease ends on the worker's clock, in milliseconds.
	LeaseEndMS int64 `json:"lease-end-ms"`
	// TakeoverMS is the task's takeover time in milliseconds. The worker stores it
	// for an agent that has restarted.
	TakeoverMS int64  `json:"takeover-ms"`
	Class      string `json:"class,omitempty"`
}

// Assignment identifies the assignment of the task to this worker.
func (t *WorkerTask) Assignment() record.AssignmentID {
	return record.AssignmentID{Task: record.TaskID{Job: t.Job, Index: t.Index}, Epoch: record.Position(t.Epoch)}
}

// StartOrder asks a worker to run a task.
type StartOrder struct {
	WorkerTask
	Payload []byte `json:"payload,omitempty"`
}

// LeaseRenewal extends the lease of a task.
type LeaseRenewal struct {
	Key string `json:"key"`
	// LeaseEndMS is the new end of the lease on the worker's clock, in milliseconds.
	LeaseEndMS int64 `json:"lease-end-ms"`
}

// Usage is the measured resource use of a worker. The measurement lags behind the actual use.
type Usage struct {
	Used worker.Resources `json:"used"`
	// Tasks holds the use of each task by its key.
	Tasks map[string]worker.Resources `json:"tasks"`
}

// Worker calls one worker of the platform.
type Worker struct {
	// List returns all tasks. Ended tasks are listed until they are removed.
	List func(ctx context.Context) (TaskList, error)
	// Start starts a task. It is idempotent for the same task key.
	Start func(ctx context.Context, order StartOrder) error
	// Renew extends the leases of tasks.
	Renew func(ctx context.Context, renewals []LeaseRenewal) error
	// Checkpoint saves a task's progress and returns a reference to the checkpoint.
	Checkpoint func(ctx context.Context, key string) (string, error)
	// Throttle limits a task to a percentage of its processor time.
	Throttle func(ctx context.Context, key string, percent int) error
	// Stop ends a task, which stays listed as stopped.
	Stop func(ctx context.Context, key string) error
	// Remove removes an ended task from the list.
	Remove func(ctx context.Context, key string) error
	// Usage returns the measured resource use; the measurement lags behind the actual use.
	Usage func(ctx context.Context) (Usage, error)
}

// NewWorker returns a client of the worker at baseURL.
func NewWorker(client *http.Client, baseURL string) Worker {
	c := workerClient{client: client, baseURL: baseURL}
	return Worker{
		List: func(ctx context.Context) (out TaskList, err error) {
			return out, c.call(ctx, http.MethodGet, "/tasks", nil, &out)
		},
		Start: func(ctx context.Context, order StartOrder) error {
			return c.call(ctx, http.MethodPost, "/tasks", order, nil)
		},
		Renew: func(ctx context.Context, renewals []LeaseRenewal) error {
			return c.call(ctx, http.MethodPost, "/renew", renewals, nil)
		},
		Checkpoint: func(ctx context.Context, key string) (string, error) {
			var out WorkerTask
			err := c.call(ctx, http.MethodPost, taskPath(key, "/checkpoint"), nil, &out)
			return out.CheckpointRef, err
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

// taskPath returns the URL path of a task, followed by action, which is "" or begins with a slash.
func taskPath(key, action string) string { return "/tasks/" + url.PathEscape(key) + action }

// workerTimeout bounds one call to the worker.
const workerTimeout = 2 * time.Second

type workerClient struct {
	client  *http.Client
	baseURL string
}

// call sends in as JSON to a path of the worker and decodes the JSON response into out, if out is
// not nil.
func (c *workerClient) call(ctx context.Context, method, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, workerTimeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return errors.Mark(err, ErrWorkerCall)
	}
	defer func() { _ = resp.Body.Close() }()
	defer discardRest(resp.Body)
	if resp.StatusCode == http.StatusNotFound {
		return errors.Wrapf(ErrTaskNotFound, "%s %s", method, path)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Wrapf(ErrWorkerCall, "%s %s: status %d", method, path, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return errors.Mark(json.NewDecoder(resp.Body).Decode(out), ErrWorkerCall)
}

// TaskKey returns the key of an assignment at its worker. The key contains the
// epoch, so that two assignments of a task are two tasks to the worker.
func TaskKey(h record.AssignmentID) string { return fmt.Sprintf("%s@%d", h.Task, h.Epoch) }
