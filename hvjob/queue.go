package hvjob

import "strings"

// Queue accepts the jobs that are submitted under a path prefix of a host.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Service is the name of the pool of hosts that run the tasks.
	Service string `json:"service"`
	// Priority orders the queues; the lowest number goes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is the number of failed runs with which a task fails for good; 0 means
	// no limit.
	MaxAttempts int `json:"attempts,omitempty"`
	// Stretch and Slack set the time in which a job should complete: Stretch times its
	// critical path plus Slack in milliseconds.
	Stretch float64 `json:"stretch,omitempty"`
	Slack   int64   `json:"slack,omitempty"`
	// Advice is set if hosts need a ticket to run a step of the queue, else nil.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice holds the time that the adviser needs for a response, as a base and an
// amount for each host, and the validity of its tickets.
type Advice struct {
	BaseMillis    int64 `json:"decide"`
	PerHostMillis int64 `json:"each"`
	ValidMillis   int64 `json:"valid"`
}

// Service is a pool of hosts that run the tasks of queues.
type Service struct {
	Name string
	// EnforcesCapacity is true if the hosts refuse tasks that exceed their capacity.
	EnforcesCapacity bool
	Standby          bool
}

// Limits bounds the size and duration of requests from callers.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout, IdleTimeout int64
}

// Catalog is one version of the queues and services. It is immutable.
type Catalog struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	queues   map[string]Queue
	byHost   map[string][]Queue
}

// NewCatalog returns a Catalog of the given queues and services.
func NewCatalog(version int64, queues []Queue, services []Service, limits Limits) *Catalog {
	c := &Catalog{Version: version, Limits: limits, services: map[string]Service{}, queues: map[string]Queue{}, byHost: map[string][]Queue{}}
	for _, q := range queues {
		c.queues[q.Name] = q
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Queue returns the queue with a name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// Service returns the service with a name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the queue with the longest prefix that matches a path on a host, and
// the rest of the path. A port in the host name is ignored.
func (c *Catalog) Match(host, path string) (q Queue, rest string, ok bool) {
	if i := strings.LastIndexByte(host, ':'); i > 0 {
		host = host[:i]
	}
	for _, cand := range c.byHost[host] {
		if strings.HasPrefix(path, cand.Prefix) && (!ok || len(cand.Prefix) > len(q.Prefix)) {
			q, ok = cand, true
		}
	}
	if !ok {
		return Queue{}, "", false
	}
	return q, path[len(q.Prefix):], true
}
