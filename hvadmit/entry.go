package hvadmit

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Entry is a request whose caller does not block in Admit, for simulations with
// an injected clock.
type Entry struct {
	admitter *Admitter
	ticket   *ticket
}

// Enqueue queues a request, or returns the retry time and the error of a
// refusal. For a queued request, notify is called once, possibly before Enqueue
// returns: with nil when the request is admitted, or with the error that ended
// its wait. It must not call the admitter, whose lock is held.
func (a *Admitter) Enqueue(req hv.Request, notify func(err error)) (*Entry, time.Duration, error) {
	t, v := a.enqueue(req, notify)
	if t == nil {
		return nil, v.retryAfter, v.err
	}
	return &Entry{a, t}, 0, nil
}

// Cancel ends the wait of a request that was not admitted yet.
func (e *Entry) Cancel() { e.admitter.cancel(e.ticket, "the deadline passed in the queue") }

// Release releases the slot of an admitted request.
func (e *Entry) Release() { e.admitter.release(e.ticket) }
