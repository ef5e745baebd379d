// Package hvorder defines the messages between the owner of a cell and the nodes of
// its hosts, and those between gates.
package hvorder

import (
	"encoding/json"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Methods of the JSON-RPC connections.
const (
	// MethodAttach makes the sender the owner whose orders a node accepts.
	MethodAttach = "attach"
	// MethodOrders carries orders from the owner to a node.
	MethodOrders = "orders"
	// MethodReport carries a report of a node to the owner.
	MethodReport = "report"
	// MethodAppend, MethodRead and MethodNewest relay calls to the store on behalf of a
	// gate that cannot reach it.
	MethodAppend = "append"
	MethodRead   = "read"
	MethodNewest = "newest"
)

// Attach is the request of an owner to attach to a node.
type Attach struct {
	Epoch int64  `json:"epoch"`
	Owner string `json:"owner"`
	// Token is the first fencing token that the node may use in calls to its executor. Owners
	// of earlier builds send none; their nodes use the epoch.
	Token int64 `json:"token,omitempty"`
	// Progress asks for the progress of runs beside that with their saved states.
	Progress bool `json:"progress,omitempty"`
}

// Orders is a batch of orders of an owner for the executor of one host.
type Orders struct {
	Epoch int64 `json:"epoch"`
	// Incarnation is the incarnation of the executor that the orders are for.
	Incarnation string `json:"life"`
	// Batch numbers the orders on one connection.
	Batch int64 `json:"batch,omitempty"`
	// LeaseEnd extends the lease and AckedEnd acknowledges ends, as in
	// hibiscusvane.LeaseRenewal.
	LeaseEnd int64 `json:"until,omitempty"`
	AckedEnd int64 `json:"seen,omitempty"`
	// Withdraw cancels earlier starts that the executor has not responded to.
	Withdraw bool    `json:"withdraw,omitempty"`
	Starts   []Start `json:"starts,omitempty"`
	Stops    []Run   `json:"stops,omitempty"`
	// Specs holds short work descriptions of the jobs in Starts, by job ID, and
	// SpecRefs says where to find the others.
	Specs    map[string]string  `json:"specs,omitempty"`
	SpecRefs map[string]SpecRef `json:"refs,omitempty"`
	// Profiles describes adopted runs, for which the node has received no start order.
	Profiles []Profile `json:"profiles,omitempty"`
}

// Run identifies a run of a task.
type Run struct {
	Task string `json:"task"`
	Run  int    `json:"run"`
}

// Start is the order to start a run.
type Start struct {
	Profile
	// SavedState is the saved state from which the task resumes, or empty.
	SavedState string `json:"saved,omitempty"`
	// Ticket proves that advice allowed the step on the host; it is empty for queues
	// without advice.
	Ticket string `json:"ticket,omitempty"`
}

// Profile describes a run as far as a node needs it to throttle best-effort tasks.
type Profile struct {
	Run
	LatencyTarget int64  `json:"target,omitempty"`
	BestEffort    bool   `json:"fill,omitempty"`
	Image         string `json:"image,omitempty"`
	// CPU is what a best-effort run needs, in thousandths of a processor.
	CPU int64 `json:"cpu,omitempty"`
}

// Host describes a host as its executor announces it.
type Host struct {
	// ID identifies the executor, and Incarnation one start of it.
	ID          string          `json:"id,omitempty"`
	Incarnation string          `json:"life"`
	Service     string          `json:"service"`
	Zone        string          `json:"zone"`
	Rack        string          `json:"rack,omitempty"`
	Labels      []string        `json:"labels,omitempty"`
	Capacity    hvjob.Resources `json:"room"`
	Draining    bool            `json:"draining,omitempty"`
	// Exiting is true once the executor has announced its end.
	Exiting bool `json:"left,omitempty"`
	// ExitsInMillis is the least time in milliseconds until a draining executor ends.
	ExitsInMillis int64 `json:"leaves,omitempty"`
	// ColdMillis is how long in milliseconds the host stays slow after its start.
	ColdMillis int64 `json:"cold,omitempty"`
}

// Refusal is a start that the executor refused permanently.
type Refusal struct {
	Run
	Kind hv.ErrorKind `json:"kind"`
}

// StalledRun is a run without progress.
type StalledRun struct {
	Run
	// Millis is for how long, in milliseconds; nodes of earlier builds do not say.
	Millis int64 `json:"ms,omitempty"`
}

// Report is a report of a node to the owner on the runs of its host.
type Report struct {
	Epoch int64 `json:"epoch"`
	// Host is nil until the executor has announced itself.
	Host *Host `json:"host,omitempty"`
	// Incarnation and Clock are the incarnation and the clock of the executor when it
	// returned the lists below. Incarnation is empty while the executor does not
	// respond.
	Incarnation string `json:"life,omitempty"`
	Clock       int64  `json:"clock,omitempty"`
	// LeaseBound is the latest time on the executor's clock until which late calls for an
	// earlier incarnation may have extended the leases; it is 0 once that has passed.
	LeaseBound int64 `json:"bound,omitempty"`
	// Full is true if Running and Pending list all runs on the host.
	Full bool `json:"full,omitempty"`
	// Batch is the number of the last orders on this connection that Running and Pending,
	// if Full is true, or Digest take into account.
	Batch int64 `json:"batch,omitempty"`
	// Digest is that of all runs on the host, those included to whose start the executor
	// has not responded; it is 0 in most reports.
	Digest  Digest        `json:"digest,omitempty,string"`
	Running []hv.RunState `json:"running,omitempty"`
	// Pending lists starts that the executor has not responded to yet.
	Pending []Run `json:"pending,omitempty"`
	// Began lists the jobs of which the executor has confirmed the start of a run since
	// the last report.
	Began []string    `json:"began,omitempty"`
	Ended []hv.RunEnd `json:"ended,omitempty"`
	// LastEnds lists ends of executors that have ended and can list them no more.
	// LastEndNumber is the number of the last of them: one process of the node numbers all
	// of them in a row.
	LastEnds      []hv.RunEnd `json:"last,omitempty"`
	LastEndNumber int64       `json:"lastnumber,omitempty"`
	Refused       []Refusal   `json:"refused,omitempty"`
	// Stopped lists runs that have ended or can no longer start.
	Stopped []Run `json:"stopped,omitempty"`
	// Stalled lists runs that have made no progress for some time, and lists them again as
	// that time doubles.
	Stalled []StalledRun `json:"stalled,omitempty"`
	// TailChanges holds the changes of the tail latencies of serving tasks between the
	// last two measurements, and LoadChanges those of the load of best-effort tasks, in
	// thousandths of a processor by image.
	TailChanges []TailChange     `json:"tails,omitempty"`
	LoadChanges map[string]int64 `json:"moved,omitempty"`
	// ShareOffset is the CPU share in percent that the node leaves to interfering
	// best-effort tasks, minus 100, so that the usual value is not sent.
	ShareOffset int `json:"pace,omitempty"`
	// ExecutorGone is true if no executor listens on the host any more.
	ExecutorGone bool `json:"dead,omitempty"`
	// Crashes lists the crashes of the executor that the owner has not acknowledged.
	Crashes []Crash `json:"crashes,omitempty"`
}

// Crash is an end of the executor that it had not announced.
type Crash struct {
	// Number increases with each crash that one process of the node has seen.
	Number int64 `json:"number"`
	// Incarnation is the one that crashed.
	Incarnation string `json:"life"`
	// UncertaintyMillis is the time in milliseconds, before the node noticed the crash,
	// in which the executor may have ended.
	UncertaintyMillis int64 `json:"uncertain,omitempty"`
	// Runs holds the runs that may have been on the executor, the youngest first.
	Runs []CrashedRun `json:"runs"`
}

// UnmarshalJSON decodes a crash and returns an error if it lists no run.
func (c *Crash) UnmarshalJSON(b []byte) error {
	type plain Crash
	if err := json.Unmarshal(b, (*plain)(c)); err != nil {
		return err
	}
	if len(c.Runs) == 0 {
		return errors.New("crash without runs")
	}
	return nil
}

// CrashedRun is a run that may have been on an executor when it crashed.
type CrashedRun struct {
	Run
	// AgeMillis is the time in milliseconds from the start call until the node noticed
	// the crash, or negative if another process sent the start.
	AgeMillis int64 `json:"age"`
	// Unconfirmed is true if the executor had neither responded to the start nor listed
	// the run.
	Unconfirmed bool `json:"unconfirmed,omitempty"`
}

// Scales of the integers in reports and grants.
const (
	// CoreScale is the number that stands for a load of one processor.
	CoreScale = 1000
	// LogScale is the number that stands for a logarithm of 1.
	LogScale = 1000
)

// TailChange is the change of the tail latency of a serving task.
type TailChange struct {
	Image string `json:"image"`
	// LogChange is the natural logarithm of the ratio of the last two measurements, in
	// thousandths.
	LogChange int64 `json:"change"`
	// LogRatio is the natural logarithm of the ratio of the last measurement to the
	// latency target, in thousandths, but 1 for 0: a node that does not send it did not
	// measure it.
	LogRatio int64 `json:"ratio,omitempty"`
}

// Grant is the response to a report.
type Grant struct {
	// Effects holds the best-effort images that interfere with the serving tasks on
	// the host: by how many thousandths each processor in use raises the logarithm of
	// the tail latency that it raises most. Other images do not interfere.
	Effects map[string]int64 `json:"effects,omitzero"`
	// LeaseEnd extends the lease and AckedEnd acknowledges ends, as in
	// hibiscusvane.LeaseRenewal.
	LeaseEnd int64 `json:"until,omitempty"`
	AckedEnd int64 `json:"seen,omitempty"`
	// AckedCrash is the number of the last crash that is stored, and AckedLastEnd that of the
	// last one of Report.LastEnds.
	AckedCrash   int64 `json:"crash,omitempty"`
	AckedLastEnd int64 `json:"last,omitempty"`
	// List asks for the full lists, as the digest is not that of the runs that the owner
	// counts.
	List bool `json:"list,omitempty"`
}

// Append is the request of a relayed append.
type Append struct {
	Topic   string           `json:"topic"`
	Records []hv.KeyedRecord `json:"records"`
	Fence   hv.Fence         `json:"fence"`
}

// AppendResult is the response to a relayed append.
type AppendResult struct {
	// End is the offset after the appended records.
	End int64 `json:"end"`
}

// Read is the request of a relayed read; MethodNewest uses only the topic.
type Read struct {
	Topic string `json:"topic"`
	From  int64  `json:"from"`
	// Wait is how long to wait for the first record, in milliseconds.
	Wait int64 `json:"wait,omitempty"`
}
