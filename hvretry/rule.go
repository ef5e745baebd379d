package hvretry

import (
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
)

// MaxAttempts bounds the dispatches of one request.
const MaxAttempts = 3

// Allowed reports whether an answer permits another dispatch at all. A request
// that may have run is never sent again.
func Allowed(ans hv.Response, attempts int) bool {
	return ans.Outcome == hv.NotRun && attempts < MaxAttempts
}

// Untried returns the targets on hosts that have not been tried. A side that
// has settled a request bars its identifier, so the same host can't take it.
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
