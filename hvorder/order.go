// Package hvorder holds the messages between the owner of a cell and the
// nodes of its hosts.
package hvorder

import (
	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Methods of the JSON-RPC connections.
const (
	// MethodAttach makes the caller the owner that a node obeys.
	MethodAttach = "attach"
	// MethodOrders carries orders from the owner to a node.
	MethodOrders = "orders"
	// MethodReport carries what happened on a host to the owner.
	MethodReport = "report"
	// MethodAppend, MethodRead and MethodNewest relay calls to the store for a
	// gate that cannot reach it.
	MethodAppend = "append"
	MethodRead   = "read"
	MethodNewest = "newest"
)

// Attach names the owner and its epoch.
type Attach struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
}

// Orders is a batch of orders. Batches of one owner are carried out in the
// order of their numbers.
type Orders struct {
	Epoch int64 `json:"epoch"`
	// Incarnation is the incarnation of the executor that the orders are for.
	Incarnation string `json:"life"`
	// Until and Seen are as in hibiscusvane.Hold.
	Until  int64   `json:"until,omitempty"`
	Seen   int64   `json:"seen,omitempty"`
	Starts []Start `json:"starts,omitempty"`
	Stops  []Run   `json:"stops,omitempty"`
	// Specs holds the description of work by job, once for all its starts.
	Specs map[string]string `json:"specs,omitempty"`
	// Profiles describes runs that the node does not know from a start.
	Profiles []Profile `json:"profiles,omitempty"`
}

// Run identifies a run of a task.
type Run struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
}

// Start orders a run.
type Start struct {
	Profile
	Saved  string `json:"saved,omitempty"`
	Ticket string `json:"ticket,omitempty"`
}

// Profile tells a node what it needs to know to pace a run.
type Profile struct {
	Run
	LatencyTarget int64  `json:"target,omitempty"`
	BestEffort    bool   `json:"fill,omitempty"`
	Image         string `json:"image,omitempty"`
}

// Host describes a host as its executor announces it.
type Host struct {
	// ID names the executor, and Life distinguishes its incarnations.
	ID          string          `json:"id,omitempty"`
	Incarnation string          `json:"life"`
	Service     string          `json:"service"`
	Zone        string          `json:"zone"`
	Rack        string          `json:"rack,omitempty"`
	Labels      []string        `json:"labels,omitempty"`
	Capacity    hvjob.Resources `json:"room"`
	Draining    bool            `json:"draining,omitempty"`
	// Exiting is true once the executor has said that it ends.
	Exiting bool `json:"left,omitempty"`
	// ExitsInMillis is the least time in milliseconds until a draining executor ends.
	ExitsInMillis int64 `json:"leaves,omitempty"`
}

// Refusal is a start that the executor refused for good.
type Refusal struct {
	Run
	Kind hv.ErrorKind `json:"kind"`
}

// Report tells the owner what happened on a host.
type Report struct {
	Epoch int64 `json:"epoch"`
	// Node is the name of the reporting node.
	Node string `json:"node"`
	// Host is nil until the executor has announced itself.
	Host *Host `json:"host,omitempty"`
	// Incarnation and Clock are those of the lists below; Life is empty while the
	// executor does not answer.
	Incarnation string `json:"life,omitempty"`
	Clock       int64  `json:"clock,omitempty"`
	// Full is true if Running and Pending list everything on the host.
	Full    bool          `json:"full,omitempty"`
	Running []hv.RunState `json:"running,omitempty"`
	// Pending lists starts that have not been answered.
	Pending []Run       `json:"pending,omitempty"`
	Ended   []hv.RunEnd `json:"ended,omitempty"`
	Refused []Refusal   `json:"refused,omitempty"`
	// Stopped lists runs that ended or can no longer start.
	Stopped []Run `json:"stopped,omitempty"`
	// Stalled lists runs that have made no progress for some time.
	Stalled []Run `json:"stalled,omitempty"`
	// TailChanges holds how the tail latencies of serving tasks changed between the
	// last two measurements, and Moved by how many thousandths of a processor
	// the load of fill work changed, by image.
	TailChanges []TailChange     `json:"tails,omitempty"`
	LoadChanges map[string]int64 `json:"moved,omitempty"`
	// ShareOffset is the share in percent that the node leaves to fill work that
	// disturbs, less one hundred, so that the usual value is not sent.
	ShareOffset int `json:"pace,omitempty"`
	// ExecutorGone is true if no executor listens on the host any more.
	ExecutorGone bool `json:"dead,omitempty"`
}

// Units of the numbers in reports and grants.
const (
	// CoreScale is the number of units of load in a processor.
	CoreScale = 1000
	// LogScale is the unit of a logarithm.
	LogScale = 1000
)

// TailChange is the change of the tail latency of a serving task.
type TailChange struct {
	Image string `json:"image"`
	// LogChange is the logarithm of the change, in thousandths.
	LogChange int64 `json:"change"`
}

// Grant is the answer to a report.
type Grant struct {
	// Effects holds the images of fill work that disturb the serving tasks on
	// the host: by how many thousandths a processor in use raises the logarithm
	// of the worst tail. Images that are absent do not disturb.
	Effects map[string]int64 `json:"effects,omitempty"`
	Until   int64            `json:"until,omitempty"`
	Seen    int64            `json:"seen,omitempty"`
}

// Append is a relayed append.
type Append struct {
	Topic   string           `json:"topic"`
	Records []hv.KeyedRecord `json:"records"`
	Fence   hv.Fence         `json:"fence"`
}

// AppendResult is the answer to a relayed append.
type AppendResult struct {
	End int64 `json:"end"`
}

// Read is a relayed read; Newest uses only the topic.
type Read struct {
	Topic string `json:"topic"`
	From  int64  `json:"from"`
	// Wait is in milliseconds.
	Wait int64 `json:"wait,omitempty"`
}
