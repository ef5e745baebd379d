package hvload

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Comparison holds latency quantiles of direct requests and of requests through
// gate and side, each the median over all rounds.
type Comparison struct {
	DirectP50, DirectP99 time.Duration
	GateP50, GateP99     time.Duration
}

// Compare sends idempotent requests alternately to the first upstream directly
// and through the first gate, in rounds of n each. Both paths are measured under
// the same load of the machine, so that their ratio is reproducible although the
// times are not.
func (l *Loader) Compare(ctx context.Context, rounds, n int) (Comparison, error) {
	if len(l.conf.Gates) == 0 || len(l.conf.Upstreams) == 0 || rounds < 1 || n < 1 {
		return Comparison{}, errors.New("want a gate, an upstream and positive numbers of rounds and requests")
	}
	var quantiles [4][]time.Duration
	for range rounds {
		var direct, gate []time.Duration
		for range n {
			d, err := l.timeRequest(ctx, l.conf.Upstreams[0]+"/print")
			if err != nil {
				return Comparison{}, err
			}
			g, err := l.timeRequest(ctx, l.conf.Gates[0]+"/v1/run/"+l.conf.Service+"/print")
			if err != nil {
				return Comparison{}, err
			}
			direct, gate = append(direct, d), append(gate, g)
		}
		for i, v := range []time.Duration{quantile(direct, 0.5), quantile(direct, 0.99), quantile(gate, 0.5), quantile(gate, 0.99)} {
			quantiles[i] = append(quantiles[i], v)
		}
	}
	return Comparison{quantile(quantiles[0], 0.5), quantile(quantiles[1], 0.5), quantile(quantiles[2], 0.5), quantile(quantiles[3], 0.5)}, nil
}

// quantile returns a quantile of durations, which it sorts.
func quantile(times []time.Duration, q float64) time.Duration {
	slices.Sort(times)
	return times[min(len(times)-1, int(q*float64(len(times))))]
}

func (l *Loader) timeRequest(ctx context.Context, url string) (time.Duration, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("print"))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Authorization", "Bearer "+l.conf.Token)
	r.Header.Set("Hv-Class", string(hv.Urgent))
	r.Header.Set("Hv-Idempotent", "true")
	start := time.Now()
	res, err := l.client.Do(r)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, 1<<20)); err != nil {
		return 0, err
	}
	if res.StatusCode != http.StatusOK {
		return 0, errors.Errorf("%s: status %d", url, res.StatusCode)
	}
	return time.Since(start), nil
}

// Write prints the comparison.
func (c Comparison) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "direct  p50 %s  p99 %s\ngate    p50 %s  p99 %s\nratio   p50 %.2f  p99 %.2f\nadded   p50 %s  p99 %s\n",
		c.DirectP50, c.DirectP99, c.GateP50, c.GateP99,
		float64(c.GateP50)/float64(c.DirectP50), float64(c.GateP99)/float64(c.DirectP99),
		c.GateP50-c.DirectP50, c.GateP99-c.DirectP99)
	return err
}
