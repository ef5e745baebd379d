package hvprocess

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// cmdRace sends requests concurrently and writes their responses to stdout:
// race HTTP-ARGS -- HTTP-ARGS.
func cmdRace(ts *testscript.TestScript, _ bool, args []string) {
	var calls [][]string
	for len(args) > 0 {
		n := slices.Index(args, "--")
		if n < 0 {
			n = len(args)
		}
		calls = append(calls, args[:n])
		args = args[min(n+1, len(args)):]
	}
	responses, errs := make([]string, len(calls)), make([]error, len(calls))
	var wg sync.WaitGroup
	for i, c := range calls {
		wg.Go(func() { responses[i], errs[i] = sendRequest(ts, c) })
	}
	wg.Wait()
	for i := range calls {
		ts.Check(errs[i])
		_, err := io.WriteString(ts.Stdout(), responses[i])
		ts.Check(err)
	}
}

// cmdKey sets each variable to a new idempotency key.
func cmdKey(ts *testscript.TestScript, _ bool, names []string) {
	for _, n := range names {
		ts.Setenv(n, uuid.Must(uuid.NewV7()).String())
	}
}

// cmdRan fails unless all upstreams together ran the request with a key exactly
// once: ran KEY. It sets the variable RAN to the number of the host that ran it.
func cmdRan(ts *testscript.TestScript, _ bool, args []string) {
	total := 0
	for i := 1; i <= intVariable(ts, "HOSTS"); i++ {
		var runs map[string]int
		getJSON(ts, fmt.Sprintf("http://%s/runs", ts.Getenv(fmt.Sprintf("UP%d", i))), "", &runs)
		if n := runs[args[0]]; n > 0 {
			total += n
			ts.Setenv("RAN", strconv.Itoa(i))
		}
	}
	if total != 1 {
		ts.Fatalf("key %s ran %d times, want 1", args[0], total)
	}
}

// cmdWhere looks up a running job: where JOB. It sets OWNER to the number of the
// gate that owns its shard, OTHER to the number of another gate, HOST to the
// number of its host, and OWNERHTTP, OTHERHTTP and WORKER to the addresses of
// these gates and of the worker on that host.
func cmdWhere(ts *testscript.TestScript, _ bool, args []string) {
	gate := "http://" + ts.Getenv("GATE1")
	var task struct {
		Owner string `json:"owner"`
	}
	getJSON(ts, gate+"/admin/explain/"+args[0], operatorToken, &task)
	var job struct {
		State string `json:"state"`
		Host  string `json:"host"`
	}
	getJSON(ts, gate+"/v1/jobs/"+args[0], callerToken, &job)
	if job.State != "running" {
		ts.Fatalf("state of job %s is %s, want running", args[0], job.State)
	}
	owner := strings.TrimPrefix(task.Owner, "gate")
	other := "1"
	if owner == "1" {
		other = "2"
	}
	ts.Setenv("OWNER", owner)
	ts.Setenv("OTHER", other)
	ts.Setenv("OWNERHTTP", ts.Getenv("GATE"+owner))
	ts.Setenv("OTHERHTTP", ts.Getenv("GATE"+other))
	ts.Setenv("HOST", strings.TrimPrefix(job.Host, "host"))
	ts.Setenv("WORKER", ts.Getenv("WORK"+ts.Getenv("HOST")))
}

// cmdSnapped waits until the last record of each stream is a snapshot record:
// snapped DURATION.
func cmdSnapped(ts *testscript.TestScript, _ bool, args []string) {
	timeout, err := time.ParseDuration(args[0])
	ts.Check(err)
	streams := []string{"config", "r1.keys"}
	for i := range hvtask.Shards {
		streams = append(streams, "r1."+hvshard.StreamName(i))
	}
	start := time.Now()
	for len(streams) > 0 {
		var page hv.Page
		getJSON(ts, fmt.Sprintf("http://%s/streams/%s?from=1&max=10000&wait=0", ts.Getenv("LOG"), streams[0]), "", &page)
		if n := len(page.Records); n > 0 && (page.Records[n-1].Kind == hvlog.KindSnapshot || page.Records[n-1].Kind == hvlog.KindKeep) {
			streams = streams[1:]
			continue
		}
		if time.Since(start) > timeout {
			ts.Fatalf("%d streams do not end with a snapshot record after %s, such as %s", len(streams), timeout, streams[0])
		}
		time.Sleep(pollInterval)
	}
	ts.Logf("[snapshots after %s]", time.Since(start).Round(time.Millisecond))
}

func intVariable(ts *testscript.TestScript, name string) int {
	n, err := strconv.Atoi(ts.Getenv(name))
	ts.Check(err)
	return n
}

func getJSON(ts *testscript.TestScript, url, token string, v any) {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	ts.Check(err)
	req.Header.Set("Authorization", "Bearer "+token)
	client := http.Client{Timeout: requestTimeout}
	res, err := client.Do(req)
	ts.Check(err)
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		ts.Fatalf("GET %s: status %d", url, res.StatusCode)
	}
	ts.Check(json.NewDecoder(res.Body).Decode(v))
}
