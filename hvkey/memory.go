package hvkey

import (
	"fmt"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// defaultKeys is the number of keys of the design.
	defaultKeys = 1 << 16
	// defaultBytes bounds the stored answers well below the 128 MB that a
	// daemon may use.
	defaultBytes = 32 << 20
	// defaultAnswer bounds one stored answer, so that a few large ones do not
	// use up the memory of all others.
	defaultAnswer = 256 << 10
)

// Config holds the bounds of a memory; zero values mean the defaults.
type Config struct {
	MaxKeys          int
	MaxBytes         int
	MaxResponseBytes int
}

func (c Config) withDefaults() Config {
	if c.MaxKeys <= 0 {
		c.MaxKeys = defaultKeys
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultBytes
	}
	if c.MaxResponseBytes <= 0 {
		c.MaxResponseBytes = defaultAnswer
	}
	return c
}

// Store is what a side remembers of the keys in its slots. It is safe for
// concurrent use.
type Store struct {
	config     Config
	clock      hv.Clock
	violations hv.ViolationReporter

	mu       sync.Mutex
	entries  map[string]*Entry
	finished []*Entry
	bytes    int
	slots    [SlotCount]ownership
	imported map[int]ownership
	pending  map[string]*transfer
	offset   hv.Offset
}

// Entry is one use of a key.
type Entry struct {
	key    string
	digest uint64
	done   chan struct{}
	answer hv.Response
	at     time.Time
}

// New returns an empty memory that serves no slots.
func New(config Config, clock hv.Clock, violations hv.ViolationReporter) *Store {
	return &Store{
		config: config.withDefaults(), clock: clock, violations: violations,
		entries:  make(map[string]*Entry),
		imported: make(map[int]ownership),
		pending:  make(map[string]*transfer),
	}
}

// Done is closed when the request with the key has ended.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Response returns the recorded answer when Done is closed.
func (e *Entry) Response() hv.Response { return e.answer }

// Begin decides what to do with a request that has a key. If first is true the
// request must run and Finish or Abandon must follow; otherwise its answer is
// that of the entry, which may still run. Digest identifies the content of the
// request. An error of kind Uncertain means that an earlier request with the
// key may have run; any other error that this request was not run.
func (m *Store) Begin(key string, digest uint64) (e *Entry, first bool, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(key) > maxKeyBytes {
		return nil, false, errorf("begin", hv.Invalid, "the key is longer than %d bytes", maxKeyBytes)
	}
	now := m.clock.Now()
	if err := m.serves(key, now); err != nil {
		return nil, false, err
	}
	if e := m.entries[key]; e != nil {
		if e.digest != digest {
			return nil, false, errorf("begin", hv.Conflict, "the key was used for another request")
		}
		return e, false, nil
	}
	if err := m.fresh(key, now); err != nil {
		return nil, false, err
	}
	m.forget(now)
	if len(m.entries) >= m.config.MaxKeys {
		return nil, false, errorf("begin", hv.Full, "the memory holds %d recent keys", len(m.entries))
	}
	return m.add(&Entry{key: key, digest: digest, done: make(chan struct{})}), true, nil
}

// fresh refuses a key that an earlier owner may have run or that this memory
// may have forgotten.
func (m *Store) fresh(key string, now time.Time) error {
	start := m.slots[SlotOf(key)].start
	at, ok := created(key)
	switch {
	case !ok && now.Sub(start) < Retention+MaxRequestDuration:
		return errorf("begin", hv.Uncertain, "the key has no creation time and its slot changed owner in the last %s", Retention+MaxRequestDuration)
	case ok && at.After(now.Add(MaxClockSkew)):
		return errorf("begin", hv.Invalid, "the creation time of the key lies in the future")
	case ok && at.Before(start.Add(MaxClockSkew)):
		return errorf("begin", hv.Uncertain, "the key is older than the ownership of its slot")
	case ok && now.Sub(at) > Retention:
		return errorf("begin", hv.Uncertain, "the key is older than %s", Retention)
	}
	return nil
}

// add is the only place where a key becomes running.
func (m *Store) add(e *Entry) *Entry {
	if m.entries[e.key] != nil || m.serves(e.key, m.clock.Now()) != nil {
		m.violations(6, fmt.Sprintf("key %q runs again or without ownership", e.key))
	}
	m.entries[e.key] = e
	return e
}

// CheckOwnership reports whether a request with the key may still start. It reads the
// clock again, so that a process that was paused notices the end of the lease.
func (m *Store) CheckOwnership(key string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.serves(key, m.clock.Now())
}

// Finish records the answer of the request that ran first.
func (m *Store) Finish(e *Entry, ans hv.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[e.key] != e || !e.running() {
		return
	}
	m.store(e, ans, m.clock.Now())
}

func (m *Store) store(e *Entry, ans hv.Response, at time.Time) {
	if len(ans.Body) > m.config.MaxResponseBytes || m.bytes+len(ans.Body) > m.config.MaxBytes {
		ans = hv.Response{ID: ans.ID, Outcome: hv.Unknown, Reason: fmt.Sprintf("the request ran; its answer of %d bytes was too large to keep", len(ans.Body))}
	}
	e.answer, e.at = ans, at
	m.bytes += len(ans.Body)
	m.finished = append(m.finished, e)
	close(e.done)
}

// Abandon forgets a key whose request was not run. Requests that wait for it
// were not run either.
func (m *Store) Abandon(e *Entry, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.entries[e.key] != e || !e.running() {
		return
	}
	delete(m.entries, e.key)
	e.answer = hv.Response{Outcome: hv.NotRun, Reason: reason}
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

// forget drops keys that finished longer ago than Retention. The clock error
// is added because a caller's clock may be ahead when it creates a key.
func (m *Store) forget(now time.Time) {
	for len(m.finished) > 0 {
		e := m.finished[0]
		if now.Sub(e.at) <= Retention+2*MaxClockSkew {
			return
		}
		m.finished = m.finished[1:]
		m.bytes -= len(e.answer.Body)
		delete(m.entries, e.key)
	}
}

// Size returns the number of remembered keys and the bytes of their answers.
func (m *Store) Size() (keys, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.entries), m.bytes
}
