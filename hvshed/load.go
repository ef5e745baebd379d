package hvshed

import (
	"time"

	"github.com/pkg/errors"
)

const (
	// MaxRecords limits the records of callers in one append, and MaxBytes their
	// total size: the platform's store accepts 2 MB a call, which they share with
	// the progress of jobs.
	MaxRecords = 200
	MaxBytes   = 512 << 10
	// MaxQueued limits the records that wait for the next append.
	MaxQueued = 2000
	// appendInterval is the time between two appends of the owner.
	appendInterval = 25 * time.Millisecond
)

// Load is what a process that appends records for others reports about the wait for
// its next append.
type Load struct {
	// ResponseMS is the moving quantile of the response times of the store.
	ResponseMS int64 `json:"response_ms,omitempty"`
	// AgeMS is the age of the append in progress, or 0.
	AgeMS int64 `json:"age_ms,omitempty"`
	// Records and Bytes are what waits for the next append.
	Records int `json:"records,omitempty"`
	Bytes   int `json:"bytes,omitempty"`
}

// Check returns an error if a field has a value that no process reports.
func (l Load) Check() error {
	if l.ResponseMS < 0 || l.AgeMS < 0 || l.Records < 0 || l.Bytes < 0 {
		return errors.Errorf("load %+v: want no negative value", l)
	}
	return nil
}

// Response returns the expected response time of an append. An append in progress that
// has taken longer than usual raises it.
func (l Load) Response() time.Duration {
	return max(time.Duration(l.ResponseMS), time.Duration(l.AgeMS)) * time.Millisecond
}

// rest returns the expected time to the end of the append in progress. An overdue one
// is expected to need a further half of its age.
func (l Load) rest() time.Duration {
	switch {
	case l.AgeMS <= 0:
		return 0
	case l.AgeMS < l.ResponseMS:
		return time.Duration(l.ResponseMS-l.AgeMS) * time.Millisecond
	}
	return time.Duration(l.AgeMS) * time.Millisecond / 2
}

// Wait returns the expected time until a record is stored that is added to the queue
// now. A record that goes first waits only for the append in progress.
func (l Load) Wait(first bool) time.Duration {
	each := l.Response() + appendInterval
	wait := l.rest() + each
	if !first {
		wait += time.Duration(max(l.Records/MaxRecords, l.Bytes/MaxBytes)) * each
	}
	return wait
}
