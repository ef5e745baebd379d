package hvkey

import (
	"fmt"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// defaultMaxKeys is the number of keys of the design.
	defaultMaxKeys = 1 << 16
	// defaultMaxBytes bounds the stored answers well below the 128 MB that a
	// daemon may use.
	defaultMaxBytes = 32 << 20
	// defaultMaxResponseBytes bounds one stored answer, so that a few large ones do not
	// use up the memory of all others.
	defaultMaxResponseBytes = 256 << 10
)

// Config holds the bounds of a memory; zero values mean the defaults.
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

// Store is what a side remembers of the keys in its slots. It is safe for
// concurrent use.
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

// Entry is one use of a key.
type Entry struct {
	key        string
	digest     uint64
	done       chan struct{}
	response   hv.Response
	finishedAt time.Time
}

// New returns an empty memory that serves no slots.
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

// Response returns the recorded answer when Done is closed.
func (e *Entry) Response() hv.Response { return e.response }

// Begin decides what to do with a request that has a key. If first is true the
// request must run and Finish or Abandon must follow; otherwise its answer is
// that of the entry, which may still run. Digest identifies the content of the
// request. An error of kind Uncertain means that an earlier request with the
// key may have run; any other error that this request was not run.
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
		return nil, false, errorf("begin", hv.Full, "the memory holds %d recent keys", len(st.entries))
	}
	return st.add(&Entry{key: key, digest: digest, done: make(chan struct{})}), true, nil
}

// checkAge refuses a key that an earlier owner may have run or that this memory
// may have forgotten.
func (st *Store) checkAge(key string, now time.Time) error {
	start := st.slots[SlotOf(key)].completeSince
	created, ok := creationTime(key)
	switch {
	case !ok && now.Sub(start) < Retention+MaxRequestDuration:
		return errorf("begin", hv.Uncertain, "the key has no creation time and its slot changed owner in the last %s", Retention+MaxRequestDuration)
	case ok && created.After(now.Add(MaxClockSkew)):
		return errorf("begin", hv.Invalid, "the creation time of the key lies in the future")
	case ok && created.Before(start.Add(MaxClockSkew)):
		return errorf("begin", hv.Uncertain, "the key is older than the ownership of its slot")
	case ok && now.Sub(created) > Retention:
		return errorf("begin", hv.Uncertain, "the key is older than %s", Retention)
	}
	return nil
}

// add is the only place where a key becomes running.
func (st *Store) add(e *Entry) *Entry {
	if st.entries[e.key] != nil || st.checkServed(e.key, st.clock.Now()) != nil {
		st.violations(6, fmt.Sprintf("key %q runs again or without ownership", e.key))
	}
	st.entries[e.key] = e
	return e
}

// CheckOwnership reports whether a request with the key may still start. It reads the
// clock again, so that a process that was paused notices the end of the lease.
func (st *Store) CheckOwnership(key string) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.checkServed(key, st.clock.Now())
}

// Finish records the answer of the request that ran first.
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
		resp = hv.Response{ID: resp.ID, Outcome: hv.Unknown, Reason: fmt.Sprintf("the request ran; its answer of %d bytes was too large to keep", len(resp.Body))}
	}
	e.response, e.finishedAt = resp, finishedAt
	st.responseBytes += len(resp.Body)
	st.finished = append(st.finished, e)
	close(e.done)
}

// Abandon forgets a key whose request was not run. Requests that wait for it
// were not run either.
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

// removeExpired drops keys that finished longer ago than Retention. The clock error
// is added because a caller's clock may be ahead when it creates a key.
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

// Size returns the number of remembered keys and the bytes of their answers.
func (st *Store) Size() (keys, bytes int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.entries), st.responseBytes
}
