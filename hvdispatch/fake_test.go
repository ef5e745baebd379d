package hvdispatch_test

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// fault is a failure that is injected into one dispatch.
type fault int

const (
	noFault                fault = iota
	refused                      // the side has no slot
	lateResponse                 // the response arrives after the deadline
	lateRequest                  // the request reaches the side after the deadline
	truncated                    // the response lacks its last byte
	otherResponse                // the response is that of another request
	otherRefusal                 // the response refuses another request, while this one runs
	corrupted                    // a byte of the response changes
	lostRequest                  // the connection ends and the request is lost
	delayedRequest               // the connection ends and the request arrives later
	lostResponse                 // the connection ends after the run
	restarted                    // the side process ends after the run and another one replaces it
	errorAfterRun                // the side returns an error of kind Unavailable after the run
	delayedRequestNoSettle       // as delayedRequest, and settle fails too
	notSent                      // the connection accepts no further calls, settle included
	faultCount
)

const (
	runDuration    = 5 * time.Millisecond
	longDelay      = 3 * time.Second
	reconnectDelay = 100 * time.Millisecond
)

// fakeCluster is a set of fake sides behind a real membership table.
type fakeCluster struct {
	table *hvmember.Table
	// faults holds the faults of each request, one per attempt.
	faults map[string][]fault

	mu         sync.Mutex
	sides      map[string]*fakeSide
	runs       map[string]int
	dispatches int
	// sideProcesses counts the started side processes, so that each one has its
	// own incarnation.
	sideProcesses int
}

// fakeSide is one side process that implements run and settle as a real one
// does.
type fakeSide struct {
	cluster  *fakeCluster
	announce hvwire.Announce
	sequence uint64
	conn     *fakeConn
	// started, blocked and done are keyed by request identifier.
	started, blocked map[string]bool
	done             map[string]hv.Response
}

type fakeConn struct {
	side   *fakeSide
	once   sync.Once
	closed chan struct{}
}

func newFakeCluster(hosts int) *fakeCluster {
	fc := &fakeCluster{table: hvmember.New(hv.SystemClock{}), faults: map[string][]fault{}, sides: map[string]*fakeSide{}, runs: map[string]int{}}
	for i := range hosts {
		fc.startSide(fmt.Sprint("h", i))
	}
	return fc
}

// startSide starts a side process on a host.
func (fc *fakeCluster) startSide(host string) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.sideProcesses++
	incarnation := fmt.Sprint(host, "-", fc.sideProcesses)
	s := &fakeSide{
		cluster: fc, started: map[string]bool{}, blocked: map[string]bool{}, done: map[string]hv.Response{},
		announce: hvwire.Announce{
			Host: hv.Host{Name: host, Zone: "z"}, Incarnation: incarnation, Service: "labels", Slots: 8,
		},
	}
	fc.sides[host] = s
	s.connect()
}

// connect dials the gate. The caller must hold the lock of the cluster.
func (s *fakeSide) connect() {
	c := &fakeConn{side: s, closed: make(chan struct{})}
	s.conn = c
	if err := s.cluster.table.Announce(s.announce, c); err != nil {
		panic(err)
	}
}

// sendHeartbeats sends heartbeats until ctx ends.
func (fc *fakeCluster) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		fc.mu.Lock()
		for _, s := range fc.sides {
			s.sequence++
			_ = fc.table.Heartbeat(hvwire.Heartbeat{Incarnation: s.announce.Incarnation, Sequence: s.sequence}, s.conn)
		}
		fc.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *fakeConn) Done() <-chan struct{} { return c.closed }

// disconnect ends the connection. After a delay the side process dials again, or
// a new process replaces it.
func (c *fakeConn) disconnect(newProcess bool) {
	c.once.Do(func() {
		close(c.closed)
		s := c.side
		s.cluster.table.ConnectionLost(s.announce.Host.Name, c)
		time.AfterFunc(reconnectDelay, func() {
			if newProcess {
				s.cluster.startSide(s.announce.Host.Name)
				return
			}
			s.cluster.mu.Lock()
			defer s.cluster.mu.Unlock()
			if s.cluster.sides[s.announce.Host.Name] == s {
				s.connect()
			}
		})
	})
}

// errLost is the error of a call whose connection ends.
var errLost = &hvwire.Error{Op: "run", Kind: hv.Uncertain, Err: errors.New("connection ended")}

