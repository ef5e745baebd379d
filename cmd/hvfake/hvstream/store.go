// Package hvstream is a stand-in for the platform's log service: streams of
// records in memory behind HTTP, with faults that can be switched on.
package hvstream

import (
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Faults are the failures of the log service.
type Faults struct {
	// Unavailable answers every call with 503.
	Unavailable bool `json:"down,omitempty"`
	// Delay delays every call.
	Delay hv.Duration `json:"slow,omitempty"`
	// DropAppendResponses drops the answers of the next appends after the write took effect.
	DropAppendResponses int `json:"lose,omitempty"`
	// MaxRecords limits each stream to its newest records; 0 keeps all.
	MaxRecords int `json:"retain,omitempty"`
}

type stream struct {
	first   hv.Offset
	records []hv.Record
	// grown is closed and replaced when a record is appended.
	grown chan struct{}
}

// Store holds the streams.
type Store struct {
	clock hv.Clock

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
	appends int64
	lost    int64
}

// New returns an empty store.
func New(clock hv.Clock) *Store {
	return &Store{clock: clock, streams: map[string]*stream{}}
}

// SetFaults replaces the failures.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		s.expire(st)
	}
}

// Faults returns the failures in effect.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Appends returns the number of records appended so far.
func (s *Store) Appends() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends
}

// DroppedResponses returns the number of appends whose answer was dropped so far.
func (s *Store) DroppedResponses() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// Append adds a record. Lost reports that the answer must not reach the
// writer.
func (s *Store) Append(name string, rec hv.Record) (off hv.Offset, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	rec.Offset = st.first + hv.Offset(len(st.records))
	rec.Time = s.clock.Now().UTC()
	st.records = append(st.records, rec)
	s.appends++
	s.expire(st)
	close(st.grown)
	st.grown = make(chan struct{})
	if s.faults.DropAppendResponses > 0 {
		s.faults.DropAppendResponses--
		s.lost++
		lost = true
	}
	return rec.Offset, lost
}

// Read returns records from an offset on. If there are none yet, grown is
// closed with the next append.
func (s *Store) Read(name string, from hv.Offset, limit int) (page hv.Page, expired bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	page = hv.Page{First: st.first, Next: st.first + hv.Offset(len(st.records))}
	if from < st.first {
		return page, true, nil
	}
	if start := int(from - st.first); start < len(st.records) {
		page.Records = append(page.Records, st.records[start:min(len(st.records), start+limit)]...)
	}
	return page, false, st.grown
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		// Offset 0 is not used, as a settings version of 0 stands for none.
		st = &stream{first: 1, grown: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) expire(st *stream) {
	if n := len(st.records) - s.faults.MaxRecords; s.faults.MaxRecords > 0 && n > 0 {
		st.first += hv.Offset(n)
		st.records = append([]hv.Record(nil), st.records[n:]...)
	}
}

// maxWait bounds a read that waits for records.
const maxWait = 10 * time.Second
