package hvretry

import (
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
)

// MaxAttempts is the maximum number of dispatches of one request.
const MaxAttempts = 3

// Allowed reports whether a request with this response may be dispatched again,
// regardless of the budget. A request that may have run is never sent again.
func Allowed(resp hv.Response, attempts int) bool {
	return resp.Outcome == hv.NotRun && attempts < MaxAttempts
}

// Untried returns the targets on hosts that have not been tried. A side blocks
// the identifier of a request that it has settled as not run, so the same host
// can't run the request later.
func Untried(targets []hv.UpstreamView, tried []string) []hv.UpstreamView {
	if len(tried) == 0 {
		return targets
	}
	var rest []hv.UpstreamView
	for _, t := range targets {
		if !slices.Contains(tried, t.Host) {
			rest = append(rest, t)
		}
	}
	return rest
}
