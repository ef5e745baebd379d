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
	MethodHeard         = "heard"
	MethodFetch         = "fetch"
	MethodHandover      = "handover"
	MethodDrain         = "drain"
	MethodExplain       = "explain"
)

// Announce tells a gate about a side, its host and its upstream.
type Announce struct {
	Host hv.Host `json:"host"`
	// Incarnation is unique for each start of the side's process.
	Incarnation string `json:"incarnation"`
	// Service is the name of the upstream's service, or empty on a host that only
	// runs tasks.
	Service     string `json:"service,omitempty"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	// Running lists all attempts on the host.
	Running []hv.RunningAttempt `json:"running,omitempty"`
	Leaving bool                `json:"leaving,omitempty"`
}

// AnnounceAck is the response to Announce.
type AnnounceAck struct {
	Gate            string    `json:"gate"`
	SettingsVersion hv.Offset `json:"version"`
}

// Heartbeat is the periodic message of a side to a gate.
type Heartbeat struct {
	Incarnation string `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	// Running and Waiting are the numbers of requests at the upstream.
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	Committed hv.Resources `json:"committed"`
	// Attempts lists all attempts on the host.
	Attempts []AttemptState `json:"attempts,omitempty"`
	// AttemptsChecksum replaces Attempts if the gate has acknowledged that it holds
	// the same list. A gate that does not hold it ignores the heartbeat.
	AttemptsChecksum uint64 `json:"same,omitempty,string"`
	// SlotsChecksum is the checksum of the key slots in the last grant on this
	// connection.
	SlotsChecksum uint64     `json:"grant,omitempty,string"`
	Usage         []hv.Usage `json:"usage,omitempty"`
	// Slowdown is the upstream's tail latency divided by its target.
	Slowdown        float64   `json:"slowdown,omitempty"`
	SettingsVersion hv.Offset `json:"version"`
	Leaving         bool      `json:"leaving,omitempty"`
	// Released lists key slots that the gate confirms but that the side no longer
	// serves, after a handover that did not reach the log. They need an owner.
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

// HeartbeatAck is the response to Heartbeat.
type HeartbeatAck struct {
	SettingsVersion hv.Offset `json:"version"`
	// Renewals lists those shards of the host's attempts that the gate owns and
	// has a confirmed view of.
	Renewals []Renewal `json:"renewals,omitempty"`
	// Grant confirms the key slots that this incarnation of the side owns.
	Grant *KeyGrant `json:"keys,omitempty"`
	// AttemptsStored is set if the gate keeps the attempts of the heartbeat, so
	// that the next one may send their checksum instead.
	AttemptsStored bool `json:"held,omitempty"`
}

// Renewal extends the leases of all attempts of one shard on the host that
// sent the heartbeat.
type Renewal struct {
	Shard int         `json:"shard"`
	Epoch int64       `json:"epoch"`
	Lease hv.Duration `json:"lease"`
	// Stop lists attempts that, as far as the owner knows, are not current on this
	// host. They are not renewed and the side stops them.
	Stop []hv.Attempt `json:"stop,omitempty"`
}

// KeyGrant tells a side which key slots it serves.
type KeyGrant struct {
	Slots []SlotGrant `json:"slots,omitempty"`
	// SlotsUnchanged replaces Slots if their checksum is the one in the heartbeat.
	SlotsUnchanged bool        `json:"same,omitempty"`
	Lease          hv.Duration `json:"lease"`
	// Offset is the offset in the keys stream up to which the grant is current.
	Offset hv.Offset `json:"offset"`
}

// SlotGrant is one key slot in a grant.
type SlotGrant struct {
	Slot int `json:"slot"`
	// Since is when the ownership began, in Unix milliseconds.
	Since int64 `json:"since"`
	// Wait is set while the gate can't rule out that an earlier owner still serves
	// the slot. Until then the side neither starts to serve the slot nor renews it.
	Wait bool `json:"wait,omitempty"`
	// FirstOwner is set if the slot had no owner before.
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

// Report tells the owner of a shard about an event of an attempt. It is repeated
// until it is acknowledged.
type Report struct {
	Host       string     `json:"host"`
	Attempt    hv.Attempt `json:"attempt"`
	Shard      int        `json:"shard"`
	Event      string     `json:"event"`
	Reason     string     `json:"reason,omitempty"`
	Checkpoint string     `json:"checkpoint,omitempty"`
}

// Ack is a response without further content.
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

// Settle asks for the outcome of a request and blocks the request from starting.
type Settle struct {
	ID  string `json:"id"`
	Key string `json:"key,omitempty"`
	// Age is the time since the gate sent the request.
	Age hv.Duration `json:"age,omitempty"`
}

// Handover moves the key memory of key slots through a gate, in parts. The gate
// requests parts from the owner until it has them all, passes each to the
// successor, and then appends the release record. The owner stops serving the
// slots at the first request. It returns an error of kind Unavailable while
// requests with keys of these slots still run.
type Handover struct {
	Service string `json:"service"`
	// Successor is the incarnation of the side that takes over the slots.
	Successor string `json:"to"`
	// Slots and PartNumber request a part from the owner.
	Slots      []int `json:"slots,omitempty"`
	PartNumber int   `json:"number,omitempty"`
	// Part passes a part to the successor.
	Part *hvkey.HandoverPart `json:"part,omitempty"`
}

// HandoverAck is the response to Handover.
type HandoverAck struct {
	// Part is the requested part.
	Part *hvkey.HandoverPart `json:"part,omitempty"`
	// Done is set once the successor has all parts.
	Done bool `json:"done,omitempty"`
}

// Start asks a side to run an attempt.
type Start struct {
	Task    hv.Task    `json:"task"`
	Attempt hv.Attempt `json:"attempt"`
	Shard   int        `json:"shard"`
	Epoch   int64      `json:"epoch"`
	// Incarnation is that of the side on which the attempt was placed. Any other
	// incarnation ignores the message, as it can't know whether the attempt has
	// run before.
	Incarnation string `json:"side"`
	// Lease starts when the side sent the heartbeat with HeartbeatSequence on this
	// connection; 0 is the announcement. If it started at the receipt of this
	// message, a delayed start would run longer than its owner assumes.
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
	// Checkpoint requests a checkpoint before the stop; the attempt then counts as
	// evicted.
	Checkpoint bool   `json:"checkpoint,omitempty"`
	Reason     string `json:"reason,omitempty"`
}

// StopAck is the response to Stop, sent once the attempt no longer runs.
type StopAck struct {
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Throttle sets the share of an attempt in thousandths.
type Throttle struct {
	Attempt hv.Attempt `json:"attempt"`
	Share   int        `json:"share"`
}

// PeerHeartbeat is the heartbeat between gates and also the response to it.
type PeerHeartbeat struct {
	Name            string    `json:"name"`
	Incarnation     string    `json:"incarnation"`
	SettingsVersion hv.Offset `json:"version"`
	// LogReachable reports whether the gate has recently reached the log service.
	LogReachable bool `json:"reachable"`
	// Leaving is set if the gate takes no further shards.
	Leaving bool `json:"leaving,omitempty"`
	// NoSides is set if the gate receives heartbeats of no side, so that it can't
	// renew leases.
	NoSides bool `json:"blind,omitempty"`
	// Epochs holds the highest known epoch of each shard. It is empty while the
	// shard streams are not loaded.
	Epochs []int64 `json:"epochs,omitempty"`
	// NextKeysOffset is the next offset of the keys stream, or -1 while the stream
	// is not loaded.
	NextKeysOffset hv.Offset `json:"keys"`
}

// Fetch asks a gate for its settings or for the state of a stream.
type Fetch struct {
	Stream string `json:"stream"`
	// After is the version or offset that the requesting process already has.
	After hv.Offset `json:"after"`
}

// StreamState is the response to Fetch: the state of a stream after all records
// before Next.
type StreamState struct {
	Next    hv.Offset `json:"next"`
	Version hv.Offset `json:"version,omitempty"`
	Body    []byte    `json:"body,omitempty"`
}

// Confirm asks a gate whether it can reach the log and which epoch of a stream it
// knows. It is sent to each gate in a majority round.
type Confirm struct {
	Gate string `json:"gate"`
	// Stream is the name of the stream without the region.
	Stream string `json:"stream"`
	// Epoch is the highest value that the requesting gate knows: the epoch of a
	// task stream or the next offset of the keys stream.
	Epoch int64 `json:"epoch"`
	// Round distinguishes the responses of different rounds.
	Round uint64 `json:"round"`
}

// ConfirmAck is the response to Confirm.
type ConfirmAck struct {
	Round uint64 `json:"round"`
	// Loaded is false while the gate's knowledge of the stream may be incomplete;
	// such a response does not count towards the majority.
	Loaded       bool  `json:"loaded"`
	LogReachable bool  `json:"reachable"`
	Epoch        int64 `json:"epoch"`
}

// Heard asks a gate which sides it receives heartbeats of.
type Heard struct {
	Incarnations []string `json:"incarnations"`
}

// HeardAck is the response to Heard.
type HeardAck struct {
	// Heard holds those of the incarnations that are alive for the responding gate.
	Heard []string `json:"heard,omitempty"`
}

// Drain asks a side to take no new work.
type Drain struct {
	Host string `json:"host"`
}

// Explain asks the gate that owns a task's shard for a readable description of
// the task's state.
type Explain struct {
	Task string `json:"task"`
}

// Explanation is the response to Explain.
type Explanation struct {
	Text string `json:"text"`
}
