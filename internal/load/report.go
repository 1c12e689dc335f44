package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// Modes of a report's directory and files.
const (
	folderMode = 0o755
	fileMode   = 0o644
)

// Names of the plots that tools/plot draws from result.json.
const (
	SeriesPlot    = "latency-over-time.png"
	QuantilesPlot = "latency-quantiles.png"
)

// WriteReport writes the result r to result.json and, as a page to read, to report.md in folder.
func (s *Observations) WriteReport(folder string, r *Result) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "result.json"), append(data, '\n'), fileMode); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(folder, "report.md"), []byte(s.markdown(r)), fileMode)
}

// markdown returns the content of report.md.
func (s *Observations) markdown(r *Result) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("# %s\n\n%s\n\nSeed %d, %s of load.\n", r.Name, strings.TrimSpace(s.plan.Description), r.Seed, s.plan.Duration)
	if len(r.Requests) > 0 {
		line("| requests | variant | sent | answered | refused | unknown | p50 ms | p99 ms | p99.9 ms | max ms |")
		line("|---|---|---|---|---|---|---|---|---|---|")
	}
	for _, q := range r.Requests {
		line("| %s | %s | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.1f |", q.Stream, q.Variant, q.Sent, q.Answered,
			q.Refused, q.Unknown, q.P50MS, q.P99MS, q.P999MS, q.MaxMS)
	}
	if len(r.Jobs) > 0 {
		line("\n| jobs | variant | submitted | accepted | succeeded | cancelled | failed | starts | p50 ms | max ms |")
		line("|---|---|---|---|---|---|---|---|---|---|")
	}
	for _, j := range r.Jobs {
		line("| %s | %s | %d | %d | %d | %d | %d | %d | %.0f | %.0f |", j.Stream, j.Variant, j.Submitted, j.Accepted,
			j.Succeeded, j.Cancelled, j.Failed, j.Starts, j.P50MS, j.MaxMS)
	}
	for _, q := range r.Ratios {
		line("\nRatio to the baseline of %s: p50 %.2f, p99 %.2f.", q.Stream, q.P50, q.P99)
	}
	line("\n%d appends to the log.\n", r.Appends)
	if len(r.Violations) == 0 {
		line("No guarantee was violated.")
	}
	for _, v := range r.Violations {
		line("- violated: %s", v)
	}
	line("\n![latency over time](%s)\n\n![quantiles](%s)", SeriesPlot, QuantilesPlot)
	return b.String()
}
