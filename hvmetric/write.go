package hvmetric

import (
	"bufio"
	"fmt"
	"io"
	"sort"
	"strings"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
)

// quantiles are written for every histogram.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Write writes one line per series, sorted by name. Histograms are in
// microseconds.
func (r *Registry) Write(w io.Writer) error {
	var lines []string
	r.metrics.Each(func(name string, m any) {
		switch m := m.(type) {
		case metrics.Counter:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Count()))
		case metrics.Gauge:
			lines = append(lines, fmt.Sprintf("%s %d", name, m.Value()))
		case metrics.Histogram:
			lines = append(lines, histogramLines(name, m.Snapshot())...)
		}
	})
	sort.Strings(lines)
	b := bufio.NewWriter(w)
	for _, line := range lines {
		// bufio.Writer keeps the first error and returns it from Flush.
		_, _ = b.WriteString(line + "\n")
	}
	return errors.Wrap(b.Flush(), "write metrics")
}

func histogramLines(name string, h metrics.Histogram) []string {
	base, labels, _ := strings.Cut(strings.TrimSuffix(name, "}"), "{")
	lines := []string{
		fmt.Sprintf("%s_count{%s} %d", base, labels, h.Count()),
		fmt.Sprintf("%s_max{%s} %d", base, labels, h.Max()),
	}
	for i, v := range h.Percentiles(quantiles) {
		lines = append(lines, fmt.Sprintf("%s{%s,quantile=\"%g\"} %.0f", base, labels, quantiles[i], v))
	}
	return lines
}
