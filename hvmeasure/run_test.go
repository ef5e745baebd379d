package hvmeasure

import (
	"maps"
	"testing"
	"time"
)

// Guards against runs that depend on anything but their seed, against hosts
// committed past their size, and against a baseline that meets other work than
// the policy.
func TestRunIsRepeatable(t *testing.T) {
	c := Cases[0]
	c.Duration = 2 * time.Minute
	for _, d := range Deployments {
		submitted := map[float64]bool{}
		for _, build := range []builder{baseline, policy} {
			first, second := Run(c, d, build, 7), Run(c, d, build, 7)
			if !maps.Equal(first, second) {
				t.Errorf("seed 7 gave %v, then %v", first, second)
			}
			submitted[first["submitted core-h"]] = true
			if first["violations"] > 0 {
				t.Errorf("%v hosts were committed past their size", first["violations"])
			}
			if first["completed"] == 0 {
				t.Error("no job was completed")
			}
		}
		if len(submitted) != 1 {
			t.Errorf("baseline and policy met different work: %v", submitted)
		}
	}
}
