package hvlogger

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueLines bounds the lines that wait to be written.
	queueLines = 2048
	// noteInterval separates lines that tell how many were dropped.
	noteInterval = time.Second
)

// Queue writes lines in the background. When the reader of the log is slow it
// drops lines and counts them; it never blocks the caller.
type Queue struct {
	lines   chan []byte
	flushes chan chan struct{}
	dropped atomic.Int64
	out     io.Writer
}

// NewQueue returns a queue that writes to out.
func NewQueue(out io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queueLines), flushes: make(chan chan struct{}), out: out}
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

// Flush writes what waits, for up to limit.
func (q *Queue) Flush(limit time.Duration) {
	written := make(chan struct{})
	timeout := time.After(limit)
	select {
	case q.flushes <- written:
	case <-timeout:
		return
	}
	select {
	case <-written:
	case <-timeout:
	}
}

func (q *Queue) run() {
	noted := time.Now()
	for {
		select {
		case b := <-q.lines:
			q.write(b)
		case written := <-q.flushes:
			for len(q.lines) > 0 {
				q.write(<-q.lines)
			}
			close(written)
		}
		if time.Since(noted) > noteInterval && q.dropped.Load() > 0 {
			noted = time.Now()
			q.write(fmt.Appendf(nil, "part=log level=warn msg=\"lines were dropped\" lines=%d\n", q.dropped.Swap(0)))
		}
	}
}

// write ignores errors: nobody can be told that the log cannot be written.
func (q *Queue) write(b []byte) { _, _ = q.out.Write(b) }
