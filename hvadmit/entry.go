package hvadmit

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Entry is a request whose caller does not block in Admit, such as one in a
// simulation under an injected clock.
type Entry struct {
	admit  *Admitter
	ticket *ticket
}

// Enqueue queues a request, or returns the retry time and the error of a
// refusal. Notify is called once, possibly before Enter returns: with nil at
// the admission or with the error that ended the wait. It must not call the
// admitter.
func (a *Admitter) Enqueue(req hv.Request, notify func(err error)) (*Entry, time.Duration, error) {
	t, v := a.enqueue(req, notify)
	if t == nil {
		return nil, v.retry, v.err
	}
	return &Entry{a, t}, 0, nil
}

// Cancel ends the wait of a request that was not admitted.
func (e *Entry) Cancel() { e.admit.cancel(e.ticket, "the deadline passed in the queue") }

// Release gives the slot of an admitted request back.
func (e *Entry) Release() { e.admit.release(e.ticket) }
