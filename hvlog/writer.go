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
	// queueSize bounds the operations that wait for the append in flight.
	queueSize = 4096
	// maxOps and maxOpsBytes bound one merged record.
	maxOps      = 1024
	maxOpsBytes = 512 << 10
	// maxRecordBytes bounds a record that holds one operation, such as a snapshot.
	maxRecordBytes = 4 << 20
	// appendTimeout ends an append whose answer does not come.
	appendTimeout = 5 * time.Second
)

// MergeFunc combines operations of one batch into one.
type MergeFunc func(ops []Op) (Op, error)

// WriterConfig holds the dependencies of a Writer.
type WriterConfig struct {
	// Name is unique for each start of the process. It contains no slash.
	Name   string
	Stream string
	Log    hv.Log
	Clock  hv.Clock
	// Follower reads the same stream.
	Follower *Follower
	// Merge is nil where every operation is a record of its own.
	Merge MergeFunc
	// MinInterval is the least time between the starts of two appends. It keeps all
	// streams together within the appends a second that the log takes.
	MinInterval time.Duration
	Jitter      func() float64
	Logger      kitlog.Logger
}

// Writer appends operations to one stream with one append in flight.
type Writer struct {
	cfg   WriterConfig
	queue *hvring.Ring[*pending]
	// carry is an operation that did not fit into the last batch.
	carry    *pending
	sequence int64
	last     time.Time
	// down is set from a failed append until the next success.
	down   atomic.Bool
	closed chan struct{}
}

// NewWriter returns a writer. Operations are sent while Run runs.
func NewWriter(cfg WriterConfig) *Writer {
	return &Writer{cfg: cfg, queue: hvring.New[*pending](queueSize), closed: make(chan struct{})}
}

// Append queues an operation and waits until it is read back from the stream.
// An error of kind Uncertain means that it may be in the stream or may still
// get there; after every other error it is not and never will be.
func (w *Writer) Append(ctx context.Context, op Op) (Receipt, error) {
	if n := len(op.Body); n > maxRecordBytes || !op.NoMerge && w.cfg.Merge != nil && n > maxOpsBytes {
		return Receipt{}, errorf("append", hv.Invalid, "operation of %d bytes is too large", n)
	}
	if st := w.cfg.Follower.Status(); op.FailFast && (w.down.Load() || !st.Loaded || !st.Reachable) {
		return Receipt{}, errorf("append", hv.Unavailable, "the log cannot be reached")
	}
	p := newPending(op)
	if !w.queue.Put(p) {
		return Receipt{}, errorf("append", hv.Full, "%d operations wait for stream %s", queueSize, w.cfg.Stream)
	}
	select {
	case <-p.done:
	case <-ctx.Done():
	case <-w.closed:
	}
	return p.leave()
}

// Run sends the queued operations until ctx ends. It is called once.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.closed)
	for {
		batch, err := w.next(ctx)
		if err != nil {
			w.stopQueued()
			return
		}
		w.deliver(ctx, batch)
	}
}

func (w *Writer) stopQueued() {
	if w.carry != nil {
		w.carry.stop()
	}
	for _, p := range w.queue.Drain(queueSize) {
		p.stop()
	}
}

// next waits for an operation and returns it with those that queued meanwhile.
func (w *Writer) next(ctx context.Context) ([]*pending, error) {
	first := w.carry
	w.carry = nil
	if first == nil {
		var err error
		if first, err = w.queue.Take(ctx); err != nil {
			return nil, err
		}
	}
	pause(ctx, w.cfg.MinInterval-w.cfg.Clock.Now().Sub(w.last))
	batch := []*pending{first}
	if w.cfg.Merge != nil && !first.op.NoMerge {
		batch = w.gather(batch)
	}
	if err := ctx.Err(); err != nil {
		stopAll(batch)
		return nil, err
	}
	return batch, nil
}

// gather adds queued operations to a batch up to its bounds.
func (w *Writer) gather(batch []*pending) []*pending {
	for size := len(batch[0].op.Body); len(batch) < maxOps; {
		more := w.queue.Drain(1)
		if len(more) == 0 {
			break
		}
		size += len(more[0].op.Body)
		if more[0].op.NoMerge || size > maxOpsBytes {
			w.carry = more[0]
			break
		}
		batch = append(batch, more[0])
	}
	return batch
}

func stopAll(batch []*pending) {
	for _, p := range batch {
		p.stop()
	}
}
