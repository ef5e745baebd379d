package hvconf

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Appender appends a record to the stream of a Book and returns when the Book
// has applied it.
type Appender func(ctx context.Context, kind string, body json.RawMessage) (hv.Offset, error)

// Publish appends a publication and returns its version. An error of kind
// Conflict carries the version that won; after one of kind Uncertain the
// publication may be in force.
func Publish(ctx context.Context, b *Store, add Appender, p Publication) (hv.Offset, error) {
	body, err := json.Marshal(p)
	if err != nil {
		return 0, &Error{Op: "publish", Kind: hv.Invalid, Err: err}
	}
	if err := b.precheck(body); err != nil {
		return 0, err
	}
	offset, err := add(ctx, KindPublish, body)
	if err != nil {
		return 0, &Error{Op: "publish", Kind: hv.KindOf(err), Err: err}
	}
	v, ok := b.Outcome(offset)
	switch {
	case !ok:
		return 0, errorf("publish", hv.Uncertain, "the record at offset %d was read, but its outcome is no longer known", offset)
	case v.Reason != "":
		reason := strings.TrimPrefix(v.Reason, "settings publish: ")
		return 0, &Error{Op: "publish", Kind: v.Kind, Err: errors.New(reason), Version: v.Version}
	}
	return offset, nil
}

// precheck refuses a publication that would be refused anyway, without a record.
func (b *Store) precheck(body []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _, err := b.judge(body)
	return err
}
