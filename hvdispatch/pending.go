package hvdispatch

import (
	"fmt"

	hv "hibiscusvane.example/hibiscusvane"
)

// pendingRequest tracks one request until it has an outcome. It is not safe for
// concurrent use.
type pendingRequest struct {
	req        hv.Request
	violations func(invariant int, message string)
	// possibleRuns counts the dispatches that may have run or may still run.
	possibleRuns int
	concluded    bool
}

func newPendingRequest(req hv.Request, violations func(int, string)) *pendingRequest {
	return &pendingRequest{req: req, violations: violations}
}

// markSent records that the request is handed to a connection.
func (p *pendingRequest) markSent() {
	if p.possibleRuns > 0 {
		p.reportViolation(6, "is sent again although it may have run")
	}
	p.possibleRuns++
}

// markNotRun records that a side did not run the request and will not run it.
func (p *pendingRequest) markNotRun() { p.possibleRuns-- }

// conclude sets the outcome of the request. It replaces a response that would
// violate an invariant by one with the outcome unknown.
func (p *pendingRequest) conclude(resp hv.Response) hv.Response {
	if p.concluded {
		p.reportViolation(10, "got a second outcome")
	}
	p.concluded = true
	if err := verify(p.req, resp); err != nil {
		p.reportViolation(4, err.Error())
		return unknown(p.req, err.Error())
	}
	if resp.Outcome == hv.NotRun && p.possibleRuns > 0 {
		p.reportViolation(5, "ended as not-run although it may have run")
		return unknown(p.req, "the request may have run")
	}
	if resp.Outcome == hv.NotRun && resp.RetryAfter <= 0 {
		resp.RetryAfter = hv.Duration(defaultRetryAfter)
	}
	return resp
}

func (p *pendingRequest) reportViolation(invariant int, problem string) {
	p.violations(invariant, fmt.Sprintf("request %s: %s", p.req.ID, problem))
}
