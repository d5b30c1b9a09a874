package cli

import (
	"image/color"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	pb "github.com/stilemast/stilemast/src/api/stilemast/v1"
)

// Dimensions of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
	barWidth   = 12 // points
)

// plotBurn writes a PNG with one bar for each service level and window. A burn rate of 1 spends exactly the error
// budget.
func plotBurn(r *pb.BurnReply, file string) error {
	p := plot.New()
	p.Title.Text = "service-level burn"
	p.Y.Label.Text = "budget spent per unit of time"
	p.Y.Min = 0
	byWindow := map[string]plotter.Values{}
	var windows, levels []string
	for _, b := range r.GetWindows() {
		w := b.GetWindow().AsDuration().String()
		if byWindow[w] == nil {
			windows = append(windows, w)
		}
		byWindow[w] = append(byWindow[w], b.GetBurn())
		if len(levels) == 0 || levels[len(levels)-1] != b.GetLevel() {
			levels = append(levels, b.GetLevel())
		}
	}
	for i, w := range windows {
		bars, err := plotter.NewBarChart(byWindow[w], vg.Points(barWidth))
		if err != nil {
			return eris.Wrap(err, "plot")
		}
		bars.Color = color.Gray{Y: uint8(50 + 50*i)}
		bars.Offset = vg.Points(float64(barWidth * (i - len(windows)/2)))
		p.Add(bars)
		p.Legend.Add(w, bars)
	}
	p.Legend.Top = true
	p.NominalX(levels...)
	return eris.Wrap(p.Save(plotWidth, plotHeight, file), "write plot")
}
