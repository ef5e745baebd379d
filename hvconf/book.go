package hvconf

import (
	"encoding/json"
	"fmt"
	"maps"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// Stream is the stream of the settings.
	Stream = "config"
	// KindPublish is the kind of a publication.
	KindPublish = "publish"
	// maxVerdicts bounds the publications whose outcome is remembered.
	maxVerdicts = 64
)

// Publication is the body of a publish record.
type Publication struct {
	// Base is the version that the publication changes; 0 for the first one.
	Base   hv.Offset `json:"base"`
	Author string    `json:"author"`
	Files  Files     `json:"files"`
}

// Version is one accepted publication. Number 0 stands for none.
type Version struct {
	Number   hv.Offset
	Author   string
	Settings *Settings
}

// Outcome is the outcome of the publication at an offset.
type Outcome struct {
	Offset hv.Offset `json:"offset"`
	// Version is the version in force after the record.
	Version hv.Offset    `json:"version"`
	Kind    hv.ErrorKind `json:"kind,omitempty"`
	// Reason is empty for an accepted publication.
	Reason string `json:"reason,omitempty"`
}

// Store holds the current version. As the applier of the stream its state
// depends on the records only.
type Store struct {
	violations hv.ViolationReporter

	mu       sync.Mutex
	current  Version
	files    Files
	verdicts []Outcome
	changed  chan struct{}
}

// NewStore returns a book without a version.
func NewStore(violations hv.ViolationReporter) *Store {
	return &Store{violations: violations, current: Version{Settings: Default()}, changed: make(chan struct{})}
}

// Current returns the version in force; before the first publication it has
// the number 0 and the default settings.
func (b *Store) Current() Version {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.current
}

// Files returns the files of the version in force.
func (b *Store) Files() Files {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.files)
}

// Changed returns a channel that is closed when the next version is in force.
func (b *Store) Changed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.changed
}

// Outcome returns the outcome of the publication at an offset. It reports false
// for one that is not among the last of the stream.
func (b *Store) Outcome(offset hv.Offset) (Outcome, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, v := range b.verdicts {
		if v.Offset == offset {
			return v, true
		}
	}
	return Outcome{}, false
}

// Apply judges one record of the stream.
func (b *Store) Apply(rec hv.Record) {
	if rec.Kind != KindPublish {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	v := Outcome{Offset: rec.Offset}
	p, s, err := b.judge(rec.Body)
	if err != nil {
		v.Kind, v.Reason = hv.KindOf(err), err.Error()
	} else {
		b.set(Version{Number: rec.Offset, Author: p.Author, Settings: s}, p.Files)
	}
	v.Version = b.current.Number
	b.verdicts = append(b.verdicts, v)
	if len(b.verdicts) > maxVerdicts {
		b.verdicts = b.verdicts[1:]
	}
}

// judge is the rule for publications. Every reader comes to the same result.
func (b *Store) judge(body []byte) (Publication, *Settings, error) {
	var p Publication
	if err := json.Unmarshal(body, &p); err != nil {
		return p, nil, &Error{Op: "publish", Kind: hv.Invalid, Err: err, Version: b.current.Number}
	}
	if p.Base != b.current.Number {
		return p, nil, b.conflict(p.Base)
	}
	s, err := Check(p.Files)
	if err != nil {
		return p, nil, err
	}
	if n := changedGates(b.current.Settings.Gates, s.Gates); b.current.Number != 0 && n > 1 {
		return p, nil, errorf("publish", hv.Invalid,
			"gates: want at most one added, removed or changed gate in a publication, got %d", n)
	}
	return p, s, nil
}

func (b *Store) conflict(base hv.Offset) error {
	e := errorf("publish", hv.Conflict, "based on version %d, but version %d by %q is in force",
		base, b.current.Number, b.current.Author).(*Error)
	e.Version = b.current.Number
	return e
}

// changedGates counts the gates that differ. Majorities of two lists that
// differ in one gate have a gate in common.
func changedGates(from, to map[string]Gate) int {
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

// set puts a version in force. The caller holds mu. This is the one place where
// the version changes, so invariant 9 is asserted here.
func (b *Store) set(v Version, files Files) {
	if v.Number <= b.current.Number {
		b.violations(9, fmt.Sprintf("settings version %d would replace %d", v.Number, b.current.Number))
		return
	}
	b.current, b.files = v, files
	close(b.changed)
	b.changed = make(chan struct{})
}

// state is the body of a snapshot and of an answer to a process that asks for
// the settings.
type state struct {
	Version  hv.Offset `json:"version"`
	Author   string    `json:"author,omitempty"`
	Files    Files     `json:"files,omitempty"`
	Verdicts []Outcome `json:"verdicts,omitempty"`
}

// Snapshot returns the current version and the last outcomes.
func (b *Store) Snapshot() ([]byte, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return json.Marshal(state{Version: b.current.Number, Author: b.current.Author, Files: b.files, Verdicts: b.verdicts})
}

// Restore continues from a snapshot of the stream or of a peer.
func (b *Store) Restore(body []byte, _ hv.Offset) error {
	st, s, err := decodeState(body)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.verdicts = st.Verdicts
	if st.Version == b.current.Number {
		return nil
	}
	b.set(Version{Number: st.Version, Author: st.Author, Settings: s}, st.Files)
	return nil
}

// Adopt takes a version from a peer if it is newer. A process that does not
// read the stream gets its settings this way only.
func (b *Store) Adopt(body []byte) error {
	st, s, err := decodeState(body)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if st.Version > b.current.Number {
		b.set(Version{Number: st.Version, Author: st.Author, Settings: s}, st.Files)
	}
	return nil
}

func decodeState(body []byte) (state, *Settings, error) {
	var st state
	if err := json.Unmarshal(body, &st); err != nil {
		return st, nil, &Error{Op: "restore", Kind: hv.Invalid, Err: err}
	}
	if st.Version == 0 {
		return st, Default(), nil
	}
	s, err := Check(st.Files)
	return st, s, err
}
