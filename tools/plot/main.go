// Command plot draws the plots for reports that savoryhoist load has written: its
// arguments are the folders of the reports. It is a separate program, so that the
// binary of the agents does not contain a plotting library.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"savoryhoist.example/savoryhoist/internal/load"
)

// Size of a plot.
const (
	width  = 7 * vg.Inch
	height = 4 * vg.Inch
)

func main() {
	for _, folder := range os.Args[1:] {
		if err := draw(folder); err != nil {
			fmt.Fprintln(os.Stderr, "plot:", err)
			os.Exit(1)
		}
	}
}

// draw draws the two plots of the report in folder: latency over time and latency by quantile.
func draw(folder string) error {
	data, err := os.ReadFile(filepath.Join(folder, "result.json"))
	if err != nil {
		return err
	}
	var r load.Result
	if err := json.Unmarshal(data, &r); err != nil {
		return err
	}
	series := plot.New()
	series.Title.Text = r.Name + ": 99th percentile by time of arrival"
	series.X.Label.Text = "seconds"
	err = save(series, filepath.Join(folder, load.SeriesPlot), &r, func(s *load.StreamResult) []load.Point { return s.Series })
	if err != nil {
		return err
	}
	quantiles := plot.New()
	quantiles.Title.Text = r.Name + ": latency by quantile"
	quantiles.X.Label.Text = "nines (1 is 90 %, 2 is 99 %)"
	return save(quantiles, filepath.Join(folder, load.QuantilesPlot), &r, func(s *load.StreamResult) []load.Point { return s.Quantiles })
}

// save draws one line for each stream and variant and writes the plot to path.
func save(p *plot.Plot, path string, r *load.Result, points func(*load.StreamResult) []load.Point) error {
	p.Y.Label.Text = "milliseconds"
	p.Legend.Top = true
	var lines []any
	for i := range r.Requests {
		s := &r.Requests[i]
		xy := plotter.XYs{}
		for _, point := range points(s) {
			xy = append(xy, plotter.XY(point))
		}
		lines = append(lines, s.Stream+" "+s.Variant, xy)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	return p.Save(width, height, path)
}
