package hvdispatch

import (
	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Valid status codes of upstream responses.
const (
	minStatus      = 200
	maxStatus      = 599
	minServerError = 500
)

// errOtherRequest is the cause of an error about a response to another request.
var errOtherRequest = errors.New("the response belongs to another request")

// verify returns an error if a response must not be returned to the caller of
// req.
func verify(req hv.Request, resp hv.Response) error {
	if resp.ID != req.ID {
		return errors.Wrapf(errOtherRequest, "identifier %q", resp.ID)
	}
	switch resp.Outcome {
	case hv.NotRun, hv.Unknown:
		return nil
	case hv.Done:
		return checkComplete(resp)
	}
	return errors.Errorf("outcome %q is unknown", resp.Outcome)
}

// checkComplete returns an error if a response with the outcome done is
// truncated, corrupted or has an invalid status.
func checkComplete(resp hv.Response) error {
	switch {
	case len(resp.Body) != resp.Length:
		return errors.Errorf("response truncated: got %d of %d bytes", len(resp.Body), resp.Length)
	case xxhash.Sum64(resp.Body) != resp.Checksum && (resp.Length > 0 || resp.Checksum != 0):
		// An empty body may have no checksum.
		return errors.New("response does not match its checksum")
	case resp.Status < minStatus || resp.Status > maxStatus:
		return errors.Errorf("invalid response status %d", resp.Status)
	}
	return nil
}
