package hvdispatch

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Status codes that an upstream can answer with.
const (
	minStatus    = 200
	maxStatus    = 599
	serverErrors = 500
)

// errForeign marks an answer to another request.
var errForeign = errors.New("the answer belongs to another request")

// verify reports why an answer must not reach the caller of req.
func verify(req hv.Request, ans hv.Response) error {
	if ans.ID != req.ID {
		return errors.Wrapf(errForeign, "identifier %q", ans.ID)
	}
	switch ans.Outcome {
	case hv.NotRun, hv.Unknown:
		return nil
	case hv.Done:
		return whole(ans)
	}
	return errors.Errorf("outcome %q is unknown", ans.Outcome)
}

// whole reports what is missing from an answer that claims to be complete.
func whole(ans hv.Response) error {
	switch {
	case len(ans.Body) != ans.Length:
		return errors.Errorf("the answer has %d of %d bytes", len(ans.Body), ans.Length)
	case xxhash.Sum64(ans.Body) != ans.Checksum && (ans.Length > 0 || ans.Checksum != 0):
		// An empty body may come without a checksum.
		return errors.New("the checksum of the answer is wrong")
	case ans.Status < minStatus || ans.Status > maxStatus:
		return errors.Errorf("status %d is not one of an answer", ans.Status)
	}
	return nil
}
