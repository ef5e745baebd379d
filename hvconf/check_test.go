package hvconf_test

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

// baseFiles returns a small valid set of settings files.
func baseFiles() hvconf.Files {
	return hvconf.Files{
		"10-gates.json": json.RawMessage(`{"zones":{"a":{"region":"r"},"b":{"region":"r"}},
			"gates":{"g1":{"zone":"a","address":"10.0.0.1:7000"},"g2":{"zone":"b","address":"10.0.0.2:7000"}}}`),
		"20-work.json": json.RawMessage(`{"teams":{"t":{"quota":{"processors":8000,"memory":"8GB"}}},
			"services":{"s":{"slots":4}},"callers":{"c":{"token":"0123456789abcdef"}},
			"watchers":{"w":{"team":"t","program":"p","need":{"processors":100,"memory":"1GB"}}}}`),
	}
}

func withFile(files hvconf.Files, name, body string) hvconf.Files {
	files[name] = json.RawMessage(body)
	return files
}

// Guards against invalid settings that are accepted, or reported without the
// file, the field or the expected value.
func TestCheckNamesFileFieldAndExpectation(t *testing.T) {
	for body, want := range map[string]string{
		`{"limit":{}}`:                                 `x.json: limit: unknown field; want one of admin, callers, `,
		`{"limits":{"beat":10}}`:                       `x.json: limits.beat: want a duration such as "250ms", got 10`,
		`{"limits":{"retention":"1s"}}`:                `x.json: limits.retention: want 1m0s to 8760h0m0s, got 1s`,
		`{"limits":{"beat":"4s"}}`:                     `x.json: limits.beat: want 100ms to 1s, got 4s`,
		`{"limits":{"answer":"5MB"}}`:                  `x.json: limits.answer: want 1KB to 1MB, got 5MB`,
		`{"limits":{"answer":"5"}}`:                    `x.json: limits.answer: want a size such as "60GB", got "5"`,
		`{"limits":[]}`:                                `x.json: limits: want an object, got a list`,
		`{"services":{"s":{"slots":1.5}}}`:             `x.json: services.s.slots: want a whole number, got 1.5`,
		`{"limits":{"keys":1,"keys":2}}`:               `x.json: limits.keys: want one value, got a second one`,
		`{"services":{"s":{"guard":"yes"}}}`:           `x.json: services.s.guard: want true or false, got "yes"`,
		`{"limits":{"lease":"10s"}}`:                   `x.json: limits.lease: unknown field`,
		`{"services":[]}`:                              `x.json: services: want an object`,
		`{"services":{"s":{"slots":9999}}}`:            `x.json: services.s.slots: want 1 to 1024, got 9999`,
		`{"services":{"s":{"connections":2}}}`:         `x.json: services.s.connections: want 4 to 65536, got 2`,
		`{"services":{"S 1":{}}}`:                      `x.json: services.S 1: want a name of 1 to 63 small letters`,
		`{"watchers":{"w":{"team":"u"}}}`:              `x.json: watchers.w.team: want a name from teams, got "u"`,
		`{"teams":{"t":{"quota":{"memory":"1MB"}}}}`:   `20-work.json: watchers.w.need: want at most the quota of team "t"`,
		`{"teams":null}`:                               `20-work.json: watchers.w.team: want a name from teams, got "t"`,
		`{"gates":{"g1":{"zone":"z"}}}`:                `x.json: gates.g1.zone: want a name from zones, got "z"`,
		`{"gates":{"g1":{"address":"gate:7000"}}}`:     `x.json: gates.g1.address: want IP address and port such as "10.0.0.1:7000", got "gate:7000"`,
		`{"gates":{"g1":{"address":"10.0.0.2:7000"}}}`: `gates.g2.address: want an address of its own, got that of gates.g1.address`,
		`{"gates":null}`:                               `settings: gates: want at least one gate`,
		`{"classes":{"slow":{}}}`:                      `x.json: classes.slow: want "urgent", "standard" or "batch" as name`,
		`{"classes":{"urgent":{"floor":0.8}}}`:         `x.json: classes: want floors that sum to at most 1, got 1.1`,
		`{"classes":{"urgent":{"weight":0}}}`:          `x.json: classes.urgent.weight: want 0.001 to 1000, got 0`,
		`{"callers":{"c":{"floor":0.6},"d":{"floor":0.6,"token":"fedcba9876543210"}}}`:                   `x.json: callers: want floors that sum to at most 1, got 1.2`,
		`{"callers":{"c":{"token":"short"}}}`:                                                            `x.json: callers.c.token: want 16 to 256 bytes without spaces`,
		`{"admin":{"token":"0123456789abcdef"}}`:                                                         `20-work.json: callers.c.token: want a token of its own, got that of admin.token`,
		`{"jobs":{"j":{"team":"t","program":"p","runtime":"1m","need":{"processors":1,"memory":"1B"}}}}`: `x.json: jobs.j: check: deadline: a job needs one`,
		`{"jobs":{"j":{"deadline":"soon"}}}`:                                                             `x.json: jobs.j.deadline: want a time such as "2027-05-01T06:00:00Z", got "soon"`,
		`{"policy":{"prefer":"both"}}`:                                                                   `x.json: policy.prefer: want "throughput" or "latency", got "both"`,
		`{"logs":{"level":"loud"}}`:                                                                      `x.json: logs.level: want one of debug, info, warn, error, got "loud"`,
		"{\n\"limits\":\n}":                                                                              `x.json: line 3: want JSON:`,
		`[]`:                                                                                             `x.json: want a JSON object, got a list`,
		`{} {}`:                                                                                          `x.json: line 1: want JSON: want one JSON object, got more after its end`,
		strings.Repeat(`{"a":`, 40):                                                                      `want at most 16 levels`,
	} {
		_, err := hvconf.Check(withFile(baseFiles(), "x.json", body))
		if hv.KindOf(err) != hv.Invalid || !strings.Contains(fmt.Sprint(err), want) {
			t.Errorf("%s\n got %v\nwant %s", body, err, want)
		}
	}
}

