package hvshed

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

const (
	// maxReturns bounds the refused jobs that a gate remembers: an outage of 6 s at
	// some hundred submissions a second.
	maxReturns = 4096
	// returnWindow is how long after its Retry-After a caller counts as returning.
	returnWindow = 30 * time.Second
)

// refusal is what is known of a job whose submission was refused.
type refusal struct {
	// first is when it was refused first, and due when its caller should return.
	first, due time.Time
	// uncertain is true if an append with the job was sent and got no response. The job
	// may be stored, so that no later refusal may say that it is not.
	uncertain bool
}

// Returns recognizes the callers that were refused and return: they submit a job with
// the same identifier. It is safe for concurrent use.
type Returns struct{ refused *lru.Cache[string, refusal] }

// NewReturns returns an empty set of refused jobs.
func NewReturns() *Returns {
	c, err := lru.New[string, refusal](maxReturns)
	if err != nil {
		// Only a size below 1 is an error.
		panic(err)
	}
	return &Returns{refused: c}
}

// Refuse records that a job was refused at now and that its caller should return at due.
func (r *Returns) Refuse(id string, now, due time.Time) {
	f := refusal{first: now, due: due}
	if old, ok := r.refused.Get(id); ok {
		f.uncertain = old.uncertain
		if now.Before(old.due.Add(returnWindow)) {
			f.first = old.first
		}
	}
	r.refused.Add(id, f)
}

// SetUncertain records that a job may be stored.
func (r *Returns) SetUncertain(id string) {
	f, _ := r.refused.Get(id)
	f.uncertain = true
	r.refused.Add(id, f)
}

// Uncertain reports whether a job may be stored although its caller got no success.
func (r *Returns) Uncertain(id string) bool {
	f, _ := r.refused.Get(id)
	return f.uncertain
}

// Since returns when a job was first refused. It returns the zero time if the job was
// not refused, or if its caller returns too early or too late to go before others.
func (r *Returns) Since(id string, now time.Time) time.Time {
	f, ok := r.refused.Get(id)
	if !ok || now.Before(f.due) || now.After(f.due.Add(returnWindow)) {
		return time.Time{}
	}
	return f.first
}

// Forget removes a job that was stored.
func (r *Returns) Forget(id string) { r.refused.Remove(id) }
