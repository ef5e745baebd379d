package hvdispatch

import (
	"fmt"

	hv "hibiscusvane.example/hibiscusvane"
)

// pending is one request on its way. It belongs to one goroutine.
type pending struct {
	req        hv.Request
	violations func(invariant int, message string)
	// open counts dispatches that may have run or may still run.
	open      int
	concluded bool
}

func newPending(req hv.Request, violations func(int, string)) *pending {
	return &pending{req: req, violations: violations}
}

// sent records that the request is handed to a connection.
func (p *pending) sent() {
	if p.open > 0 {
		p.violate(6, "is sent again although it may have run")
	}
	p.open++
}

// disowned records the statement of a side that it did not and will not run
// the request.
func (p *pending) disowned() { p.open-- }

// conclude gives the request its outcome. An answer that would break an
// invariant is replaced by unknown.
func (p *pending) conclude(ans hv.Response) hv.Response {
	if p.concluded {
		p.violate(10, "got a second outcome")
	}
	p.concluded = true
	if err := verify(p.req, ans); err != nil {
		p.violate(4, err.Error())
		return unknown(p.req, err.Error())
	}
	if ans.Outcome == hv.NotRun && p.open > 0 {
		p.violate(5, "ended as not-run although it may have run")
		return unknown(p.req, "the request may have run")
	}
	if ans.Outcome == hv.NotRun && ans.RetryAfter <= 0 {
		ans.RetryAfter = hv.Duration(defaultRetry)
	}
	return ans
}

func (p *pending) violate(invariant int, what string) {
	p.violations(invariant, fmt.Sprintf("request %s: %s", p.req.ID, what))
}