// Guards against a merge result that depends on anything but the order of the
// file names.
func TestMergeFollowsFileNameOrder(t *testing.T) {
	files := withFile(baseFiles(), "30-a.json", `{"services":{"s":{"target":"50ms"},"u":{"slots":2}},"limits":{"beat":"500ms"}}`)
	files = withFile(files, "40-b.json", `{"services":{"u":null,"s":{"connections":32}},"limits":{"beat":null}}`)
	s, err := hvconf.Check(files)
	if err != nil {
		t.Fatal(err)
	}
	got := s.Services["s"]
	if len(s.Services) != 1 || got.Slots != 4 || got.Connections != 32 || !got.Guard || got.LatencyTarget.Std() != 50*time.Millisecond {
		t.Errorf("services %+v", s.Services)
	}
	if s.Limits.HeartbeatInterval.Std() != time.Second {
		t.Errorf("a field set to null has %v, want the default", s.Limits.HeartbeatInterval.Std())
	}
}

// Guards against a change that is missing in the diff, and against showing
// tokens.
func TestDiff(t *testing.T) {
	from, _ := hvconf.Check(baseFiles())
	to, err := hvconf.Check(withFile(baseFiles(), "x.json", `{"services":{"s":null,"u":{}},"callers":{"c":{"token":"fedcba9876543210"}},"limits":{"beat":"500ms"}}`))
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for _, change := range hvconf.Diff(from, to) {
		lines = append(lines, change.String())
	}
	want := `~ callers.c.token: (hidden) -> (hidden)
~ limits.beat: "1s" -> "500ms"
- services.s.connections: 64
- services.s.guard: true
- services.s.slots: 4
- services.s.target: "100ms"
+ services.u.connections: 64
+ services.u.guard: true
+ services.u.slots: 8
+ services.u.target: "100ms"`
	if got := strings.Join(lines, "\n"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	if change := hvconf.Diff(to, to); len(change) != 0 {
		t.Errorf("the diff of a version with itself has changes: %v", change)
	}
}

// Guards against examples that don't pass the checks or don't have the sizes
// stated in docs/design.md.
func TestExamples(t *testing.T) {
	for _, op := range []struct {
		name, prefer string
		host         hv.Resources
	}{
		{"foundation", hvconf.PreferThroughput, hv.Resources{Processors: 16000, Memory: 60 * hv.GB}},
		{"commission", hvconf.PreferLatency, hv.Resources{Processors: 32000, Memory: 125 * hv.GB}},
	} {
		files, err := hvconf.Load("../examples/" + op.name)
		if err != nil {
			t.Fatal(err)
		}
		s, err := hvconf.Check(files)
		if err != nil {
			t.Fatalf("%s: %v", op.name, err)
		}
		if s.Policy.Prefer != op.prefer || len(s.Zones) != 4 || len(s.Gates) < 3 || len(s.Callers) < 3 || len(s.Jobs) < 3 || len(s.Watchers) < 3 {
			t.Errorf("%s: sections are incomplete: %+v", op.name, s)
		}
		for name, v := range s.Services {
			if v.Slots != 8 || v.Connections != 64 || !v.Guard {
				t.Errorf("%s: service %s: %+v", op.name, name, v)
			}
		}
		checkFleet(t, op.name, op.host, s)
	}
}

func checkFleet(t *testing.T, name string, want hv.Resources, s *hvconf.Settings) {
	var fleet struct {
		Hosts []struct {
			hv.Host
			Service string `json:"service"`
		} `json:"hosts"`
	}
	data, err := os.ReadFile("../examples/fleet/" + name + ".json")
	if err == nil {
		err = json.Unmarshal(data, &fleet)
	}
	if err != nil || len(fleet.Hosts) != 11 {
		t.Fatalf("%s: %d hosts, %v", name, len(fleet.Hosts), err)
	}
	racks := map[string]int{}
	for _, h := range fleet.Hosts {
		racks[h.Rack]++
		_, zone := s.Zones[h.Zone]
		_, service := s.Services[h.Service]
		if h.Capacity != want || !zone || !service || racks[h.Rack] > 3 {
			t.Errorf("%s: host %+v", name, h)
		}
	}
}
