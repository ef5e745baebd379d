package hvslope

import (
	"fmt"
	"io"
	"math"

	"hibiscusvane.example/hibiscusvane/hvtask"
)

// row is one cost at every fleet size. per and sizeAt give the quantity that the
// cost is fitted against.
type row struct {
	name, unit, per string
	sizeAt          func(hosts int) float64
	values          []float64
}

// simulationSeconds is the measured virtual time of a simulation.
const simulationSeconds = 20

// Print runs all measurements and writes their tables.
func Print(w io.Writer) {
	rows := measureSizes()
	printSizes(w, rows)
	printHeartbeats(w)
	printRequests(w)
}

func hostsOf(hosts int) float64 { return float64(hosts) }
func tasksOf(hosts int) float64 { return float64(designTasks * hosts / designHosts) }
func startsOf(hosts int) float64 {
	return float64(designStarts*hosts) / designHosts
}

// tasksPerShard returns the mean number of running tasks of a shard.
func tasksPerShard(hosts int) float64 { return tasksOf(hosts) / hvtask.Shards }

func measureSizes() []*row {
	var rows []*row
	for i, hosts := range FleetSizes {
		f := newFleet(hosts)
		n := 0
		add := func(name, unit, per string, at func(int) float64, value float64) {
			if i == 0 {
				rows = append(rows, &row{name: name, unit: unit, per: per, sizeAt: at})
			}
			rows[n].values = append(rows[n].values, value)
			n++
		}
		sizeRows(f, add)
	}
	return rows
}

type addFunc func(name, unit, per string, at func(int) float64, value float64)

func sizeRows(f *fleet, add addFunc) {
	d := f.PlacementCost()
	h, u := f.HeartbeatCosts()
	add("placement decision, time", "us", "host", hostsOf, d.nanoseconds/1e3)
	add("placement decision, allocated", "B", "host", hostsOf, d.bytes)
	add("heartbeat with full lists at a gate that owns all shards, time", "us", "host", hostsOf, h.nanoseconds/1e3)
	add("heartbeat with full lists at a gate that owns all shards, allocated", "B", "host", hostsOf, h.bytes)
	add("heartbeat with unchanged lists, time", "us", "host", hostsOf, u.nanoseconds/1e3)
	add("heartbeat with unchanged lists, allocated", "B", "host", hostsOf, u.bytes)
	simulationRows(f, add)
	record, fetched := f.PublicationSizes()
	add("publication with 63 teams, record", "B", "host", hostsOf, record)
	add("publication with 63 teams, fetch by a side", "B", "host", hostsOf, fetched)
	running, withEnded := f.SnapshotSizes()
	add("snapshot of a shard, running tasks", "B", "task of the shard", tasksPerShard, running)
	add("snapshot of a shard, with a day of ended tasks", "B", "task of the shard", tasksPerShard, withEnded)
	add("snapshot of the key table", "B", "host", hostsOf, f.KeySnapshotSize())
	shards, members, keys, placer := f.MemorySizes()
	add("memory of 16 shards with a day of ended tasks", "kB", "task", tasksOf, shards/1e3)
	add("memory of the membership", "kB", "host", hostsOf, members/1e3)
	add("memory of the key table", "kB", "host", hostsOf, keys/1e3)
	add("memory of the placer", "kB", "host", hostsOf, placer/1e3)
}

// simulationRepetitions is less than repetitions, as a simulation takes long.
const simulationRepetitions = 5

// simulationRows adds the rows of the simulations without starts and at the peak
// rate.
func simulationRows(f *fleet, add addFunc) {
	idle, _ := f.simulateMedians(0)
	peak, s := f.simulateMedians(designStarts)
	n := float64(s.completed)
	add("step of a shard owner without starts, time", "us", "host", hostsOf, idle.step)
	add("step of a shard owner at the peak rate, time", "us", "host", hostsOf, peak.step)
	add("step of a shard owner at the peak rate, allocated", "B", "host", hostsOf, f.stepAllocation())
	add("heartbeat at 16 shard owners at the peak rate, time", "us", "host", hostsOf, peak.heartbeat)
	add("records of one task, time to apply", "us", "start a second", startsOf, peak.apply)
	add("records of one task, bytes", "B", "start a second", startsOf, float64(s.bytes)/n)
	add("records a second at the peak rate", "1/s", "start a second", startsOf, float64(s.records)/simulationSeconds)
	add("bytes of records a second at the peak rate", "B/s", "start a second", startsOf, float64(s.bytes)/simulationSeconds)
}

