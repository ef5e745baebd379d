package hvjob

import "strings"

// Queue takes jobs of one kind of request.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Service names the pool of hosts that run the tasks.
	Service  string `json:"service"`
	Priority int    `json:"priority,omitempty"`
	// Attempts is the number of failed runs after which a task has failed.
	Attempts int `json:"attempts,omitempty"`
	// Stretch times the longest chain of work, plus Slack in milliseconds, is
	// the time in which a job should complete.
	Stretch float64 `json:"stretch,omitempty"`
	Slack   int64   `json:"slack,omitempty"`
	// Advice is set if only some hosts may run a step of the queue.
	Advice *Advice `json:"advice,omitempty"`
}

// Advice tells what a call for advice costs and how long a ticket is valid,
// in milliseconds.
type Advice struct {
	BaseMillis    int64 `json:"decide"`
	PerHostMillis int64 `json:"each"`
	ValidMillis   int64 `json:"valid"`
}

// Service is a pool of hosts.
type Service struct {
	Name string
	// EnforcesCapacity is true if the hosts refuse what does not fit.
	EnforcesCapacity bool
	Standby          bool
}

// Limits bound the requests of callers.
type Limits struct {
	HeaderBytes, BodyBytes int64
	// HeaderTimeout and IdleTimeout are in milliseconds.
	HeaderTimeout, IdleTimeout int64
}

// Catalog is one version of the queues and services. It does not change.
type Catalog struct {
	Version  int64
	Limits   Limits
	services map[string]Service
	queues   map[string]Queue
	byHost   map[string][]Queue
}

// NewCatalog returns a catalog.
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

// Queue returns a queue by its name.
func (c *Catalog) Queue(name string) (Queue, bool) {
	q, ok := c.queues[name]
	return q, ok
}

// Service returns a service by its name.
func (c *Catalog) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Match returns the queue of the longest prefix of path on a host, and the
// rest of the path.
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
