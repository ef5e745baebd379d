package hvslope

import (
	"bytes"
	"context"
	"math"
	"net"
	"sync/atomic"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// gateCount is the assumed number of gates in a region. An owner then has a
// quarter of the shards.
const gateCount = 4

// counted counts the bytes of one end of a connection.
type counted struct {
	net.Conn
	written, read atomic.Int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// frames sends a request over a real connection in memory and returns the
// bytes of its frame and of the answer's.
func frames[Req, Ans any](method string, req Req, ans Ans) (request, answer int) {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, method, func(context.Context, *hvwire.Conn, Req) (Ans, error) { return ans, nil })
	near, far := net.Pipe()
	c := &counted{Conn: near}
	client, server := hvwire.NewConn(c, hvwire.Mux{}), hvwire.NewConn(far, mux)
	defer server.Close()
	defer client.Close()
	var got Ans
	if err := client.Call(context.Background(), method, req, &got); err != nil {
		panic(err)
	}
	return int(c.written.Load()), int(c.read.Load())
}

// beatBytes returns the bytes of a heartbeat with its answer. Usage reports go
// with it if usage is set; slots is the number of granted key slots. Unchanged
// lists are left out as after an earlier heartbeat on the connection.
func beatBytes(attempts, slots int, usage, unchanged bool) (request, answer int) {
	var list []hvwire.AttemptState
	for i := range attempts {
		list = append(list, stateOf(taskOf(i).ID))
	}
	b := heartbeat(1, 86400, list)
	if !usage {
		b.Usage = nil
	}
	ack := answerOf(attempts, slots)
	if unchanged {
		var lists hvwire.ListCache
		lists.RestoreSlots(b, ack)
		b = lists.OmitAttempts(b)
		if ack.Grant != nil {
			ack.Grant.OmitSlots(b)
		}
	}
	return frames(hvwire.MethodHeartbeat, b, ack)
}

// renewals is the expected number of the shards of one gate that hold any of a
// number of attempts, rounded.
func renewals(attempts int) int {
	none := math.Pow(1-1/float64(hvtask.Shards), float64(attempts))
	return int(math.Round(hvtask.Shards / gateCount * (1 - none)))
}

// answerOf is the answer of a gate that owns its part of the shards.
func answerOf(attempts, slots int) hvwire.HeartbeatAck {
	ack := hvwire.HeartbeatAck{SettingsVersion: 12345, AttemptsStored: true}
	for i := range renewals(attempts) {
		ack.Renewals = append(ack.Renewals, hvwire.Renewal{Shard: gateCount * i, Epoch: 12, Lease: hv.Duration(lease - 412*time.Millisecond)})
	}
	if slots == 0 {
		return ack
	}
	ack.Grant = &hvwire.KeyGrant{Lease: hv.Duration(lease - 412*time.Millisecond), Offset: 4321}
	for i := range slots {
		ack.Grant.Slots = append(ack.Grant.Slots, hvwire.SlotGrant{Slot: i * hvkey.SlotCount / slots, Since: start.UnixMilli()})
	}
	return ack
}

// requestBytes returns the bytes that the protocol adds to a request and its
// answer with bodies of a size, keyed as non-idempotent requests are.
func requestBytes(size int) int {
	body := bytes.Repeat([]byte("a"), size)
	req := hv.Request{
		ID: uuidOf(6, 1), Caller: "field-office", Class: hv.Urgent, Service: serviceOf(0), Method: "POST", Path: "/labels/price",
		ContentType: "application/json", Body: body, IdempotencyKey: uuidOf(7, 1), Remaining: hv.Duration(2 * time.Second), Attempt: 1,
	}
	ans := hv.Response{ID: req.ID, Outcome: hv.Done, Status: 200, ContentType: "application/json", Body: body, Length: size, Checksum: 1 << 62}
	out, in := frames(hvwire.MethodRun, req, ans)
	return out + in - 2*size
}

// peerBytes is the heartbeat between two gates with its answer.
func peerBytes() int {
	p := hvwire.PeerHeartbeat{Name: gateName, Incarnation: owner, SettingsVersion: 12345, LogReachable: true, NextKeysOffset: 4321, Epochs: make([]int64, hvtask.Shards)}
	for i := range p.Epochs {
		p.Epochs[i] = 12
	}
	out, in := frames(hvwire.MethodPeerHeartbeat, p, p)
	return out + in
}

// stateBytes is the fetch of the settings by a side with its answer.
func stateBytes(body []byte) int {
	out, in := frames(hvwire.MethodFetch, hvwire.Fetch{Stream: hvconf.Stream, After: 12344}, hvwire.StreamState{Version: 12345, Body: body})
	return out + in
}
