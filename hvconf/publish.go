package hvconf

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Appender appends a record to the stream of a Store and returns once the Store
// has applied it.
type Appender func(ctx context.Context, kind string, body json.RawMessage) (hv.Offset, error)

// Publish appends a publication and returns its version. An error of kind
// Conflict carries the version that is in force instead. After an error of kind
// Uncertain the publication may be in force.
func Publish(ctx context.Context, store *Store, appendRecord Appender, p Publication) (hv.Offset, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return 0, &Error{Op: "publish", Kind: hv.Invalid, Err: err}
	}
	if err := store.precheck(body); err != nil {
		return 0, err
	}
	offset, err := appendRecord(ctx, KindPublish, body)
	if err != nil {
		return 0, &Error{Op: "publish", Kind: hv.KindOf(err), Err: err}
	}
	outcome, ok := store.Outcome(offset)
	switch {
	case !ok:
		return 0, errorf("publish", hv.Uncertain, "the record at offset %d was read, but its outcome is no longer known", offset)
	case outcome.Reason != "":
		reason := strings.TrimPrefix(outcome.Reason, "settings publish: ")
		return 0, &Error{Op: "publish", Kind: outcome.Kind, Err: errors.New(reason), Version: outcome.Version}
	}
	return offset, nil
}

// precheck validates a publication against the current version, so that an
// invalid one is refused without appending a record.
func (st *Store) precheck(body []byte) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, _, err := st.validate(body)
	return err
}
