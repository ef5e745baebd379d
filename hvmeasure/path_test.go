package hvmeasure

import (
	"maps"
	"testing"
)

// Checks that a run depends only on its seed, that baseline and policy get the
// same arrivals, and that no request runs twice or is left without an outcome.
func TestPathRunIsRepeatable(t *testing.T) {
	for _, c := range pathCases {
		// Overload cases take the most time and cover no other code.
		if c.loads[0].load > 1 || len(c.loads) > 2 {
			continue
		}
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			t.Log("seed 7")
			first, second := runPath(c, Deployments[0], true, 7), runPath(c, Deployments[0], true, 7)
			if !maps.Equal(first, second) {
				t.Errorf("seed 7 gave %v, then %v", first, second)
			}
			base := runPath(c, Deployments[0], false, 7)
			if first["requests"] != base["requests"] || first["requests"] == 0 {
				t.Errorf("the policy got %v requests, the baseline %v", first["requests"], base["requests"])
			}
			for name, m := range map[string]metrics{"policy": first, "baseline": base} {
				if m["doubled"]+m["lost"]+m["violations"] > 0 {
					t.Errorf("%s: %v requests ran twice, %v lost, %v violations", name, m["doubled"], m["lost"], m["violations"])
				}
			}
		})
	}
}
