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

// gateCount is the assumed number of gates in a region. Each gate then owns a
// quarter of the shards.
const gateCount = 4

// countingConn counts the bytes that one end of a connection writes and reads.
type countingConn struct {
	net.Conn
	written, read atomic.Int64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// frameSizes sends a request over an in-memory hvwire connection and returns the
// sizes of the request's and the response's frames in bytes.
func frameSizes[Req, Resp any](method string, req Req, response Resp) (requestSize, responseSize int) {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, method, func(context.Context, *hvwire.Conn, Req) (Resp, error) { return response, nil })
	clientConn, serverConn := net.Pipe()
	c := &countingConn{Conn: clientConn}
	client, server := hvwire.NewConn(c, hvwire.Mux{}), hvwire.NewConn(serverConn, mux)
	defer server.Close()
	defer client.Close()
	var got Resp
	if err := client.Call(context.Background(), method, req, &got); err != nil {
		panic(err)
	}
	return int(c.written.Load()), int(c.read.Load())
}

// heartbeatBytes returns the sizes of a heartbeat and its response in bytes. The
// heartbeat has usage reports if usage is set; slots is the number of granted
// key slots. If unchanged is set, the lists are omitted, as after an earlier
// heartbeat on the same connection.
func heartbeatBytes(attempts, slots int, usage, unchanged bool) (requestSize, responseSize int) {
	var list []hvwire.AttemptState
	for i := range attempts {
		list = append(list, stateOf(taskOf(i).ID))
	}
	b := heartbeat(1, 86400, list)
	if !usage {
		b.Usage = nil
	}
	ack := heartbeatAck(attempts, slots)
	if unchanged {
		var lists hvwire.ListCache
		lists.RestoreSlots(b, ack)
		b = lists.OmitAttempts(b)
		if ack.Grant != nil {
			ack.Grant.OmitSlots(b)
		}
	}
	return frameSizes(hvwire.MethodHeartbeat, b, ack)
}

// expectedRenewals returns the expected number of shards of one gate that have at
// least one of a host's attempts, rounded.
func expectedRenewals(attempts int) int {
	none := math.Pow(1-1/float64(hvtask.Shards), float64(attempts))
	return int(math.Round(hvtask.Shards / gateCount * (1 - none)))
}

// heartbeatAck returns the response of a gate that owns its part of the shards.
func heartbeatAck(attempts, slots int) hvwire.HeartbeatAck {
	ack := hvwire.HeartbeatAck{SettingsVersion: 12345, AttemptsStored: true}
	for i := range expectedRenewals(attempts) {
		ack.Renewals = append(ack.Renewals, hvwire.Renewal{Shard: gateCount * i, Epoch: 12, Lease: hv.Duration(leaseDuration - 412*time.Millisecond)})
	}
	if slots == 0 {
		return ack
	}
	ack.Grant = &hvwire.KeyGrant{Lease: hv.Duration(leaseDuration - 412*time.Millisecond), Offset: 4321}
	for i := range slots {
		ack.Grant.Slots = append(ack.Grant.Slots, hvwire.SlotGrant{Slot: i * hvkey.SlotCount / slots, Since: startTime.UnixMilli()})
	}
	return ack
}

// requestBytes returns the bytes that the protocol adds to the bodies of a
// request and its response. The request has an idempotency key, as
// non-idempotent requests have. Both bodies have the given size.
func requestBytes(size int) int {
	body := bytes.Repeat([]byte("a"), size)
	req := hv.Request{
		ID: uuidOf(6, 1), Caller: "field-office", Class: hv.Urgent, Service: serviceOf(0), Method: "POST", Path: "/labels/price",
		ContentType: "application/json", Body: body, IdempotencyKey: uuidOf(7, 1), Remaining: hv.Duration(2 * time.Second), Attempt: 1,
	}
	response := hv.Response{ID: req.ID, Outcome: hv.Done, Status: 200, ContentType: "application/json", Body: body, Length: size, Checksum: 1 << 62}
	out, in := frameSizes(hvwire.MethodRun, req, response)
	return out + in - 2*size
}

// peerHeartbeatBytes returns the bytes of a heartbeat between two gates with its
// response.
func peerHeartbeatBytes() int {
	p := hvwire.PeerHeartbeat{Name: gateName, Incarnation: owner, SettingsVersion: 12345, LogReachable: true, NextKeysOffset: 4321, Epochs: make([]int64, hvtask.Shards)}
	for i := range p.Epochs {
		p.Epochs[i] = 12
	}
	out, in := frameSizes(hvwire.MethodPeerHeartbeat, p, p)
	return out + in
}

// settingsFetchBytes returns the bytes of a side's fetch of the settings with its
// response.
func settingsFetchBytes(body []byte) int {
	out, in := frameSizes(hvwire.MethodFetch, hvwire.Fetch{Stream: hvconf.Stream, After: 12344}, hvwire.StreamState{Version: 12345, Body: body})
	return out + in
}
