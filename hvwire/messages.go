package hvwire

import (
	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
)

// Methods of the protocol between gates and sides.
const (
	MethodAnnounce      = "announce"
	MethodHeartbeat     = "beat"
	MethodReport        = "report"
	MethodLeave         = "leave"
	MethodRun           = "run"
	MethodSettle        = "settle"
	MethodStart         = "start"
	MethodStop          = "stop"
	MethodThrottle      = "throttle"
	MethodPeerHeartbeat = "peer"
	MethodConfirm       = "confirm"
	MethodFetch         = "fetch"
	MethodHandover      = "handover"
	MethodDrain         = "drain"
	MethodExplain       = "explain"
)

// Announce tells a gate about a side, its host and its upstream.
type Announce struct {
	Host hv.Host `json:"host"`
	// Incarnation is unique for each start of the side process.
	Incarnation string `json:"incarnation"`
	// Service is the name of the upstream's service, or empty on a host that
	// runs tasks only.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	// Running lists all attempts that the host holds.
	Running []hv.RunningAttempt `json:"running,omitempty"`
	Leaving bool                `json:"leaving,omitempty"`
}

// AnnounceAck answers Announce.
type AnnounceAck struct {
	Gate            string    `json:"gate"`
	SettingsVersion hv.Offset `json:"version"`
}

// Heartbeat is the heartbeat of a side.
type Heartbeat struct {
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Running and Waiting count the requests at the upstream.
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Committed hv.Resources `json:"committed"`
	// Attempts lists every attempt that the host holds.
	Attempts []AttemptState `json:"attempts,omitempty"`
	// AttemptsChecksum stands for Attempts: it is the sum of a list that the gate said it
	// holds. A gate that does not hold it ignores the heartbeat.
	AttemptsChecksum uint64 `json:"same,omitempty,string"`
	// SlotsChecksum is the sum of the key slots of the last grant on this connection.
	SlotsChecksum uint64     `json:"grant,omitempty,string"`
	Usage         []hv.Usage `json:"usage,omitempty"`
	// Slowdown is the upstream's tail latency divided by its target.
	Slowdown        float64   `json:"slowdown,omitempty"`
	SettingsVersion hv.Offset `json:"version"`
	Leaving         bool      `json:"leaving,omitempty"`
	// Released lists key slots that the gate confirms but the side has stopped
	// to serve, after a handover that did not reach the log. They need an owner.
	Released []int `json:"released,omitempty"`
}

// AttemptState is the state of one attempt in a heartbeat.
type AttemptState struct {
	Attempt hv.Attempt `json:"attempt"`
	Shard   int        `json:"shard"`
	Epoch   int64      `json:"epoch"`
	State   string     `json:"state"`
	Share   int        `json:"share,omitempty"`
}

// HeartbeatAck answers Beat.
type HeartbeatAck struct {
	SettingsVersion hv.Offset `json:"version"`
	// Renewals lists the shards of the host's attempts that the gate owns with
	// a confirmed view.
	Renewals []Renewal `json:"renewals,omitempty"`
	// Grant confirms the key slots that the side's incarnation owns.
	Grant *KeyGrant `json:"keys,omitempty"`
	// AttemptsStored is set when the gate keeps the attempts of the heartbeat, so that
	// the next one may name them by their sum.
	AttemptsStored bool `json:"held,omitempty"`
}

// Renewal extends the leases of all attempts of one shard on the host that
// sent the heartbeat.
type Renewal struct {
	Shard int         `json:"shard"`
	Epoch int64       `json:"epoch"`
	Lease hv.Duration `json:"lease"`
	// Stop lists attempts that the owner does not know as current on this
	// host; they are not renewed and the side stops them.
	Stop []hv.Attempt `json:"stop,omitempty"`
}

// KeyGrant tells a side which key slots it serves.
type KeyGrant struct {
	Slots []SlotGrant `json:"slots,omitempty"`
	// SlotsUnchanged stands for the slots whose sum the heartbeat gave.
	SlotsUnchanged bool        `json:"same,omitempty"`
	Lease          hv.Duration `json:"lease"`
	// Offset of the keys stream that the grant reflects.
	Offset hv.Offset `json:"offset"`
}

// SlotGrant is one key slot in a grant.
type SlotGrant struct {
	Slot int `json:"slot"`
	// Since is the start of the ownership in Unix milliseconds.
	Since int64 `json:"since"`
	// Wait is set while the gate cannot exclude that an earlier owner still
	// serves the slot. The side then neither begins to serve it nor renews it.
	Wait bool `json:"wait,omitempty"`
	// FirstOwner is set for a slot that had no owner before.
	FirstOwner bool `json:"first,omitempty"`
}

// Events of an attempt in a Report.
const (
	EventStarted = "started"
	EventDone    = "done"
	EventFailed  = "failed"
	EventRefused = "refused"
	EventEvicted = "evicted"
	EventStopped = "stopped"
	EventLapsed  = "lapsed"
)

// Report tells the owner of a shard what became of an attempt. It is repeated
// until it is acknowledged.
type Report struct {
	Host       string     `json:"host"`
	Attempt    hv.Attempt `json:"attempt"`
	Shard      int        `json:"shard"`
	Event      string     `json:"event"`
	Reason     string     `json:"reason,omitempty"`
	Checkpoint string     `json:"checkpoint,omitempty"`
}

