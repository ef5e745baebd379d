package hventry

import (
	"context"

	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// maxSubmittedSpecs bounds the work descriptions of submissions that the replica may
// not hold yet, at 4 KB each. It covers the lag of the replica in a burst.
const maxSubmittedSpecs = 256

func newSubmittedSpecs() *lru.Cache[string, string] {
	c, err := lru.New[string, string](maxSubmittedSpecs)
	if err != nil {
		// Only a size below 1 is an error.
		panic(err)
	}
	return c
}

// serveSpec returns the work description of a job. The owner may start a job before
// the replica of the gate that accepted it has read it, so submissions count too;
// nodes compare the checksum with that of the stored job.
func (g *Gate) serveSpec(_ context.Context, _ *hvwire.Conn, q hvorder.SpecRequest) (hvorder.Spec, error) {
	if e, ok := g.replica.Job(q.Job); ok && e.Job.ID != "" {
		return hvorder.Spec{Text: e.Job.Spec}, nil
	}
	if text, ok := g.submitted.Get(q.Job); ok {
		return hvorder.Spec{Text: text}, nil
	}
	return hvorder.Spec{}, failure(hvorder.MethodSpec, hv.NotFound, "job %q is not known here", q.Job)
}
