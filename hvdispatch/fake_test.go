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

// fault is what happens to one dispatch.
type fault int

const (
	none            fault = iota
	refuse                // the side has no slot
	late                  // the answer comes after the deadline
	slow                  // the message reaches the side after the deadline
	cut                   // the answer lost its end
	foreign               // the answer of another request
	foreignRefusal        // the refusal of another request, while this one runs
	corrupt               // a byte of the answer changed
	lostBefore            // the connection ends and the message is lost
	lostInFlight          // the connection ends and the message arrives later
	lostAnswer            // the connection ends after the run
	restart               // the side process ends after the run and is replaced
	errorAfterRun         // the side answers an error of kind Unavailable
	lostAndNoSettle       // as lostInFlight, and settling fails too
	notSent               // the connection takes no further call, settle included
	faults
)

const (
	runTime   = 5 * time.Millisecond
	longTime  = 3 * time.Second
	reconnect = 100 * time.Millisecond
)

// world holds fake sides behind a real membership table.
type world struct {
	table *hvmember.Table
	// plan has the faults of each request by attempt.
	plan map[string][]fault

	mu         sync.Mutex
	sides      map[string]*fakeSide
	runs       map[string]int
	dispatches int
	// processes counts side processes, so that no two share an incarnation.
	processes int
}

// fakeSide is one side process that keeps the contract of run and settle.
type fakeSide struct {
	world    *world
	announce hvwire.Announce
	sequence uint64
	conn     *fakeConn
	// started, done and barred are keyed by request.
	started, barred map[string]bool
	done            map[string]hv.Response
}

type fakeConn struct {
	side *fakeSide
	once sync.Once
	end  chan struct{}
}

func newWorld(hosts int) *world {
	w := &world{table: hvmember.New(hv.SystemClock{}), plan: map[string][]fault{}, sides: map[string]*fakeSide{}, runs: map[string]int{}}
	for i := range hosts {
		w.join(fmt.Sprint("h", i))
	}
	return w
}

// join starts a side process on a host.
func (w *world) join(host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.processes++
	incarnation := fmt.Sprint(host, "-", w.processes)
	s := &fakeSide{
		world: w, started: map[string]bool{}, barred: map[string]bool{}, done: map[string]hv.Response{},
		announce: hvwire.Announce{
			Host: hv.Host{Name: host, Zone: "z"}, Incarnation: incarnation, Service: "labels", Slots: 8,
		},
	}
	w.sides[host] = s
	s.connect()
}

// connect dials the gate; the caller holds the lock of the world.
func (s *fakeSide) connect() {
	c := &fakeConn{side: s, end: make(chan struct{})}
	s.conn = c
	if err := s.world.table.Announce(s.announce, c); err != nil {
		panic(err)
	}
}

// beat sends heartbeats until ctx ends.
func (w *world) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.mu.Lock()
		for _, s := range w.sides {
			s.sequence++
			_ = w.table.Beat(hvwire.Heartbeat{Incarnation: s.announce.Incarnation, Sequence: s.sequence}, s.conn)
		}
		w.mu.Unlock()
		sleep(ctx, time.Second)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (c *fakeConn) Done() <-chan struct{} { return c.end }

// lose ends the connection. The process dials again, or a new one does.
func (c *fakeConn) lose(newProcess bool) {
	c.once.Do(func() {
		close(c.end)
		s := c.side
		s.world.table.Lost(s.announce.Host.Name, c)
		time.AfterFunc(reconnect, func() {
			if newProcess {
				s.world.join(s.announce.Host.Name)
				return
			}
			s.world.mu.Lock()
			defer s.world.mu.Unlock()
			if s.world.sides[s.announce.Host.Name] == s {
				s.connect()
			}
		})
	})
}

// errLost is what a call returns when its connection ends.
var errLost = &hvwire.Error{Op: "run", Kind: hv.Uncertain, Err: errors.New("connection ended")}

