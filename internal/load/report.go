package load

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"savoryhoist.example/savoryhoist/internal/problem"
)

// Modes and sizes of a report's files.
const (
	folderMode = 0o755
	fileMode   = 0o644
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
	// plotSlot is the time that one point of a plot over time stands for.
	plotSlot = 500 * time.Millisecond
)

// WriteReport writes result.json, report.md and the plots into folder.
func (s *Seen) WriteReport(folder string, r *Result) error {
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
	if err := os.WriteFile(filepath.Join(folder, "report.md"), []byte(s.markdown(r)), fileMode); err != nil {
		return err
	}
	if len(s.plan.Requests) == 0 {
		return nil
	}
	if err := s.plotTime(filepath.Join(folder, "latency-over-time.png")); err != nil {
		return err
	}
	return plotQuantiles(filepath.Join(folder, "latency-quantiles.png"), r)
}

func (s *Seen) markdown(r *Result) string {
	var b strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&b, format+"\n", args...) }
	line("# %s\n\n%s\n\nSeed %d, %s of load.\n", r.Name, strings.TrimSpace(s.plan.About), r.Seed, s.plan.Duration)
	if len(r.Requests) > 0 {
		line("| requests | variant | sent | answered | refused | unknown | p50 ms | p99 ms | p99.9 ms | max ms |")
		line("|---|---|---|---|---|---|---|---|---|---|")
	}
	for _, q := range r.Requests {
		line("| %s | %s | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.1f |", q.Stream, q.Variant, q.Sent, q.Answered,
			q.Refused, q.Unknown, q.P50, q.P99, q.P999, q.Most)
	}
	if len(r.Jobs) > 0 {
		line("\n| jobs | variant | submitted | accepted | succeeded | cancelled | failed | starts | p50 ms | max ms |")
		line("|---|---|---|---|---|---|---|---|---|---|")
	}
	for _, j := range r.Jobs {
		line("| %s | %s | %d | %d | %d | %d | %d | %d | %.0f | %.0f |", j.Stream, j.Variant, j.Submitted, j.Accepted,
			j.Succeeded, j.Cancelled, j.Failed, j.Starts, j.P50, j.Most)
	}
	for _, q := range r.Ratios {
		line("\nRatio to the baseline of %s: p50 %.2f, p99 %.2f.", q.Stream, q.P50, q.P99)
	}
	line("\n%d appends to the log.\n", r.Appends)
	if len(r.Violations) == 0 {
		line("No promise was broken.")
	}
	for _, v := range r.Violations {
		line("- broken: %s", v)
	}
	line("\n![latency over time](latency-over-time.png)\n\n![quantiles](latency-quantiles.png)")
	return b.String()
}

// plotTime draws the 99th percentile of each stream over time.
func (s *Seen) plotTime(path string) error {
	p := plot.New()
	p.Title.Text = s.plan.Name + ": 99th percentile by time of arrival"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "milliseconds"
	var lines []any
	for i := range s.plan.Requests {
		lines = append(lines, s.plan.Requests[i].Name, s.timePoints(i))
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func (s *Seen) timePoints(stream int) plotter.XYs {
	slots := make([]*hdrhistogram.Histogram, int(s.plan.Duration/plotSlot)+1)
	for i := range s.requests {
		q := &s.requests[i]
		if q.stream != stream || q.outcome != problem.Run {
			continue
		}
		slot := int(q.due / plotSlot)
		if slots[slot] == nil {
			slots[slot] = newHistogram()
		}
		record(slots[slot], q.latency)
	}
	points := plotter.XYs{}
	for i, h := range slots {
		if h != nil {
			points = append(points, plotter.XY{X: (time.Duration(i) * plotSlot).Seconds(), Y: milliseconds(h, 99)})
		}
	}
	return points
}

// plotQuantiles draws each stream's latency by quantile.
func plotQuantiles(path string, r *Result) error {
	p := plot.New()
	p.Title.Text = r.Name + ": latency by quantile"
	p.X.Label.Text = "nines (1 is 90 %, 2 is 99 %)"
	p.Y.Label.Text = "milliseconds"
	quantiles := []float64{0, 50, 90, 99, 99.9}
	nines := []float64{0, 0.3, 1, 2, 3}
	var lines []any
	for i := range r.Requests {
		q := &r.Requests[i]
		points := make(plotter.XYs, len(quantiles))
		for k := range quantiles {
			points[k] = plotter.XY{X: nines[k], Y: milliseconds(q.histogram, quantiles[k])}
		}
		lines = append(lines, q.Stream+" "+q.Variant, points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
