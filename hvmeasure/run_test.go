package hvmeasure

import (
	"maps"
	"testing"
	"time"
)

// Checks that a run depends only on its seed, that no host is overcommitted,
// and that baseline and policy get the same work.
func TestRunIsRepeatable(t *testing.T) {
	c := Cases[0]
	c.Duration = 2 * time.Minute
	for _, d := range Deployments {
		submitted := map[float64]bool{}
		for _, build := range []variantBuilder{baseline, policy} {
			first, second := Run(c, d, build, 7), Run(c, d, build, 7)
			if !maps.Equal(first, second) {
				t.Errorf("seed 7 gave %v, then %v", first, second)
			}
			submitted[first["submitted core-h"]] = true
			if first["violations"] > 0 {
				t.Errorf("%v violations: hosts were committed beyond their capacity", first["violations"])
			}
			if first["completed"] == 0 {
				t.Error("no job was completed")
			}
		}
		if len(submitted) != 1 {
			t.Errorf("baseline and policy got different work, in submitted core-h: %v", submitted)
		}
	}
}
