package hvconf

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// Stream is the log stream that holds the settings.
	Stream = "config"
	// KindPublish is the record kind of a publication.
	KindPublish = "publish"
	// maxOutcomes bounds the number of publications whose outcomes are kept.
	maxOutcomes = 64
)

// Publication is the body of a publish record.
type Publication struct {
	// Base is the version that the publication is based on; 0 for the first one.
	Base   hv.Offset `json:"base"`
	Author string    `json:"author"`
	Files  Files     `json:"files"`
}

// Version is one accepted publication. Number is its offset; 0 means none.
type Version struct {
	Number   hv.Offset
	Author   string
	Settings *Settings
}

// Outcome is the result of the publication at an offset.
type Outcome struct {
	Offset hv.Offset `json:"offset"`
	// Version is the version in force after the record.
	Version hv.Offset    `json:"version"`
	Kind    hv.ErrorKind `json:"kind,omitempty"`
	// Reason is empty for an accepted publication.
	Reason string `json:"reason,omitempty"`
}

// Store holds the current version of the settings. Its state depends only on the
// records of the stream that it has applied.
type Store struct {
	violations hv.ViolationReporter

	mu       sync.Mutex
	current  Version
	files    Files
	outcomes []Outcome
	changed  chan struct{}
}

// NewStore returns a Store that holds no version yet.
func NewStore(violations hv.ViolationReporter) *Store {
	return &Store{violations: violations, current: Version{Settings: Default()}, changed: make(chan struct{})}
}

// Current returns the version in force. Before the first publication that is
// number 0 with the default settings.
func (st *Store) Current() Version {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.current
}

// Files returns the files of the version in force.
func (st *Store) Files() Files {
	st.mu.Lock()
	defer st.mu.Unlock()
	return maps.Clone(st.files)
}

// Changed returns a channel that is closed when the next version is in force.
func (st *Store) Changed() <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.changed
}

// Outcome returns the outcome of the publication at an offset. It reports false
// if the outcome is unknown or no longer kept.
func (st *Store) Outcome(offset hv.Offset) (Outcome, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, outcome := range st.outcomes {
		if outcome.Offset == offset {
			return outcome, true
		}
	}
	return Outcome{}, false
}

// Apply validates one record of the stream and puts its settings in force if it
// is valid.
func (st *Store) Apply(rec hv.Record) {
	if rec.Kind != KindPublish {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	outcome := Outcome{Offset: rec.Offset}
	p, s, err := st.validate(rec.Body)
	if err != nil {
		outcome.Kind, outcome.Reason = hv.KindOf(err), err.Error()
	} else {
		st.setCurrent(Version{Number: rec.Offset, Author: p.Author, Settings: s}, p.Files)
	}
	outcome.Version = st.current.Number
	st.outcomes = append(st.outcomes, outcome)
	if len(st.outcomes) > maxOutcomes {
		st.outcomes = st.outcomes[1:]
	}
}

// validate checks a publication. All readers of the stream must get the same
// result.
func (st *Store) validate(body []byte) (Publication, *Settings, error) {
	var p Publication
	if err := json.Unmarshal(body, &p); err != nil {
		return p, nil, &Error{Op: "publish", Kind: hv.Invalid, Err: err, Version: st.current.Number}
	}
	if p.Base != st.current.Number {
		return p, nil, st.conflictError(p.Base)
	}
	s, err := Check(p.Files)
	if err != nil {
		return p, nil, err
	}
	if n := countChangedGates(st.current.Settings.Gates, s.Gates); st.current.Number != 0 && n > 1 {
		return p, nil, errorf("publish", hv.Invalid,
			"gates: want at most one added, removed or changed gate in a publication, got %d", n)
	}
	return p, s, nil
}

func (st *Store) conflictError(base hv.Offset) error {
	e := errorf("publish", hv.Conflict, "based on version %d, but version %d by %q is in force",
		base, st.current.Number, st.current.Author).(*Error)
	e.Version = st.current.Number
	return e
}

// countChangedGates returns the number of gates that were added, removed or
// changed. Majorities of two lists that differ in only one gate have a gate in
// common.
func countChangedGates(from, to map[string]Gate) int {
	n := 0
	for name, g := range from {
		if to[name] != g {
			n++
		}
	}
	for name := range to {
		if _, ok := from[name]; !ok {
			n++
		}
	}
	return n
}

// setCurrent puts a version in force. The caller holds mu. The version changes
// only here, so invariant 9 is checked here.
func (st *Store) setCurrent(v Version, files Files) {
	if v.Number <= st.current.Number {
		st.violations(9, fmt.Sprintf("settings version %d would replace %d", v.Number, st.current.Number))
		return
	}
	st.current, st.files = v, files
	close(st.changed)
	st.changed = make(chan struct{})
}

// snapshot is the body of a snapshot record and of the response to a process that
// fetches the settings.
type snapshot struct {
	Version  hv.Offset `json:"version"`
	Author   string    `json:"author,omitempty"`
	Files    Files     `json:"files,omitempty"`
	Outcomes []Outcome `json:"verdicts,omitempty"`
}

// Snapshot returns the current version and the recent outcomes, encoded.
func (st *Store) Snapshot() ([]byte, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	return json.Marshal(snapshot{Version: st.current.Number, Author: st.current.Author, Files: st.files, Outcomes: st.outcomes})
}

// Restore replaces the state with a snapshot from the stream or from a peer.
func (st *Store) Restore(body []byte, _ hv.Offset) error {
	snap, s, err := decodeSnapshot(body)
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.outcomes = snap.Outcomes
	if snap.Version == st.current.Number {
		return nil
	}
	st.setCurrent(Version{Number: snap.Version, Author: snap.Author, Settings: s}, snap.Files)
	return nil
}

// Adopt takes over the version of a peer's snapshot if it is newer. A process
// that does not read the stream gets its settings only in this way.
func (st *Store) Adopt(body []byte) error {
	snap, s, err := decodeSnapshot(body)
	if err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if snap.Version > st.current.Number {
		st.setCurrent(Version{Number: snap.Version, Author: snap.Author, Settings: s}, snap.Files)
	}
	return nil
}

func decodeSnapshot(body []byte) (snapshot, *Settings, error) {
	var snap snapshot
	if err := json.Unmarshal(body, &snap); err != nil {
		return snap, nil, &Error{Op: "restore", Kind: hv.Invalid, Err: err}
	}
	if snap.Version == 0 {
		return snap, Default(), nil
	}
	s, err := Check(snap.Files)
	return snap, s, err
}
