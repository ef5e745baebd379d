package hvkey

import (
	"fmt"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// defaultMaxKeys is the number of keys that the design plans for.
	defaultMaxKeys = 1 << 16
	// defaultMaxBytes bounds the stored responses well below the 128 MB of
	// memory that a daemon may use.
	defaultMaxBytes = 32 << 20
	// defaultMaxResponseBytes bounds a single stored response, so that a few
	// large responses do not use up the space of all others.
	defaultMaxResponseBytes = 256 << 10
)

// Config holds the limits of a store. A value of zero means the default.
type Config struct {
	MaxKeys          int
	MaxBytes         int
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.MaxKeys <= 0 {
		c.MaxKeys = defaultMaxKeys
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultMaxResponseBytes
	}
	return c
}

// Store holds the idempotency keys of the slots that a side serves, with their
// responses. It is safe for concurrent use.
type Store struct {
	config     Config
	clock      hv.Clock
	violations hv.ViolationReporter

	mu            sync.Mutex
	entries       map[string]*Entry
	finished      []*Entry
	responseBytes int
	slots         [SlotCount]ownership
	imported      map[int]ownership
	transfers     map[string]*transfer
	grantOffset   hv.Offset
}

// Entry is the record of a key and its request.
type Entry struct {
	key        string
	digest     uint64
	done       chan struct{}
	response   hv.Response
	finishedAt time.Time
}

// New returns an empty store that serves no slots.
func New(config Config, clock hv.Clock, violations hv.ViolationReporter) *Store {
	return &Store{
		config: config.withDefaults(), clock: clock, violations: violations,
		entries:   make(map[string]*Entry),
		imported:  make(map[int]ownership),
		transfers: make(map[string]*transfer),
	}
}

// Done is closed when the request with the key has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Response returns the recorded response. It is valid once Done is closed.
func (e *Entry) Response() hv.Response { return e.response }

// Begin looks up the key of a request and adds it if it is new. If first is true,
// the caller must run the request and then call Finish or Abandon. Otherwise the
// request gets the response of the entry, whose own request may still be
// running. The digest identifies the content of the request. An error of kind
// Uncertain means that an earlier request with the key may have run; any other
// error means that this request was not run.
func (st *Store) Begin(key string, digest uint64) (e *Entry, first bool, err error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(key) > maxKeyBytes {
		return nil, false, errorf("begin", hv.Invalid, "the key is longer than %d bytes", maxKeyBytes)
	}
	now := st.clock.Now()
	if err := st.checkServed(key, now); err != nil {
		return nil, false, err
	}
	if e := st.entries[key]; e != nil {
		if e.digest != digest {
			return nil, false, errorf("begin", hv.Conflict, "the key was used for another request")
		}
		return e, false, nil
	}
	if err := st.checkAge(key, now); err != nil {
		return nil, false, err
	}
	st.removeExpired(now)
	if len(st.entries) >= st.config.MaxKeys {
		return nil, false, errorf("begin", hv.Full, "the key store is full with %d recent keys", len(st.entries))
	}
	return st.add(&Entry{key: key, digest: digest, done: make(chan struct{})}), true, nil
}

// checkAge refuses a key that an earlier owner may have run or that this store
// may have removed already.
func (st *Store) checkAge(key string, now time.Time) error {
	start := st.slots[SlotOf(key)].completeSince
	created, ok := creationTime(key)
	switch {
	case !ok && now.Sub(start) < Retention+MaxRequestDuration:
		return errorf("begin", hv.Uncertain, "the key has no creation time and its slot changed owner in the last %s", Retention+MaxRequestDuration)
	case ok && created.After(now.Add(MaxClockSkew)):
		return errorf("begin", hv.Invalid, "the creation time of the key is in the future")
	case ok && created.Before(start.Add(MaxClockSkew)):
		return errorf("begin", hv.Uncertain, "the key may have run at an earlier owner: it was created before the key records of its slot are complete")
	case ok && now.Sub(created) > Retention:
		return errorf("begin", hv.Uncertain, "the key is older than %s", Retention)
	}
	return nil
}

// add marks a key as running. No other function does.
func (st *Store) add(e *Entry) *Entry {
	if st.entries[e.key] != nil || st.checkServed(e.key, st.clock.Now()) != nil {
		st.violations(6, fmt.Sprintf("key %q runs again or without ownership", e.key))
	}
	st.entries[e.key] = e
	return e
}

// CheckOwnership returns an error if a request with the key may no longer start.
// It reads the clock again, so that a process that was paused since Begin notices
// that its lease has expired.
func (st *Store) CheckOwnership(key string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.checkServed(key, st.clock.Now())
}

// Finish records the response of the request that ran.
func (st *Store) Finish(e *Entry, resp hv.Response) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.entries[e.key] != e || !e.running() {
		return
	}
	st.complete(e, resp, st.clock.Now())
}

func (st *Store) complete(e *Entry, resp hv.Response, finishedAt time.Time) {
	if len(resp.Body) > st.config.MaxResponseBytes || st.responseBytes+len(resp.Body) > st.config.MaxBytes {
		resp = hv.Response{ID: resp.ID, Outcome: hv.Unknown, Reason: fmt.Sprintf("the request ran, but its response of %d bytes was too large to store", len(resp.Body))}
	}
	e.response, e.finishedAt = resp, finishedAt
	st.responseBytes += len(resp.Body)
	st.finished = append(st.finished, e)
	close(e.done)
}

// Abandon removes a key whose request was not run. Requests that wait for its
// response end as not run, too.
func (st *Store) Abandon(e *Entry, reason string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.entries[e.key] != e || !e.running() {
		return
	}
	delete(st.entries, e.key)
	e.response = hv.Response{Outcome: hv.NotRun, Reason: reason}
	close(e.done)
}

func (e *Entry) running() bool {
	select {
	case <-e.done:
		return false
	default:
		return true
	}
}

// removeExpired removes keys whose request ended longer ago than Retention. Twice
// the clock skew is added, because a caller's clock may be ahead when it creates
// a key.
func (st *Store) removeExpired(now time.Time) {
	for len(st.finished) > 0 {
		e := st.finished[0]
		if now.Sub(e.finishedAt) <= Retention+2*MaxClockSkew {
			return
		}
		st.finished = st.finished[1:]
		st.responseBytes -= len(e.response.Body)
		delete(st.entries, e.key)
	}
}

// Size returns the number of stored keys and the total bytes of their response
// bodies.
func (st *Store) Size() (keys, bytes int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.entries), st.responseBytes
}