// errNotSent is what a call returns on a connection that takes no more calls.
var errNotSent = &hvwire.Error{Op: "run", Kind: hv.Full, Err: errors.New("too many calls"), NotSent: true}

func (c *fakeConn) Call(ctx context.Context, method string, req, ans any) error {
	type result struct {
		ans hv.Response
		err error
	}
	out := make(chan result, 1)
	go func() {
		var r result
		switch v := req.(type) {
		case hv.Request:
			r.ans, r.err = c.run(v)
		case hvwire.Settle:
			r.ans, r.err = c.settle(v)
		}
		out <- r
	}()
	select {
	case <-ctx.Done():
		return &hvwire.Error{Op: method, Kind: hv.Uncertain, Err: ctx.Err()}
	case r := <-out:
		*ans.(*hv.Response) = r.ans
		return r.err
	}
}

func (c *fakeConn) fault(req hv.Request) fault {
	plan := c.side.world.plan[req.ID]
	if req.Attempt > len(plan) {
		return none
	}
	return plan[req.Attempt-1]
}

func (c *fakeConn) run(req hv.Request) (hv.Response, error) {
	s := c.side
	s.world.mu.Lock()
	s.world.dispatches++
	s.world.mu.Unlock()
	f := c.fault(req)
	switch f {
	case refuse:
		return hv.Response{ID: req.ID, Outcome: hv.NotRun}, nil
	case notSent:
		return hv.Response{}, errNotSent
	case lostBefore:
		c.lose(false)
		return hv.Response{}, errLost
	case lostInFlight, lostAndNoSettle:
		c.lose(false)
		time.AfterFunc(longTime/2, func() { s.arrive(req, runTime) })
		return hv.Response{}, errLost
	case slow:
		time.Sleep(longTime)
	}
	took := runTime
	if f == late {
		took = longTime
	}
	ans := s.arrive(req, took)
	switch f {
	case cut:
		ans.Body = ans.Body[:len(ans.Body)-1]
	case foreign:
		ans = s.answer("other")
	case foreignRefusal:
		ans = hv.Response{ID: "other", Outcome: hv.NotRun}
	case corrupt:
		ans.Body = append([]byte("X"), ans.Body[1:]...)
	case lostAnswer, restart:
		c.lose(f == restart)
		return hv.Response{}, errLost
	case errorAfterRun:
		return hv.Response{}, &hvwire.Error{Op: "run", Kind: hv.Unavailable, Err: errors.New("upstream is unavailable")}
	}
	return ans, nil
}

func (s *fakeSide) answer(id string) hv.Response {
	body := []byte("answer to " + id)
	return hv.Response{ID: id, Outcome: hv.Done, Status: 200, Body: body, Length: len(body), Checksum: xxhash.Sum64(body)}
}

// arrive is the side's one step that decides whether a request runs.
func (s *fakeSide) arrive(req hv.Request, took time.Duration) hv.Response {
	s.world.mu.Lock()
	if s.barred[req.ID] {
		s.world.mu.Unlock()
		return hv.Response{ID: req.ID, Outcome: hv.NotRun}
	}
	s.started[req.ID] = true
	s.world.runs[req.ID]++
	s.world.mu.Unlock()
	time.Sleep(took)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	s.done[req.ID] = s.answer(req.ID)
	return s.done[req.ID]
}

func (c *fakeConn) settle(m hvwire.Settle) (hv.Response, error) {
	s := c.side
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	select {
	case <-c.end:
		return hv.Response{}, errLost
	default:
	}
	for _, f := range s.world.plan[m.ID] {
		switch f {
		case lostAndNoSettle:
			return hv.Response{}, errLost
		case notSent:
			return hv.Response{}, errNotSent
		}
	}
	switch ans, done := s.done[m.ID]; {
	case done:
		return ans, nil
	case s.started[m.ID]:
		return hv.Response{ID: m.ID, Outcome: hv.Unknown}, nil
	}
	s.barred[m.ID] = true
	return hv.Response{ID: m.ID, Outcome: hv.NotRun}, nil
}
