package hvlog

import (
	"context"
	"sync/atomic"
	"time"

	kitlog "github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvring"
)

const (
	// maxQueuedOps bounds the number of queued operations.
	maxQueuedOps = 4096
	// maxOps and maxOpsBytes bound the operations that are merged into one record.
	maxOps      = 1024
	maxOpsBytes = 512 << 10
	// maxRecordBytes bounds a record with a single operation, such as a snapshot.
	maxRecordBytes = 4 << 20
	// appendTimeout ends an append call without a response.
	appendTimeout = 5 * time.Second
)

// MergeFunc merges the operations of a batch into one.
type MergeFunc func(ops []Op) (Op, error)

// WriterConfig holds the dependencies of a Writer.
type WriterConfig struct {
	// Name identifies the writer. It is unique for each start of the process and
	// contains no slash.
	Name   string
	Stream string
	Log    hv.Log
	Clock  hv.Clock
	// Follower reads the same stream.
	Follower *Follower
	// Merge is nil if every operation is appended as a separate record.
	Merge MergeFunc
	// MinInterval is the shortest time between the starts of two appends. It keeps
	// the total rate of all streams within the appends per second that the log
	// service accepts.
	MinInterval time.Duration
	Jitter      func() float64
	Logger      kitlog.Logger
}

// Writer appends operations to one stream with one append in flight.
type Writer struct {
	cfg   WriterConfig
	queue *hvring.Ring[*pending]
	// deferred is an operation that did not fit into the previous batch.
	deferred   *pending
	sequence   int64
	lastAppend time.Time
	// failing is set from a failed append until the next successful append or the
	// end of the delivery.
	failing atomic.Bool
	stopped chan struct{}
}

// NewWriter returns a writer. Operations are appended while Run is running.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{cfg: cfg, queue: hvring.New[*pending](maxQueuedOps), stopped: make(chan struct{})}
}

// Append queues an operation and waits until it is read back from the stream. An
// error of kind Uncertain means that the operation is or may still be appended;
// after any other error it is not in the stream and never will be.
func (w *Writer) Append(ctx context.Context, op Op) (Receipt, error) {
	if n := len(op.Body); n > maxRecordBytes || !op.NoMerge && w.cfg.Merge != nil && n > maxOpsBytes {
		return Receipt{}, errorf("append", hv.Invalid, "operation of %d bytes exceeds the size limit", n)
	}
	if st := w.cfg.Follower.Status(); op.FailFast && (w.failing.Load() || !st.Loaded || !st.Reachable) {
		return Receipt{}, errorf("append", hv.Unavailable, "the log service is unreachable or the stream is not loaded")
	}
	p := newPending(op)
	if !w.queue.Put(p) {
		return Receipt{}, errorf("append", hv.Full, "queue is full: %d operations are waiting for stream %s", maxQueuedOps, w.cfg.Stream)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	case <-w.stopped:
	}
	return p.outcome()
}

// Run appends the queued operations until ctx is done. It must be called once.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.stopped)
	for {
		batch, err := w.nextBatch(ctx)
		if err != nil {
			w.stopQueued()
			return
		}
		w.deliver(ctx, batch)
	}
}

func (w *Writer) stopQueued() {
	if w.deferred != nil {
		w.deferred.writerStopped()
	}
	for _, p := range w.queue.Drain(maxQueuedOps) {
		p.writerStopped()
	}
}

// nextBatch waits for an operation and returns it together with those that have
// been queued meanwhile.
func (w *Writer) nextBatch(ctx context.Context) ([]*pending, error) {
	first := w.deferred
	w.deferred = nil
	if first == nil {
		var err error
		if first, err = w.queue.Take(ctx); err != nil {
			return nil, err
		}
	}
	sleep(ctx, w.cfg.MinInterval-w.cfg.Clock.Now().Sub(w.lastAppend))
	batch := []*pending{first}
	if w.cfg.Merge != nil && !first.op.NoMerge {
		batch = w.fillBatch(batch)
	}
	if err := ctx.Err(); err != nil {
		writerStopped(batch)
		return nil, err
	}
	return batch, nil
}

// fillBatch adds queued operations to a batch up to its limits.
func (w *Writer) fillBatch(batch []*pending) []*pending {
	for size := len(batch[0].op.Body); len(batch) < maxOps; {
		next := w.queue.Drain(1)
		if len(next) == 0 {
			break
		}
		size += len(next[0].op.Body)
		if next[0].op.NoMerge || size > maxOpsBytes {
			w.deferred = next[0]
			break
		}
		batch = append(batch, next[0])
	}
	return batch
}

func writerStopped(batch []*pending) {
	for _, p := range batch {
		p.writerStopped()
	}
}
