// Package hvstream is a fake of the platform's log service: streams of records
// in memory behind HTTP, with faults that can be switched on.
package hvstream

import (
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Faults are the injected failures of the log service.
type Faults struct {
	// Unavailable makes every call fail with status 503.
	Unavailable bool `json:"down,omitempty"`
	// Delay delays every call.
	Delay hv.Duration `json:"slow,omitempty"`
	// DropAppendResponses is the number of next appends that take effect but get
	// no response.
	DropAppendResponses int `json:"lose,omitempty"`
	// MaxRecords limits each stream to that many latest records; 0 keeps all.
	MaxRecords int `json:"retain,omitempty"`
}

type stream struct {
	first   hv.Offset
	records []hv.Record
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
}

// Store holds the streams.
type Store struct {
	clock hv.Clock

	mu               sync.Mutex
	streams          map[string]*stream
	faults           Faults
	appends          int64
	droppedResponses int64
}

// New returns an empty store.
func New(clock hv.Clock) *Store {
	return &Store{clock: clock, streams: map[string]*stream{}}
}

// SetFaults replaces the injected failures.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	for _, st := range s.streams {
		s.applyRetention(st)
	}
}

// Faults returns the injected failures.
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

// DroppedResponses returns the number of appends whose response was dropped so
// far.
func (s *Store) DroppedResponses() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.droppedResponses
}

// Append adds a record. DropResponse reports that the response must not reach
// the writer.
func (s *Store) Append(name string, rec hv.Record) (off hv.Offset, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	rec.Offset = st.first + hv.Offset(len(st.records))
	rec.Time = s.clock.Now().UTC()
	st.records = append(st.records, rec)
	s.appends++
	s.applyRetention(st)
	close(st.appended)
	st.appended = make(chan struct{})
	if s.faults.DropAppendResponses > 0 {
		s.faults.DropAppendResponses--
		s.droppedResponses++
		dropResponse = true
	}
	return rec.Offset, dropResponse
}

// Read returns records from an offset on. If there are none yet, appended is
// closed by the next append.
func (s *Store) Read(name string, from hv.Offset, limit int) (page hv.Page, expired bool, appended <-chan struct{}) {
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
	return page, false, st.appended
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		// Offset 0 is not used, because settings version 0 means that nothing has
		// been published.
		st = &stream{first: 1, appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) applyRetention(st *stream) {
	if n := len(st.records) - s.faults.MaxRecords; s.faults.MaxRecords > 0 && n > 0 {
		st.first += hv.Offset(n)
		st.records = append([]hv.Record(nil), st.records[n:]...)
	}
}

// maxReadWait bounds the long poll of a read.
const maxReadWait = 10 * time.Second