// simulationTimes holds median times in microseconds: of one step of one owner,
// of one heartbeat at all owners, and of applying the records of one task.
type simulationTimes struct{ step, heartbeat, apply float64 }

func (f *fleet) simulateMedians(startRate int) (simulationTimes, *simulation) {
	var steps, heartbeats, applies []float64
	var s *simulation
	for range simulationRepetitions {
		s = f.Simulate(startRate, simulationSeconds)
		count := float64(simulationSeconds * hvtask.Shards * stepsPerSecond)
		steps = append(steps, float64(s.stepTime.Nanoseconds())/1e3/count)
		heartbeats = append(heartbeats, float64(s.heartbeatTime.Nanoseconds())/1e3/simulationSeconds/float64(len(f.hosts)))
		applies = append(applies, float64(s.applyTime.Nanoseconds())/1e3/float64(max(s.completed, 1)))
	}
	return simulationTimes{median(steps), median(heartbeats), median(applies)}, s
}

func printSizes(w io.Writer, rows []*row) {
	fmt.Fprint(w, "| cost | unit |")
	for _, n := range FleetSizes {
		fmt.Fprintf(w, " %d hosts |", n)
	}
	fmt.Fprint(w, " fixed | slope |\n|---|---|")
	for range FleetSizes {
		fmt.Fprint(w, "---|")
	}
	fmt.Fprint(w, "---|---|\n")
	for _, r := range rows {
		var x []float64
		for _, n := range FleetSizes {
			x = append(x, r.sizeAt(n))
		}
		l := Fit(x, r.values)
		fmt.Fprintf(w, "| %s | %s |", r.name, r.unit)
		for _, v := range r.values {
			fmt.Fprintf(w, " %s |", formatNumber(v))
		}
		fmt.Fprintf(w, " %s | %s per %s |\n", formatNumber(l.Intercept), formatNumber(l.Slope), r.per)
	}
}

// formatNumber formats v with at least three significant digits.
func formatNumber(v float64) string {
	if a := math.Abs(v); a >= 100 {
		return fmt.Sprintf("%.0f", v)
	} else if a >= 10 {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func printHeartbeats(w io.Writer) {
	fmt.Fprint(w, "\n| heartbeat | attempts | key slots | request B | response B | total B |\n|---|---|---|---|---|---|\n")
	for _, unchanged := range []bool{false, true} {
		for _, usage := range []bool{false, true} {
			for _, attempts := range []int{0, 8, 9} {
				for _, slots := range []int{0, 24, 256} {
					out, in := heartbeatBytes(attempts, slots, usage, unchanged)
					fmt.Fprintf(w, "| %s, %s | %d | %d | %d | %d | %d |\n", listsLabel(unchanged), usageLabel(usage), attempts, slots, out, in, out+in)
				}
			}
			l := fitBytes([]int{0, 8, 9}, func(n int) (int, int) { return heartbeatBytes(n, 0, usage, unchanged) })
			fmt.Fprintf(w, "| %s, %s: slope | | | | | %s + %s per attempt |\n", listsLabel(unchanged), usageLabel(usage), formatNumber(l.Intercept), formatNumber(l.Slope))
		}
		l := fitBytes([]int{24, 256}, func(n int) (int, int) { return heartbeatBytes(0, n, false, unchanged) })
		fmt.Fprintf(w, "| %s, grant: slope | | | | | %s + %s per slot |\n", listsLabel(unchanged), formatNumber(l.Intercept), formatNumber(l.Slope))
	}
	fmt.Fprintf(w, "| between two gates | | | | | %d |\n", peerHeartbeatBytes())
}

func fitBytes(sizes []int, bytes func(int) (int, int)) Line {
	var x, y []float64
	for _, n := range sizes {
		out, in := bytes(n)
		x, y = append(x, float64(n)), append(y, float64(out+in))
	}
	return Fit(x, y)
}

func usageLabel(usage bool) string {
	if usage {
		return "with usage"
	}
	return "without usage"
}

func listsLabel(unchanged bool) string {
	if unchanged {
		return "unchanged lists"
	}
	return "full lists"
}

func printRequests(w io.Writer) {
	fmt.Fprint(w, "\n| request between gate and side, bodies each way | bytes beyond the bodies |\n|---|---|\n")
	var x, y []float64
	for _, size := range []int{0, 1024, 16384} {
		n := requestBytes(size)
		x, y = append(x, float64(size)), append(y, float64(n))
		fmt.Fprintf(w, "| %d B | %d |\n", size, n)
	}
	l := Fit(x, y)
	fmt.Fprintf(w, "| slope | %s + %s per byte of a body |\n", formatNumber(l.Intercept), formatNumber(l.Slope))
}
