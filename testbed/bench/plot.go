package bench

import (
	"image/color"
	"slices"

	"github.com/rotisserie/eris"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Sizes of the plot and of one bar; barWidth is in points.
const (
	plotWidth  = 32 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
	barWidth   = 10
)

// barColors are the colors of the services; they repeat after the last one.
var barColors = []color.Color{
	color.RGBA{R: 31, G: 119, B: 180, A: 255},
	color.RGBA{R: 174, G: 199, B: 232, A: 255},
	color.RGBA{R: 255, G: 127, B: 14, A: 255},
	color.RGBA{R: 255, G: 187, B: 120, A: 255},
}

// WritePlot writes a bar chart of the largest ratio of fairness gap to bound,
// averaged over the repetitions, with one bar per service and variant. The
// extension of path selects the format.
func WritePlot(path string, results []*Result) error {
	var variants, services []string
	values := map[[2]string][]float64{}
	forEachService(results, func(r *Result, s *ServiceResult) {
		if !slices.Contains(variants, r.Variant) {
			variants = append(variants, r.Variant)
		}
		if !slices.Contains(services, s.Service) {
			services = append(services, s.Service)
		}
		key := [2]string{s.Service, r.Variant}
		values[key] = append(values[key], s.Gap.MaxBoundRatio)
	})
	p := plot.New()
	p.Title.Text = "Fairness gap as a fraction of the bound (design 6.3)"
	p.Y.Label.Text = "largest gap/bound"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, service := range services {
		var heights plotter.Values
		for _, variant := range variants {
			heights = append(heights, mean(values[[2]string{service, variant}]))
		}
		bars, err := plotter.NewBarChart(heights, vg.Points(barWidth))
		if err != nil {
			return eris.Wrap(err, "create bar chart")
		}
		bars.Color = barColors[i%len(barColors)]
		bars.Offset = vg.Points(barWidth * (float64(i) - float64(len(services)-1)/2))
		p.Add(bars)
		p.Legend.Add(service, bars)
	}
	p.NominalX(variants...)
	return eris.Wrap(p.Save(plotWidth, plotHeight, path), "write plot")
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(1, len(values)))
}
