package hvlogger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueCapacity bounds the queued lines.
	queueCapacity = 2048
	// dropReportInterval is the minimum time between two reports of dropped lines.
	dropReportInterval = time.Second
)

// Queue writes lines in the background. Write never blocks: when the reader of
// the log is too slow and the queue is full, lines are dropped and counted.
type Queue struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
	out     io.Writer
}

// NewQueue returns a queue that writes to out, and starts its goroutine.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueCapacity), flushes: make(chan chan struct{}), out: out}
	go q.run()
	return q
}

// Write implements io.Writer.
func (q *Queue) Write(b []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), b...):
	default:
		q.dropped.Add(1)
	}
	return len(b), nil
}

// Flush waits until the queued lines are written, for at most timeout.
func (q *Queue) Flush(timeout time.Duration) {
	flushed := make(chan struct{})
	expired := time.After(timeout)
	select {
	case q.flushes <- flushed:
	case <-expired:
		return
	}
	select {
	case <-flushed:
	case <-expired:
	}
}

func (q *Queue) run() {
	reported := time.Now()
	for {
		select {
		case b := <-q.lines:
			q.write(b)
		case flushed := <-q.flushes:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			close(flushed)
		}
		if time.Since(reported) > dropReportInterval && q.dropped.Load() > 0 {
			reported = time.Now()
			q.write(fmt.Appendf(nil, "part=log level=warn msg=\"log lines dropped, the queue was full\" lines=%d\n", q.dropped.Swap(0)))
		}
	}
}

// write ignores errors: there is no other place to report that the log cannot be
// written.
func (q *Queue) write(b []byte) { _, _ = q.out.Write(b) }
