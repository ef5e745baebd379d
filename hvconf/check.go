package hvconf

import (
	"fmt"
	"maps"
	"net/netip"
	"regexp"
	"slices"
	"strings"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// checker collects the faults of decoded settings.
type checker struct {
	s        *Settings
	tree     *node
	problems Problems
}

func (c *checker) fault(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{File: c.tree.fileOf(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) check() {
	c.limits()
	c.names()
	c.zones()
	c.shares()
	c.tokens()
	c.services()
	c.tasks()
	c.words()
}

// within reports a value outside its range.
func within[T hv.Duration | hv.Size | int | float64](c *checker, field string, v, low, high T) {
	if v < low || v > high {
		c.fault(field, "want %s to %s, got %s", show(low), show(high), show(v))
	}
}

func show(v any) string {
	if m, ok := v.(interface{ MarshalText() ([]byte, error) }); ok {
		b, _ := m.MarshalText()
		return string(b)
	}
	return fmt.Sprint(v)
}

const (
	second = hv.Duration(time.Second)
	minute = hv.Duration(time.Minute)
	hour   = hv.Duration(time.Hour)
)

func (c *checker) limits() {
	l := c.s.Limits
	// A side that is silent for 3 s is missing, so two heartbeats may be lost.
	within(c, "limits.beat", l.HeartbeatInterval, second/10, second)
	within(c, "limits.retention", l.Retention, minute, 365*24*hour)
	// A message between two processes holds 1 MB in base64.
	within(c, "limits.answer", l.MaxResponseSize, hv.KB, hv.MB)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// names checks the names in all sections.
func (c *checker) names() {
	for section, names := range map[string][]string{
		"zones": keys(c.s.Zones), "gates": keys(c.s.Gates), "callers": keys(c.s.Callers), "teams": keys(c.s.Teams),
		"services": keys(c.s.Services), "jobs": keys(c.s.Jobs), "watchers": keys(c.s.Watchers),
	} {
		for _, n := range names {
			if !namePattern.MatchString(n) {
				c.fault(join(section, n), "want a name of 1 to 63 small letters, digits, dots and dashes")
			}
		}
	}
}

func keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *checker) zones() {
	for name, z := range c.s.Zones {
		if !namePattern.MatchString(z.Region) {
			c.fault("zones."+name+".region", "want the name of a region, got %q", z.Region)
		}
	}
	if len(c.s.Gates) == 0 {
		c.fault("gates", "want at least one gate")
	}
	addresses := map[string]string{}
	for _, name := range keys(c.s.Gates) {
		g := c.s.Gates[name]
		_, ok := c.s.Zones[g.Zone]
		c.refer("gates."+name+".zone", "zones", g.Zone, ok)
		c.address(addresses, "gates."+name+".address", g.Address)
		if g.HTTP != "" {
			c.address(addresses, "gates."+name+".http", g.HTTP)
		}
	}
}

// refer reports a reference to an entry that does not exist.
func (c *checker) refer(field, section, name string, exists bool) {
	if !exists {
		c.fault(field, "want a name from %s, got %q", section, name)
	}
}

func (c *checker) address(taken map[string]string, field, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.fault(field, "want IP address and port such as \"10.0.0.1:7000\", got %q", addr)
		return
	}
	if other, twice := taken[addr]; twice {
		c.fault(field, "want an address of its own, got that of %s", other)
	}
	taken[addr] = field
}

const maxWeight = 1000

func (c *checker) shares() {
	var floors, callerFloors float64
	for _, name := range hv.Classes {
		k, field := c.s.Classes[name], "classes."+string(name)
		floors += k.Floor
		within(c, field+".weight", k.Weight, 0.001, maxWeight)
		within(c, field+".floor", k.Floor, 0, 1)
		within(c, field+".queue", k.QueueLimit, 1, 1<<16)
		within(c, field+".deadline", k.DefaultDeadline, second/1000, 60*second)
	}
	for name, k := range c.s.Callers {
		callerFloors += k.Floor
		within(c, "callers."+name+".weight", k.Weight, 0.001, maxWeight)
		within(c, "callers."+name+".floor", k.Floor, 0, 1)
	}
	c.floors("classes", floors)
	c.floors("callers", callerFloors)
}

func (c *checker) floors(section string, sum float64) {
	// Sums of decimal fractions are not exact.
	if sum > 1+1e-9 {
		c.fault(section, "want floors that sum to at most 1, got %.4g", sum)
	}
}

// minTokenBytes keeps tokens from being guessed.
const minTokenBytes = 16

func (c *checker) tokens() {
	taken := map[string]string{}
	if c.s.Admin.Token != "" {
		c.token(taken, "admin.token", c.s.Admin.Token)
	}
	for _, name := range keys(c.s.Callers) {
		c.token(taken, "callers."+name+".token", c.s.Callers[name].Token)
	}
}

// token checks a token without showing it.
func (c *checker) token(taken map[string]string, field, token string) {
	other, twice := taken[token]
	switch {
	case len(token) < minTokenBytes || len(token) > 256 || strings.ContainsAny(token, " \t\r\n"):
		c.fault(field, "want %d to 256 bytes without spaces", minTokenBytes)
	case twice:
		c.fault(field, "want a token of its own, got that of %s", other)
	}
	taken[token] = field
}

func (c *checker) services() {
	for name, s := range c.s.Services {
		field := "services." + name
		within(c, field+".slots", s.Slots, 1, 1024)
		within(c, field+".connections", s.Connections, s.Slots, 1<<16)
		within(c, field+".target", s.LatencyTarget, second/1000, minute)
	}
	for name, t := range c.s.Teams {
		if err := t.Quota.Check(); err != nil {
			c.fault("teams."+name+".quota", "want no negative amount: %v", err)
		}
	}
}

func (c *checker) tasks() {
	for name, j := range c.s.Jobs {
		within(c, "jobs."+name+".runtime", j.Runtime, second/1000, 30*24*hour)
		c.task("jobs."+name, j.Task(name))
	}
	for name, w := range c.s.Watchers {
		c.task("watchers."+name, w.Task(name))
	}
}

func (c *checker) task(field string, t hv.Task) {
	if err := t.Check(); err != nil {
		c.fault(field, "%v", err)
	}
	if t.Need.Processors <= 0 || t.Need.Memory <= 0 {
		c.fault(field+".need", "want processors and memory above 0")
	}
	team, ok := c.s.Teams[t.Team]
	c.refer(field+".team", "teams", t.Team, ok)
	if ok && !t.Need.Fits(team.Quota) {
		c.fault(field+".need", "want at most the quota of team %q", t.Team)
	}
}

func (c *checker) words() {
	if p := c.s.Policy.Prefer; p != PreferThroughput && p != PreferLatency {
		c.fault("policy.prefer", "want %q or %q, got %q", PreferThroughput, PreferLatency, p)
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, c.s.Logs.Level) {
		c.fault("logs.level", "want one of %s, got %q", strings.Join(levels, ", "), c.s.Logs.Level)
	}
}
