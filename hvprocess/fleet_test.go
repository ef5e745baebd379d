package hvprocess

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"hibiscusvane.example/hibiscusvane/hvkey"
)

// Tokens in the settings of the fleet.
const (
	callerToken   = "caller-token-0123456789"
	operatorToken = "operator-token-0123456789"
)

// cmdFleet starts a log service, gates, and hosts with worker, upstream and
// side, and publishes settings: fleet GATES HOSTS [EXTRA.json]. The extra file
// becomes a second settings file. If the variable RELAY is set, sides and other
// gates connect to the first gate through a relay, and RELAY is set to the
// control address of the relay. Addresses are in the variables LOG, GATE1, UP1,
// WORK1 and so on; the processes are named log, gate1, up1, work1, side1 and so
// on.
func cmdFleet(ts *testscript.TestScript, _ bool, args []string) {
	gates, err := strconv.Atoi(args[0])
	ts.Check(err)
	hosts, err := strconv.Atoi(args[1])
	ts.Check(err)
	setFreeAddress(ts, "LOG")
	cmdSpawn(ts, false, []string{"log", "hvfake", "log", "--listen", ts.Getenv("LOG")})
	internal := startGates(ts, gates)
	ts.Setenv(fakeGates, urls(ts, "GATE", gates))
	for i := 1; i <= hosts; i++ {
		startHost(ts, i, internal)
	}
	ts.Setenv(fakeUpstreams, urls(ts, "UP", hosts))
	ts.Setenv(fakeWorkers, urls(ts, "WORK", hosts))
	ts.Setenv("HOSTS", strconv.Itoa(hosts))
	cmdPublish(ts, false, append([]string{"1", "0"}, args[2:]...))
}

// Environment variables from which hvfake reads the base URLs of the fleet.
const (
	fakeGates     = "HV_FAKE_GATES"
	fakeUpstreams = "HV_FAKE_UPSTREAMS"
	fakeWorkers   = "HV_FAKE_WORKERS"
)

func urls(ts *testscript.TestScript, name string, n int) string {
	var list []string
	for i := 1; i <= n; i++ {
		list = append(list, "http://"+ts.Getenv(fmt.Sprintf("%s%d", name, i)))
	}
	return strings.Join(list, ",")
}

func setFreeAddress(ts *testscript.TestScript, name string) string {
	cmdPorts(ts, false, []string{name})
	return ts.Getenv(name)
}

func startGates(ts *testscript.TestScript, n int) []string {
	var internal []string
	for i := 1; i <= n; i++ {
		setFreeAddress(ts, fmt.Sprintf("GATE%d", i))
		internal = append(internal, setFreeAddress(ts, fmt.Sprintf("INTERNAL%d", i)))
	}
	listen := slices.Clone(internal)
	if ts.Getenv("RELAY") != "" {
		internal[0] = startRelay(ts, internal[0])
	}
	for i := 1; i <= n; i++ {
		name := fmt.Sprintf("gate%d", i)
		writeJSON(ts, name+".json", map[string]any{
			"name": name, "region": "r1", "zone": zone(i), "listen": ts.Getenv(fmt.Sprintf("GATE%d", i)),
			"internal": listen[i-1], "log": "http://" + ts.Getenv("LOG"), "gates": internal, "token": operatorToken,
		})
		cmdSpawn(ts, false, []string{name, "hvgate", "--config", name + ".json"})
	}
	ts.Setenv("GATES", strconv.Itoa(n))
	ts.Setenv("HV_GATE", "http://"+ts.Getenv("GATE1"))
	ts.Setenv("HV_TOKEN", operatorToken)
	return internal
}

// startRelay starts a relay in front of the internal address of the first gate
// and returns the address that it listens on.
func startRelay(ts *testscript.TestScript, to string) string {
	listen, control := setFreeAddress(ts, "INTERNAL1"), setFreeAddress(ts, "RELAY")
	cmdSpawn(ts, false, []string{"relay", "hvfake", "relay", "--listen", listen, "--to", to, "--control", control})
	return listen
}

func startHost(ts *testscript.TestScript, i int, gates []string) {
	workerAddr, upstreamAddr, sideAddr := setFreeAddress(ts, fmt.Sprintf("WORK%d", i)), setFreeAddress(ts, fmt.Sprintf("UP%d", i)), setFreeAddress(ts, fmt.Sprintf("SIDE%d", i))
	cmdSpawn(ts, false, []string{fmt.Sprintf("work%d", i), "hvfake", "worker", "--listen", workerAddr, "--cores", "4", "--memory", "8GB", "--lag", "2s"})
	cmdSpawn(ts, false, []string{fmt.Sprintf("up%d", i), "hvfake", "upstream", "--listen", upstreamAddr})
	sideName := fmt.Sprintf("side%d", i)
	writeJSON(ts, sideName+".json", map[string]any{
		"host": map[string]any{
			"name": fmt.Sprintf("host%d", i), "zone": zone(i), "rack": fmt.Sprintf("rack%d", i),
			"capacity": map[string]any{"processors": 4000, "memory": "8GB"},
		},
		"region": "r1", "service": "label", "upstream": "http://" + upstreamAddr, "worker": "http://" + workerAddr,
		"slots": 8, "connections": 64, "gates": gates, "listen": sideAddr,
	})
	cmdSpawn(ts, false, []string{sideName, "hvside", "--config", sideName + ".json"})
}