// errNotSent is the error of a call on a connection that accepts no more calls.
var errNotSent = &hvwire.Error{Op: "run", Kind: hv.Full, Err: errors.New("too many calls"), NotSent: true}

func (c *fakeConn) Call(ctx context.Context, method string, req, resp any) error {
	type result struct {
		resp hv.Response
		err  error
	}
	out := make(chan result, 1)
	go func() {
		var r result
		switch v := req.(type) {
		case hv.Request:
			r.resp, r.err = c.run(v)
		case hvwire.Settle:
			r.resp, r.err = c.settle(v)
		}
		out <- r
	}()
	select {
	case <-ctx.Done():
		return &hvwire.Error{Op: method, Kind: hv.Uncertain, Err: ctx.Err()}
	case r := <-out:
		*resp.(*hv.Response) = r.resp
		return r.err
	}
}

func (c *fakeConn) fault(req hv.Request) fault {
	faults := c.side.cluster.faults[req.ID]
	if req.Attempt > len(faults) {
		return noFault
	}
	return faults[req.Attempt-1]
}

func (c *fakeConn) run(req hv.Request) (hv.Response, error) {
	s := c.side
	s.cluster.mu.Lock()
	s.cluster.dispatches++
	s.cluster.mu.Unlock()
	f := c.fault(req)
	switch f {
	case refused:
		return hv.Response{ID: req.ID, Outcome: hv.NotRun}, nil
	case notSent:
		return hv.Response{}, errNotSent
	case lostRequest:
		c.disconnect(false)
		return hv.Response{}, errLost
	case delayedRequest, delayedRequestNoSettle:
		c.disconnect(false)
		time.AfterFunc(longDelay/2, func() { s.receive(req, runDuration) })
		return hv.Response{}, errLost
	case lateRequest:
		time.Sleep(longDelay)
	}
	duration := runDuration
	if f == lateResponse {
		duration = longDelay
	}
	resp := s.receive(req, duration)
	switch f {
	case truncated:
		resp.Body = resp.Body[:len(resp.Body)-1]
	case otherResponse:
		resp = s.response("other")
	case otherRefusal:
		resp = hv.Response{ID: "other", Outcome: hv.NotRun}
	case corrupted:
		resp.Body = append([]byte("X"), resp.Body[1:]...)
	case lostResponse, restarted:
		c.disconnect(f == restarted)
		return hv.Response{}, errLost
	case errorAfterRun:
		return hv.Response{}, &hvwire.Error{Op: "run", Kind: hv.Unavailable, Err: errors.New("upstream is unavailable")}
	}
	return resp, nil
}

func (s *fakeSide) response(id string) hv.Response {
	body := []byte("response to " + id)
	return hv.Response{ID: id, Outcome: hv.Done, Status: 200, Body: body, Length: len(body), Checksum: xxhash.Sum64(body)}
}

// receive decides in one step under the lock whether a request runs, and runs
// it.
func (s *fakeSide) receive(req hv.Request, duration time.Duration) hv.Response {
	s.cluster.mu.Lock()
	if s.blocked[req.ID] {
		s.cluster.mu.Unlock()
		return hv.Response{ID: req.ID, Outcome: hv.NotRun}
	}
	s.started[req.ID] = true
	s.cluster.runs[req.ID]++
	s.cluster.mu.Unlock()
	time.Sleep(duration)
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	s.done[req.ID] = s.response(req.ID)
	return s.done[req.ID]
}

func (c *fakeConn) settle(m hvwire.Settle) (hv.Response, error) {
	s := c.side
	s.cluster.mu.Lock()
	defer s.cluster.mu.Unlock()
	select {
	case <-c.closed:
		return hv.Response{}, errLost
	default:
	}
	for _, f := range s.cluster.faults[m.ID] {
		switch f {
		case delayedRequestNoSettle:
			return hv.Response{}, errLost
		case notSent:
			return hv.Response{}, errNotSent
		}
	}
	switch resp, done := s.done[m.ID]; {
	case done:
		return resp, nil
	case s.started[m.ID]:
		return hv.Response{ID: m.ID, Outcome: hv.Unknown}, nil
	}
	s.blocked[m.ID] = true
	return hv.Response{ID: m.ID, Outcome: hv.NotRun}, nil
}
