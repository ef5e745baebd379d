package hvlog

import (
	"context"
	"time"

	kitlog "github.com/go-kit/log"
)

const (
	// snapshotRecords bounds the records that a new reader applies after a snapshot.
	snapshotRecords = 2000
	// snapshotShare of the retention time may pass between two snapshots, so
	// that three can fail before records expire that no snapshot covers.
	snapshotShare = 4
	// snapshotSpread is the part of a threshold that is taken off at random, so
	// that one of several processes is first and the others see its snapshot.
	snapshotSpread = 0.25
	// snapshotTimeout ends an append during an outage, so that a fresh snapshot
	// is taken afterwards. An old one could continue from expired records only.
	snapshotTimeout = 30 * time.Second
	// snapshotChecks is the number of checks in the longest time between snapshots.
	snapshotChecks = 64
	// snapshotPause bounds the time between checks. It is below the longest time
	// between snapshots for the shortest retention time of 1 min, so that a
	// shorter retention is in force before records expire.
	snapshotPause = 10 * time.Second
)

// Schedule tells when the next snapshot of a stream is due.
type Schedule struct {
	retention func() time.Duration
	// keep is the part of a threshold that remains after the spread.
	keep    float64
	records int
}

// NewSchedule returns a schedule for records that are kept for a retention
// time, which may change. Every process has its own random thresholds.
func NewSchedule(retention func() time.Duration, jitter func() float64) Schedule {
	keep := 1 - snapshotSpread*jitter()
	return Schedule{retention: retention, keep: keep, records: int(snapshotRecords * keep)}
}

// age is the longest time between two snapshots.
func (s Schedule) age() time.Duration {
	return time.Duration(float64(s.retention()/snapshotShare) * s.keep)
}

// Due reports whether a snapshot is due. The age counts from the record's time
// or from when it was read, whichever is earlier, so that a difference between
// the clocks of the log and of this host does not delay it.
func (s Schedule) Due(now time.Time, st Status) bool {
	if !st.Loaded || st.Next == FirstOffset {
		return false
	}
	return st.RecordsSinceSnapshot >= s.records || now.Sub(st.SnapshotTime) >= s.age() || now.Sub(st.SnapshotRead) >= s.age()
}

// SnapshotWriter writes the snapshots of one stream.
type SnapshotWriter struct {
	writer   *Writer
	schedule Schedule
	kind     string
	may      func() bool
	logger   kitlog.Logger
}

// NewSnapshotWriter returns a task that writes snapshot records of a kind while may
// returns true.
func NewSnapshotWriter(w *Writer, s Schedule, kind string, may func() bool, logger kitlog.Logger) *SnapshotWriter {
	return &SnapshotWriter{writer: w, schedule: s, kind: kind, may: may, logger: logger}
}

// Run checks the schedule until ctx ends.
func (s *SnapshotWriter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause(ctx, max(min(s.schedule.age()/snapshotChecks, snapshotPause), 10*time.Millisecond))
		f := s.writer.cfg.Follower
		if !s.may() || !s.schedule.Due(s.writer.cfg.Clock.Now(), f.Status()) {
			continue
		}
		if err := s.write(ctx, f); err != nil && ctx.Err() == nil {
			_ = s.logger.Log("stream", s.writer.cfg.Stream, "msg", "snapshot not written", "err", err)
		}
	}
}

func (s *SnapshotWriter) write(ctx context.Context, f *Follower) error {
	_, body, err := f.Snapshot()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	_, err = s.writer.Append(ctx, Op{Kind: s.kind, Body: body, NoMerge: true})
	return err
}
