package hvlogger

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockableWriter is a reader of the log that can be stopped.
type blockableWriter struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (p *blockableWriter) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.b.Write(b)
}

// Guards against requests that wait for a full pipe of the log, and against
// lines that are dropped without a word.
func TestQueueNeverBlocks(t *testing.T) {
	p := &blockableWriter{}
	p.mu.Lock()
	q := NewQueue(p)
	began := time.Now()
	for range 2 * queueCapacity {
		if _, err := q.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if took := time.Since(began); took > 500*time.Millisecond {
		t.Errorf("writing to a full queue took %v", took)
	}
	p.mu.Unlock()
	time.Sleep(dropReportInterval + 100*time.Millisecond)
	_, _ = q.Write([]byte("last\n"))
	q.Flush(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !strings.Contains(p.b.String(), "lines were dropped") {
		t.Error("the log does not tell that lines were dropped")
	}
}

// Guards against the last lines of a process that are lost with it.
func TestFlushWritesWhatWaits(t *testing.T) {
	p := &blockableWriter{}
	q := NewQueue(p)
	for range 100 {
		_, _ = q.Write([]byte("line\n"))
	}
	q.Flush(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	if n := strings.Count(p.b.String(), "line\n"); n != 100 {
		t.Fatalf("%d lines, want 100", n)
	}
}
