package hvlog

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Kinds of snapshot records. The follower handles them itself.
const (
	KindSnapshot = "snap"
	KindKeep     = "keep"
)

// image is the body of a snapshot record and of an answer to a peer: the state
// after all records before Asof. It carries the table of seen writers, so that
// a reader that starts from it drops the same duplicates as all others.
type image struct {
	AsOf  hv.Offset       `json:"asof"`
	State json.RawMessage `json:"state"`
	Time  time.Time       `json:"time,omitzero"`
	Seen  map[string]mark `json:"seen"`
}

func decodeImage(body []byte) (image, error) {
	var im image
	if err := json.Unmarshal(body, &im); err != nil {
		return im, &Error{Op: "decode snapshot", Kind: hv.Invalid, Err: err}
	}
	if im.AsOf < FirstOffset || len(im.State) == 0 {
		return im, errorf("decode snapshot", hv.Invalid, "asof %d: want at least %d and a state", im.AsOf, FirstOffset)
	}
	return im, nil
}

func (im image) seen() *seen {
	s := newSeen()
	s.now = im.Time
	for w, m := range im.Seen {
		s.marks[w] = m
	}
	return s
}

func encodeImage(next hv.Offset, state []byte, s *seen) ([]byte, error) {
	s.prune()
	body, err := json.Marshal(image{AsOf: next, State: state, Time: s.now, Seen: s.marks})
	return body, errors.Wrap(err, "encode snapshot")
}

// snapshotOf returns the image of a snapshot record. It reports false for
// other records and for one that claims to know records after itself.
func snapshotOf(rec hv.Record) (image, bool) {
	if !isSnapshot(rec) {
		return image{}, false
	}
	im, err := decodeImage(rec.Body)
	return im, err == nil && im.AsOf <= rec.Offset
}

func isSnapshot(rec hv.Record) bool { return rec.Kind == KindSnapshot || rec.Kind == KindKeep }
