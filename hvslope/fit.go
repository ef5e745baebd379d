package hvslope

import "slices"

// Line is a cost as a linear function of a size: Intercept + Slope * size.
type Line struct{ Intercept, Slope float64 }

// Fit returns the least-squares line through the points. If all x are equal,
// the line is constant at the mean of y.
func Fit(x, y []float64) Line {
	mx, my := mean(x), mean(y)
	var xy, xx float64
	for i := range x {
		xy += (x[i] - mx) * (y[i] - my)
		xx += (x[i] - mx) * (x[i] - mx)
	}
	if xx == 0 {
		return Line{Intercept: my}
	}
	each := xy / xx
	return Line{Intercept: my - each*mx, Slope: each}
}

func mean(v []float64) float64 {
	var total float64
	for _, x := range v {
		total += x
	}
	return total / float64(len(v))
}

func median(v []float64) float64 {
	v = slices.Sorted(slices.Values(v))
	return v[len(v)/2]
}
