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

// checker collects the problems of decoded settings.
type checker struct {
	s        *Settings
	tree     *node
	problems Problems
}

func (c *checker) addProblem(field, format string, args ...any) {
	c.problems = append(c.problems, Problem{File: c.tree.fileOf(field), Field: field, Message: fmt.Sprintf(format, args...)})
}

func (c *checker) check() {
	c.checkLimits()
	c.checkNames()
	c.checkZones()
	c.checkShares()
	c.checkTokens()
	c.checkServices()
	c.checkTasks()
	c.checkEnums()
}

// checkRange adds a problem if v is outside its range.
func checkRange[T hv.Duration | hv.Size | int | float64](c *checker, field string, v, low, high T) {
	if v < low || v > high {
		c.addProblem(field, "want %s to %s, got %s", formatValue(low), formatValue(high), formatValue(v))
	}
}

func formatValue(v any) string {
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

func (c *checker) checkLimits() {
	l := c.s.Limits
	// A side counts as missing after 3 s without a heartbeat, so that two lost
	// heartbeats are tolerated.
	checkRange(c, "limits.beat", l.HeartbeatInterval, second/10, second)
	checkRange(c, "limits.retention", l.Retention, minute, 365*24*hour)
	// A message between two processes has room for 1 MB in base64.
	checkRange(c, "limits.answer", l.MaxResponseSize, hv.KB, hv.MB)
}

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)

// checkNames checks the names in all sections.
func (c *checker) checkNames() {
	for section, names := range map[string][]string{
		"zones": sortedKeys(c.s.Zones), "gates": sortedKeys(c.s.Gates), "callers": sortedKeys(c.s.Callers), "teams": sortedKeys(c.s.Teams),
		"services": sortedKeys(c.s.Services), "jobs": sortedKeys(c.s.Jobs), "watchers": sortedKeys(c.s.Watchers),
	} {
		for _, n := range names {
			if !namePattern.MatchString(n) {
				c.addProblem(join(section, n), "want a name of 1 to 63 small letters, digits, dots and dashes")
			}
		}
	}
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }

func (c *checker) checkZones() {
	for name, z := range c.s.Zones {
		if !namePattern.MatchString(z.Region) {
			c.addProblem("zones."+name+".region", "want the name of a region, got %q", z.Region)
		}
	}
	if len(c.s.Gates) == 0 {
		c.addProblem("gates", "want at least one gate")
	}
	addresses := map[string]string{}
	for _, name := range sortedKeys(c.s.Gates) {
		g := c.s.Gates[name]
		_, ok := c.s.Zones[g.Zone]
		c.checkReference("gates."+name+".zone", "zones", g.Zone, ok)
		c.checkAddress(addresses, "gates."+name+".address", g.Address)
		if g.HTTP != "" {
			c.checkAddress(addresses, "gates."+name+".http", g.HTTP)
		}
	}
}

// checkReference adds a problem if the referenced entry does not exist.
func (c *checker) checkReference(field, section, name string, exists bool) {
	if !exists {
		c.addProblem(field, "want a name from %s, got %q", section, name)
	}
}

func (c *checker) checkAddress(usedBy map[string]string, field, addr string) {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		c.addProblem(field, "want IP address and port such as \"10.0.0.1:7000\", got %q", addr)
		return
	}
	if other, duplicate := usedBy[addr]; duplicate {
		c.addProblem(field, "want an address of its own, got that of %s", other)
	}
	usedBy[addr] = field
}

const maxWeight = 1000

func (c *checker) checkShares() {
	var floors, callerFloors float64
	for _, name := range hv.Classes {
		settings, field := c.s.Classes[name], "classes."+string(name)
		floors += settings.Floor
		checkRange(c, field+".weight", settings.Weight, 0.001, maxWeight)
		checkRange(c, field+".floor", settings.Floor, 0, 1)
		checkRange(c, field+".queue", settings.QueueLimit, 1, 1<<16)
		checkRange(c, field+".deadline", settings.DefaultDeadline, second/1000, 60*second)
	}
	for name, settings := range c.s.Callers {
		callerFloors += settings.Floor
		checkRange(c, "callers."+name+".weight", settings.Weight, 0.001, maxWeight)
		checkRange(c, "callers."+name+".floor", settings.Floor, 0, 1)
	}
	c.checkFloors("classes", floors)
	c.checkFloors("callers", callerFloors)
}

func (c *checker) checkFloors(section string, sum float64) {
	// Sums of decimal fractions are not exact in binary floating point.
	if sum > 1+1e-9 {
		c.addProblem(section, "want floors that sum to at most 1, got %.4g", sum)
	}
}

// minTokenBytes makes tokens hard to guess.
const minTokenBytes = 16

func (c *checker) checkTokens() {
	usedBy := map[string]string{}
	if c.s.Admin.Token != "" {
		c.checkToken(usedBy, "admin.token", c.s.Admin.Token)
	}
	for _, name := range sortedKeys(c.s.Callers) {
		c.checkToken(usedBy, "callers."+name+".token", c.s.Callers[name].Token)
	}
}

// checkToken checks a token without disclosing it in an error.
func (c *checker) checkToken(usedBy map[string]string, field, token string) {
	other, duplicate := usedBy[token]
	switch {
	case len(token) < minTokenBytes || len(token) > 256 || strings.ContainsAny(token, " \t\r\n"):
		c.addProblem(field, "want %d to 256 bytes without spaces", minTokenBytes)
	case duplicate:
		c.addProblem(field, "want a token of its own, got that of %s", other)
	}
	usedBy[token] = field
}

func (c *checker) checkServices() {
	for name, s := range c.s.Services {
		field := "services." + name
		checkRange(c, field+".slots", s.Slots, 1, 1024)
		checkRange(c, field+".connections", s.Connections, s.Slots, 1<<16)
		checkRange(c, field+".target", s.LatencyTarget, second/1000, minute)
	}
	for name, t := range c.s.Teams {
		if err := t.Quota.Check(); err != nil {
			c.addProblem("teams."+name+".quota", "want no negative amount: %v", err)
		}
	}
}

func (c *checker) checkTasks() {
	for name, j := range c.s.Jobs {
		checkRange(c, "jobs."+name+".runtime", j.Runtime, second/1000, 30*24*hour)
		c.checkTask("jobs."+name, j.Task(name))
	}
	for name, w := range c.s.Watchers {
		c.checkTask("watchers."+name, w.Task(name))
	}
}

func (c *checker) checkTask(field string, t hv.Task) {
	if err := t.Check(); err != nil {
		c.addProblem(field, "%v", err)
	}
	if t.Need.Processors <= 0 || t.Need.Memory <= 0 {
		c.addProblem(field+".need", "want processors and memory above 0")
	}
	team, ok := c.s.Teams[t.Team]
	c.checkReference(field+".team", "teams", t.Team, ok)
	if ok && !t.Need.Fits(team.Quota) {
		c.addProblem(field+".need", "want at most the quota of team %q", t.Team)
	}
}

func (c *checker) checkEnums() {
	if p := c.s.Policy.Prefer; p != PreferThroughput && p != PreferLatency {
		c.addProblem("policy.prefer", "want %q or %q, got %q", PreferThroughput, PreferLatency, p)
	}
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, c.s.Logs.Level) {
		c.addProblem("logs.level", "want one of %s, got %q", strings.Join(levels, ", "), c.s.Logs.Level)
	}
}
