package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/standin"
)

// ErrFault means that the stand-ins refused a change of their faults.
var ErrFault = errors.New("the stand-ins refused to inject a fault")

// injectFaults changes the faults of the stand-ins at the times that the plan
// gives, at the site of every variant.
func (r *Run) injectFaults(ctx context.Context) {
	for _, f := range r.settings.Plan.Faults {
		if !sleepUntil(ctx, r.startedAt.Add(f.At)) {
			return
		}
		for _, v := range r.settings.Variants {
			if err := r.injectFault(ctx, v.StandinURL, f); err != nil {
				r.addError(err)
			}
		}
		_, _ = fmt.Fprintf(r.settings.ProgressWriter, "%s: %s %v\n", r.settings.Plan.Name, f.Path, f.Set)
	}
}

// injectFault sends one change of faults to the stand-ins at baseURL.
func (r *Run) injectFault(ctx context.Context, baseURL string, f Fault) error {
	body, err := json.Marshal(f.Set)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, baseURL+"/"+f.Path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Wrapf(ErrFault, "%s: status %d", f.Path, resp.StatusCode)
	}
	return nil
}

// standinCounts returns the counts of the stand-ins at baseURL; they are empty if baseURL is.
func (r *Run) standinCounts(ctx context.Context, baseURL string) (standin.Counts, error) {
	var out standin.Counts
	if baseURL == "" {
		return out, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL+"/counts", http.NoBody)
	if err != nil {
		return out, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return out, err
	}
	defer func() { _ = resp.Body.Close() }()
	return out, json.NewDecoder(resp.Body).Decode(&out)
}
