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

// ErrFault means that a fault could not be switched.
var ErrFault = errors.New("the stand-ins refused a fault")

// switchFaults switches the plan's faults at their moments, at every variant's site.
func (r *Run) switchFaults(ctx context.Context) {
	for _, f := range r.settings.Plan.Faults {
		if !pauseUntil(ctx, r.start.Add(f.At)) {
			return
		}
		for _, v := range r.settings.Variants {
			if err := r.switchFault(ctx, v.Standin, f); err != nil {
				r.fail(err)
			}
		}
		_, _ = fmt.Fprintf(r.settings.Progress, "%s: %s %v\n", r.settings.Plan.Name, f.Path, f.Set)
	}
}

func (r *Run) switchFault(ctx context.Context, base string, f Fault) error {
	body, err := json.Marshal(f.Set)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, base+"/"+f.Path, bytes.NewReader(body))
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

// counts asks a site's stand-ins what they have seen.
func (r *Run) counts(ctx context.Context, base string) (standin.Counts, error) {
	var out standin.Counts
	if base == "" {
		return out, nil
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/counts", http.NoBody)
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