// Ack is an answer without content.
type Ack struct {
	// OK is false if the receiver is not responsible for the message.
	OK     bool   `json:"ok"`
	Reason string `json:"reason,omitempty"`
}

// Leave tells a gate that a side is draining.
type Leave struct {
	Host        string `json:"host"`
	Incarnation string `json:"incarnation"`
}

// Settle asks for the outcome of a request and bars it from starting.
type Settle struct {
	ID  string `json:"id"`
	Key string `json:"key,omitempty"`
	// Age is the time since the gate sent the request.
	Age hv.Duration `json:"age,omitempty"`
}

// Handover moves the memory of key slots through a gate, in parts: the gate
// asks the owner for parts until it has them all, gives each to the heir, and
// then appends the release record. The owner stops to serve the slots with the
// first question, and answers with the kind Unavailable while requests with
// their keys still run.
type Handover struct {
	Service string `json:"service"`
	// Successor is the incarnation of the heir.
	Successor string `json:"to"`
	// Slots and Number ask the owner for a part.
	Slots      []int `json:"slots,omitempty"`
	PartNumber int   `json:"number,omitempty"`
	// Part gives one to the heir.
	Part *hvkey.Part `json:"part,omitempty"`
}

// HandoverAck answers Handover.
type HandoverAck struct {
	// Part is the part that was asked for.
	Part *hvkey.Part `json:"part,omitempty"`
	// Done reports that the heir has all parts.
	Done bool `json:"done,omitempty"`
}

// Start asks a side to run an attempt.
type Start struct {
	Task    hv.Task    `json:"task"`
	Attempt hv.Attempt `json:"attempt"`
	Shard   int        `json:"shard"`
	Epoch   int64      `json:"epoch"`
	// Incarnation is the incarnation that the attempt was placed on. Another one
	// ignores the message: it cannot know whether the attempt has run before.
	Incarnation string `json:"side"`
	// Lease counts from the time at which the side sent the heartbeat with the
	// sequence Beat on this connection; 0 is the announcement. Counted from the
	// receipt of this message, a delayed start would run longer than its owner
	// knows.
	Lease             hv.Duration  `json:"lease"`
	HeartbeatSequence uint64       `json:"beat"`
	Committed         hv.Resources `json:"commit"`
	Checkpoint        string       `json:"checkpoint,omitempty"`
}

// Stop asks a side to end an attempt.
type Stop struct {
	Attempt hv.Attempt `json:"attempt"`
	Shard   int        `json:"shard"`
	Epoch   int64      `json:"epoch"`
	// Checkpoint asks for a checkpoint first; the attempt is then evicted.
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// StopAck answers Stop when the attempt no longer runs.
type StopAck struct {
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Throttle sets the share of an attempt in thousandths.
type Throttle struct {
	Attempt hv.Attempt `json:"attempt"`
	Share   int        `json:"share"`
}

// PeerHeartbeat is the heartbeat between gates; the answer is also a Peer.
type PeerHeartbeat struct {
	Name            string    `json:"name"`
	Incarnation     string    `json:"incarnation"`
	SettingsVersion hv.Offset `json:"version"`
	// LogReachable reports whether the gate reached the log service lately.
	LogReachable bool `json:"reachable"`
	// Leaving gates take no further shards.
	Leaving bool `json:"leaving,omitempty"`
	// NoSides gates hear no side, so they can renew no lease.
	NoSides bool `json:"blind,omitempty"`
	// Epochs holds the highest epoch known for each shard, or nothing while
	// the shard streams are not loaded.
	Epochs []int64 `json:"epochs,omitempty"`
	// NextKeysOffset is the next offset of the keys stream, or -1 while it is not loaded.
	NextKeysOffset hv.Offset `json:"keys"`
}

// Fetch asks a gate for its settings or for the state of a stream.
type Fetch struct {
	Stream string `json:"stream"`
	// After is the version or offset that the asking process already has.
	After hv.Offset `json:"after"`
}

// StreamState answers Fetch: the state of a stream after the record before Next.
type StreamState struct {
	Next    hv.Offset `json:"next"`
	Version hv.Offset `json:"version,omitempty"`
	Body    []byte    `json:"body,omitempty"`
}

// Confirm asks a gate whether it can reach the log and which epoch of a stream
// it knows. It is one question of a majority round.
type Confirm struct {
	Gate string `json:"gate"`
	// Stream is the name of the stream without the region.
	Stream string `json:"stream"`
	// Epoch is the highest that the asking gate knows: the epoch of a task
	// stream, the next offset of the keys stream.
	Epoch int64 `json:"epoch"`
	// Round tells the answers of different rounds apart.
	Round uint64 `json:"round"`
}

// ConfirmAck answers Confirm.
type ConfirmAck struct {
	Round uint64 `json:"round"`
	// Loaded is false while the gate does not vouch for its knowledge of the
	// stream; such an answer does not count.
	Loaded       bool  `json:"loaded"`
	LogReachable bool  `json:"reachable"`
	Epoch        int64 `json:"epoch"`
}

// Drain asks a side to take no new work.
type Drain struct {
	Host string `json:"host"`
}

// Explain asks the gate that owns a task's shard for the state of the task in
// words.
type Explain struct {
	Task string `json:"task"`
}

// Explanation answers Explain.
type Explanation struct {
	Text string `json:"text"`
}
