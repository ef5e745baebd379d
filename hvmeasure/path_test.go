package hvmeasure

import (
	"maps"
	"testing"
)

// Guards against runs that depend on anything but their seed, against a
// baseline that meets other arrivals than the policy, and against requests
// that run twice or stay without an outcome.
func TestPathRunIsRepeatable(t *testing.T) {
	for _, c := range pathCases {
		// Floods take the most time and the same paths.
		if c.offers[0].load > 1 || len(c.offers) > 2 {
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
				t.Errorf("the policy met %v requests, the baseline %v", first["requests"], base["requests"])
			}
			for name, m := range map[string]metrics{"policy": first, "baseline": base} {
				if m["doubled"]+m["lost"]+m["violations"] > 0 {
					t.Errorf("%s: %v doubled, %v lost, %v violations", name, m["doubled"], m["lost"], m["violations"])
				}
			}
		})
	}
}
