package hvinterference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against attributing an effect to a harmless program that runs beside a harmful
// one while the tail latency varies with the load of the service itself.
func TestChangesTellProgramsApart(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	c := NewChangeModel(Estimate{Mean: 0.05, Variance: 0.0144}, 0.0625)
	harmful, harmless := 0.0, 0.0
	last := math.NaN()
	for i := range 400 {
		a, b := 6*r.Float64(), 6*r.Float64()
		swing := 0.5 * math.Sin(float64(i)/28*2*math.Pi)
		tail := swing + 0.15*a + 0.1*r.NormFloat64()
		if i > 0 {
			c.Observe("s", map[string]float64{"harmful": a - harmful, "harmless": b - harmless}, tail-last)
		}
		harmful, harmless, last = a, b, tail
	}
	first, second := c.Effect("s", "harmful"), c.Effect("s", "harmless")
	if math.Abs(first.Mean-0.15) > 0.02 || math.Abs(second.Mean) > 0.02 {
		t.Fatalf("effects are %.3f and %.3f, want 0.15 and 0", first.Mean, second.Mean)
	}
	if s := math.Sqrt(second.Variance); s > 0.02 {
		t.Fatalf("standard deviation after 400 samples is %.3f, want at most 0.02", s)
	}
}

// Guards against an estimate for a program without samples that differs from the prior.
func TestUnknownProgramKeepsPrior(t *testing.T) {
	prior := Estimate{Mean: 0.05, Variance: 0.0144}
	c := NewChangeModel(prior, 0.0625)
	if got := c.Effect("s", "p"); got != prior {
		t.Fatalf("effect is %v", got)
	}
	c.Observe("s", map[string]float64{"other": 1}, 0.3)
	if got := c.Effect("s", "p"); got != prior {
		t.Fatalf("effect after a load change of another program is %v", got)
	}
}

func ExampleChangeModel() {
	c := NewChangeModel(Estimate{Mean: 0, Variance: 1}, 0.01)
	for range 20 {
		c.Observe("label-desk", map[string]float64{"report": 2}, 0.2)
	}
	fmt.Printf("%.2f\n", c.Effect("label-desk", "report").Mean)
	// Output: 0.10
}

// Guards against a restored model that loses the effects of the earlier one, or that no
// longer follows new samples.
func TestRestoredEffectsYield(t *testing.T) {
	prior := Estimate{Mean: 0.05, Variance: 0.0144}
	old := NewChangeModel(prior, 0.0625)
	for range 200 {
		old.Observe("s", map[string]float64{"p": 2}, 0.4)
	}
	c := NewChangeModel(prior, 0.0625)
	c.Restore(old.Effects())
	if got := c.Effect("s", "p").Mean; math.Abs(got-0.2) > 0.02 {
		t.Fatalf("restored effect is %.3f, want 0.2", got)
	}
	if got := c.Effects()["s"]["p"].Mean; math.Abs(got-0.2) > 0.02 {
		t.Fatalf("effect without new samples is %.3f in Effects, want 0.2", got)
	}
	for range 300 {
		c.Observe("s", map[string]float64{"p": 2}, 0)
	}
	if got := c.Effect("s", "p").Mean; math.Abs(got) > 0.03 {
		t.Fatalf("effect after 300 samples without one is %.3f, want 0", got)
	}
}

// Guards against estimates that change without their version, so that callers keep old
// ones, and against a version that changes with each sample.
func TestEstimatesChangeOnlyWithVersion(t *testing.T) {
	const samples = 3000
	r := rand.New(rand.NewPCG(3, 4))
	c := NewChangeModel(Estimate{Mean: 0.05, Variance: 0.0144}, 0.0625)
	known, version := map[[2]string]Estimate{}, c.Version()
	for range samples {
		loads := map[string]float64{}
		for range r.IntN(3) {
			loads[fmt.Sprint("p", r.IntN(8))] = r.NormFloat64()
		}
		c.Observe(fmt.Sprint("s", r.IntN(3)), loads, r.NormFloat64())
		if c.Version() != version {
			known, version = map[[2]string]Estimate{}, c.Version()
		}
		for range r.IntN(4) {
			pair := [2]string{fmt.Sprint("s", r.IntN(4)), fmt.Sprint("p", r.IntN(9))}
			got := c.Effect(pair[0], pair[1])
			if want, ok := known[pair]; ok && got != want {
				t.Fatalf("effect of %v is %v, was %v in the same version", pair, got, want)
			}
			known[pair] = got
		}
	}
	if most := int64(samples/solveInterval + 3*8); version > most {
		t.Errorf("version changes %d times with %d samples, want at most %d", version, samples, most)
	}
}