func zone(i int) string { return string(rune('a' + (i-1)%4)) }

// cmdPublish publishes the settings of the fleet on a base version through a
// gate: publish GATE BASE [EXTRA.json].
func cmdPublish(ts *testscript.TestScript, _ bool, args []string) {
	base, err := strconv.Atoi(args[1])
	ts.Check(err)
	writePublication(ts, "publication.json", base, "test", args[2:])
	url := "http://" + ts.Getenv("GATE"+args[0]) + "/admin/publish"
	cmdUntil(ts, false, []string{
		"10s", `^(200|409)$`, "http", "POST", url, "-H", "Authorization: Bearer " + operatorToken, "@publication.json",
	})
}

// cmdPublication writes a publication of the fleet's settings to a file:
// publication FILE BASE AUTHOR [EXTRA.json].
func cmdPublication(ts *testscript.TestScript, _ bool, args []string) {
	base, err := strconv.Atoi(args[1])
	ts.Check(err)
	writePublication(ts, args[0], base, args[2], args[3:])
}

func writePublication(ts *testscript.TestScript, name string, base int, author string, extra []string) {
	zones, gates := map[string]any{}, map[string]any{}
	n, err := strconv.Atoi(ts.Getenv("GATES"))
	ts.Check(err)
	for i := 1; i <= 4; i++ {
		zones[zone(i)] = map[string]any{"region": "r1"}
	}
	for i := 1; i <= n; i++ {
		gates[fmt.Sprintf("gate%d", i)] = map[string]any{
			"zone": zone(i), "address": ts.Getenv(fmt.Sprintf("INTERNAL%d", i)), "http": ts.Getenv(fmt.Sprintf("GATE%d", i)),
		}
	}
	files := map[string]any{"10-fleet.json": map[string]any{
		"zones": zones, "gates": gates, "callers": map[string]any{"shop": map[string]any{"token": callerToken}},
		"services": map[string]any{"label": map[string]any{"slots": 8, "connections": 64}},
	}}
	if len(extra) > 0 {
		files["20-extra.json"] = json.RawMessage(ts.ReadFile(extra[0]))
	}
	writeJSON(ts, name, map[string]any{"base": base, "author": author, "files": files})
}

// cmdInForce waits until a version of the settings is in effect at all gates and
// sides of the fleet: inforce VERSION DURATION.
func cmdInForce(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[1])
	ts.Check(err)
	var daemons []string
	for _, kind := range []string{"GATE", "SIDE"} {
		for i := 1; ts.Getenv(fmt.Sprint(kind, i)) != ""; i++ {
			daemons = append(daemons, fmt.Sprint(kind, i))
		}
	}
	want := "\nhv_settings_version " + args[0] + "\n"
	deadline := time.Now().Add(timeout)
	for _, d := range daemons {
		for {
			out, err := sendRequest(ts, []string{"GET", "http://" + ts.Getenv(d) + "/metrics"})
			if err == nil && strings.Contains(out, want) {
				break
			}
			if time.Now().After(deadline) {
				ts.Fatalf("settings version %s did not take effect at %s within %s", args[0], d, timeout)
			}
			time.Sleep(pollInterval)
		}
	}
	ts.Logf("settings version %s in effect at %d daemons after %s", args[0], len(daemons), timeout-time.Until(deadline))
}

// cmdBalanced waits until each side of the fleet serves an equal part of the key
// slots, so that no slot is about to move: balanced DURATION.
func cmdBalanced(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	hosts, err := strconv.Atoi(ts.Getenv("HOSTS"))
	ts.Check(err)
	want := fmt.Sprintf("\nhv_key_slots %d\n", hvkey.SlotCount/hosts)
	start := time.Now()
	for !allSidesShow(ts, hosts, want) {
		if time.Since(start) > timeout {
			ts.Fatalf("the %d sides do not serve %d key slots each within %s", hosts, hvkey.SlotCount/hosts, timeout)
		}
		time.Sleep(pollInterval)
	}
	ts.Logf("key slots balanced after %s", time.Since(start).Round(time.Millisecond))
}

// allSidesShow reports whether the metrics of all sides contain a text.
func allSidesShow(ts *testscript.TestScript, hosts int, text string) bool {
	for i := 1; i <= hosts; i++ {
		out, err := sendRequest(ts, []string{"GET", "http://" + ts.Getenv(fmt.Sprint("SIDE", i)) + "/metrics"})
		if err != nil || !strings.Contains(out, text) {
			return false
		}
	}
	return true
}

func writeJSON(ts *testscript.TestScript, name string, v any) {
	b, err := json.Marshal(v)
	ts.Check(err)
	ts.Check(os.WriteFile(ts.MkAbs(name), b, 0o600))
}
