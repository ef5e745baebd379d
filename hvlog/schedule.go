package hvlog

import (
	"context"
	"time"

	kitlog "github.com/go-kit/log"
)

const (
	// maxRecordsBetweenSnapshots bounds the number of records that a new reader
	// applies after a snapshot.
	maxRecordsBetweenSnapshots = 2000
	// snapshotsPerRetention is the least number of snapshots in the retention
	// time. Three of them can fail before records expire that no snapshot
	// covers.
	snapshotsPerRetention = 4
	// thresholdSpread is the largest fraction by which a process randomly lowers
	// its thresholds, so that one of several processes writes a snapshot first and
	// the others read it.
	thresholdSpread = 0.25
	// snapshotTimeout ends the append of a snapshot during an outage, so that a new
	// one is taken afterwards. The records that follow an old snapshot may have
	// expired by then.
	snapshotTimeout = 30 * time.Second
	// checksPerInterval is the number of checks within the maximum age of a
	// snapshot.
	checksPerInterval = 64
	// maxCheckInterval bounds the time between checks. It is below the maximum age
	// of a snapshot under the shortest retention time of 1 min, so that a reduced
	// retention time takes effect before records expire.
	maxCheckInterval = 10 * time.Second
)

// Schedule determines when the next snapshot of a stream is due.
type Schedule struct {
	retention func() time.Duration
	// thresholdFactor is 1 less the random reduction of the thresholds.
	thresholdFactor float64
	maxRecords      int
}

// NewSchedule returns a schedule for a retention time that may change. Each
// schedule has its own random thresholds.
func NewSchedule(retention func() time.Duration, jitter func() float64) Schedule {
	factor := 1 - thresholdSpread*jitter()
	return Schedule{retention: retention, thresholdFactor: factor, maxRecords: int(maxRecordsBetweenSnapshots * factor)}
}

// maxAge is the age of the last snapshot at which the next one is due.
func (s Schedule) maxAge() time.Duration {
	return time.Duration(float64(s.retention()/snapshotsPerRetention) * s.thresholdFactor)
}

// Due reports whether a snapshot is due. The age counts from the time of the
// snapshot record or from when it was read, whichever is earlier, so that a clock
// difference between the log service and this host does not delay a snapshot.
func (s Schedule) Due(now time.Time, st Status) bool {
	if !st.Loaded || st.Next == FirstOffset {
		return false
	}
	return st.RecordsSinceSnapshot >= s.maxRecords || now.Sub(st.SnapshotTime) >= s.maxAge() || now.Sub(st.SnapshotRead) >= s.maxAge()
}

// SnapshotWriter writes the snapshots of one stream.
type SnapshotWriter struct {
	writer   *Writer
	schedule Schedule
	kind     string
	enabled  func() bool
	logger   kitlog.Logger
}

// NewSnapshotWriter returns a SnapshotWriter that writes snapshot records of a kind
// while enabled returns true.
func NewSnapshotWriter(w *Writer, s Schedule, kind string, enabled func() bool, logger kitlog.Logger) *SnapshotWriter {
	return &SnapshotWriter{writer: w, schedule: s, kind: kind, enabled: enabled, logger: logger}
}

// Run checks the schedule and writes the snapshots that are due until ctx is done.
func (s *SnapshotWriter) Run(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, max(min(s.schedule.maxAge()/checksPerInterval, maxCheckInterval), 10*time.Millisecond))
		f := s.writer.cfg.Follower
		if !s.enabled() || !s.schedule.Due(s.writer.cfg.Clock.Now(), f.Status()) {
			continue
		}
		if err := s.write(ctx, f); err != nil && ctx.Err() == nil {
			_ = s.logger.Log("stream", s.writer.cfg.Stream, "msg", "failed to write a snapshot", "err", err)
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
