package hvconf

import (
	"maps"
	"reflect"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Settings is one version of the merged settings. It is immutable once it has
// been checked.
type Settings struct {
	Limits   Limits             `json:"limits"`
	Zones    map[string]Zone    `json:"zones"`
	Gates    map[string]Gate    `json:"gates"`
	Classes  map[hv.Class]Class `json:"classes"`
	Callers  map[string]Caller  `json:"callers"`
	Teams    map[string]Team    `json:"teams"`
	Services map[string]Service `json:"services"`
	Jobs     map[string]Job     `json:"jobs"`
	Watchers map[string]Watcher `json:"watchers"`
	Policy   Policy             `json:"policy"`
	Admin    Admin              `json:"admin"`
	Logs     Logs               `json:"logs"`
}

// Limits holds bounds and times that apply to all processes.
type Limits struct {
	// HeartbeatInterval is the time between two heartbeats of a side.
	HeartbeatInterval hv.Duration `json:"beat"`
	// Retention is how long the log service keeps records.
	Retention hv.Duration `json:"retention"`
	// MaxResponseSize bounds the body of a response.
	MaxResponseSize hv.Size `json:"answer"`
}

// Zone is an availability zone.
type Zone struct {
	Region string `json:"region"`
}

// Gate is a gate process. A majority is one of all gates in the settings.
type Gate struct {
	Zone string `json:"zone"`
	// Address is the address to which sides and other gates connect.
	Address string `json:"address"`
	// HTTP is the address to which callers and operators connect.
	HTTP string `json:"http,omitempty"`
}

// Class holds the share and the limits of a request class.
type Class struct {
	Weight float64 `json:"weight"`
	// Floor is the share of the fleet's slots that the class keeps while other
	// classes overload the fleet.
	Floor float64 `json:"floor"`
	// QueueLimit bounds the number of waiting requests of the class at one gate.
	QueueLimit int `json:"queue"`
	// DefaultDeadline applies to requests without a deadline.
	DefaultDeadline hv.Duration `json:"deadline"`
}

// Caller is a client of the callers' HTTP API.
type Caller struct {
	Token  string  `json:"token"`
	Weight float64 `json:"weight"`
	// Floor is the share within a class that the caller keeps while other callers
	// overload the class.
	Floor float64 `json:"floor"`
}

// Team owns tasks under a quota.
type Team struct {
	Quota hv.Resources `json:"quota"`
}

// Service holds the settings of all upstreams of one service.
type Service struct {
	Slots       int `json:"slots"`
	Connections int `json:"connections"`
	// LatencyTarget is the tail latency that the guard tries to keep.
	LatencyTarget hv.Duration `json:"target"`
	Guard         bool        `json:"guard"`
}

// Job is a batch task.
type Job struct {
	Team     string            `json:"team"`
	Program  string            `json:"program"`
	Args     []string          `json:"args,omitempty"`
	Labels   map[string]string `json:"labels,omitempty"`
	Need     hv.Resources      `json:"need"`
	Runtime  hv.Duration       `json:"runtime"`
	Deadline time.Time         `json:"deadline"`
	Urgent   bool              `json:"urgent,omitempty"`
	Once     bool              `json:"once,omitempty"`
}

// Task returns the task that is submitted for a job.
func (j Job) Task(name string) hv.Task {
	return hv.Task{
		ID: "job-" + name, Kind: hv.Job, Team: j.Team, Program: j.Program, Args: j.Args, Labels: j.Labels,
		Need: j.Need, Runtime: j.Runtime, Deadline: j.Deadline, Urgent: j.Urgent, Once: j.Once,
	}
}

// Watcher is a continuous monitoring task.
type Watcher struct {
	Team    string            `json:"team"`
	Program string            `json:"program"`
	Args    []string          `json:"args,omitempty"`
	Labels  map[string]string `json:"labels,omitempty"`
	Need    hv.Resources      `json:"need"`
	Urgent  bool              `json:"urgent,omitempty"`
}

// Task returns the task that is submitted for a watcher.
func (w Watcher) Task(name string) hv.Task {
	return hv.Task{
		ID: "watcher-" + name, Kind: hv.Watcher, Team: w.Team, Program: w.Program, Args: w.Args, Labels: w.Labels,
		Need: w.Need, Urgent: w.Urgent,
	}
}

// Values of Policy.Prefer.
const (
	PreferThroughput = "throughput"
	PreferLatency    = "latency"
)

// Policy holds the choices between conflicting goals.
type Policy struct {
	Prefer string `json:"prefer"`
}

// Admin holds the token of the admin API. Without a token every request is
// refused.
type Admin struct {
	Token string `json:"token,omitempty"`
}

// Logs configures the logs of the daemons.
type Logs struct {
	Level string `json:"level"`
}

// Default returns the settings that apply where the files set nothing.
func Default() *Settings {
	return &Settings{
		Limits: Limits{
			HeartbeatInterval: duration(time.Second), Retention: duration(24 * time.Hour), MaxResponseSize: hv.MB,
		},
		Classes: maps.Clone(defaultClasses),
		Policy:  Policy{Prefer: PreferThroughput},
		Logs:    Logs{Level: "info"},
	}
}

var defaultClasses = map[hv.Class]Class{
	hv.Urgent:   {Weight: 4, Floor: 0.3, QueueLimit: 1024, DefaultDeadline: duration(2 * time.Second)},
	hv.Standard: {Weight: 2, Floor: 0.2, QueueLimit: 1024, DefaultDeadline: duration(10 * time.Second)},
	hv.Batch:    {Weight: 1, Floor: 0.1, QueueLimit: 4096, DefaultDeadline: duration(time.Minute)},
}

// defaults holds the default values of the optional fields of section entries, by
// type.
var defaults = map[reflect.Type]any{
	reflect.TypeFor[Caller]():  Caller{Weight: 1},
	reflect.TypeFor[Service](): Service{Slots: 8, Connections: 64, LatencyTarget: duration(100 * time.Millisecond), Guard: true},
}

func duration(d time.Duration) hv.Duration { return hv.Duration(d) }
