package hvslope

import (
	"fmt"
	"io"
	"math"

	"hibiscusvane.example/hibiscusvane/hvtask"
)

// row is one cost at every size with the unit of its size.
type row struct {
	name, unit, per string
	at              func(hosts int) float64
	values          []float64
}

// lifeSeconds is the length of the virtual run at the peak rate.
const lifeSeconds = 20

// Print measures and writes all tables.
func Print(w io.Writer) {
	rows := measureSizes()
	printSizes(w, rows)
	printBeats(w)
	printRequests(w)
}

func hostsOf(hosts int) float64 { return float64(hosts) }
func tasksOf(hosts int) float64 { return float64(designTasks * hosts / designHosts) }
func startsOf(hosts int) float64 {
	return float64(designStarts*hosts) / designHosts
}

// perShard counts the tasks of one shard.
func perShard(hosts int) float64 { return tasksOf(hosts) / hvtask.Shards }

func measureSizes() []*row {
	var rows []*row
	for i, hosts := range FleetSizes {
		f := newFleet(hosts)
		n := 0
		add := func(name, unit, per string, at func(int) float64, value float64) {
			if i == 0 {
				rows = append(rows, &row{name: name, unit: unit, per: per, at: at})
			}
			rows[n].values = append(rows[n].values, value)
			n++
		}
		sizeRows(f, add)
	}
	return rows
}

type adder func(name, unit, per string, at func(int) float64, value float64)

func sizeRows(f *fleet, add adder) {
	d := f.Decision()
	h, u := f.Heartbeat()
	add("placement decision, time", "us", "host", hostsOf, d.nanoseconds/1e3)
	add("placement decision, allocated", "B", "host", hostsOf, d.bytes)
	add("heartbeat with whole lists at a gate that owns all shards, time", "us", "host", hostsOf, h.nanoseconds/1e3)
	add("heartbeat with whole lists at a gate that owns all shards, allocated", "B", "host", hostsOf, h.bytes)
	add("heartbeat with unchanged lists, time", "us", "host", hostsOf, u.nanoseconds/1e3)
	add("heartbeat with unchanged lists, allocated", "B", "host", hostsOf, u.bytes)
	lifeRows(f, add)
	record, copied := f.Publication()
	add("publication with 63 teams, record", "B", "host", hostsOf, record)
	add("publication with 63 teams, fetch by a side", "B", "host", hostsOf, copied)
	running, kept := f.Snapshot()
	add("snapshot of a shard, running tasks", "B", "task of the shard", perShard, running)
	add("snapshot of a shard, with a day of ended tasks", "B", "task of the shard", perShard, kept)
	add("snapshot of the key table", "B", "host", hostsOf, f.KeySnapshot())
	shards, members, keys, placer := f.Memory()
	add("memory of 16 shards with a day of ended tasks", "kB", "task", tasksOf, shards/1e3)
	add("memory of the membership", "kB", "host", hostsOf, members/1e3)
	add("memory of the key table", "kB", "host", hostsOf, keys/1e3)
	add("memory of the placer", "kB", "host", hostsOf, placer/1e3)
}

// lifeRepetitions is below repetitions, as a virtual run is long by itself.
const lifeRepetitions = 5

// lifeRows reports the runs without starts and at the peak rate.
func lifeRows(f *fleet, add adder) {
	idle, _ := f.lives(0)
	peak, l := f.lives(designStarts)
	n := float64(l.lives)
	add("step of a shard owner without starts, time", "us", "host", hostsOf, idle.step)
	add("step of a shard owner at the peak rate, time", "us", "host", hostsOf, peak.step)
	add("step of a shard owner at the peak rate, allocated", "B", "host", hostsOf, f.stepBytes())
	add("Beat of 16 shard owners at the peak rate, time", "us", "host", hostsOf, peak.beat)
	add("records of a task life, time to apply", "us", "start a second", startsOf, peak.apply)
	add("records of a task life, bytes", "B", "start a second", startsOf, float64(l.bytes)/n)
	add("records a second at the peak rate", "1/s", "start a second", startsOf, float64(l.records)/lifeSeconds)
	add("bytes of records a second at the peak rate", "B/s", "start a second", startsOf, float64(l.bytes)/lifeSeconds)
}

// lifeTimes are medians: of one step of one owner, of one heartbeat at all
// owners, and of the records of one task, in microseconds.
type lifeTimes struct{ step, beat, apply float64 }

func (f *fleet) lives(starts int) (lifeTimes, *life) {
	var steps, beats, applies []float64
	var l *life
	for range lifeRepetitions {
		l = f.Life(starts, lifeSeconds)
		count := float64(lifeSeconds * hvtask.Shards * stepsSecond)
		steps = append(steps, float64(l.stepTime.Nanoseconds())/1e3/count)
		beats = append(beats, float64(l.beatTime.Nanoseconds())/1e3/lifeSeconds/float64(len(f.hosts)))
		applies = append(applies, float64(l.applyTime.Nanoseconds())/1e3/float64(max(l.lives, 1)))
	}
	return lifeTimes{median(steps), median(beats), median(applies)}, l
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
			x = append(x, r.at(n))
		}
		l := Fit(x, r.values)
		fmt.Fprintf(w, "| %s | %s |", r.name, r.unit)
		for _, v := range r.values {
			fmt.Fprintf(w, " %s |", number(v))
		}
		fmt.Fprintf(w, " %s | %s per %s |\n", number(l.Intercept), number(l.Slope), r.per)
	}
}

// number prints three significant digits without an exponent.
func number(v float64) string {
	if a := math.Abs(v); a >= 100 {
		return fmt.Sprintf("%.0f", v)
	} else if a >= 10 {
		return fmt.Sprintf("%.1f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func printBeats(w io.Writer) {
	fmt.Fprint(w, "\n| heartbeat | attempts | key slots | request B | answer B | sum B |\n|---|---|---|---|---|---|\n")
	for _, unchanged := range []bool{false, true} {
		for _, usage := range []bool{false, true} {
			for _, attempts := range []int{0, 8, 9} {
				for _, slots := range []int{0, 24, 256} {
					out, in := beatBytes(attempts, slots, usage, unchanged)
					fmt.Fprintf(w, "| %s, %s | %d | %d | %d | %d | %d |\n", lists(unchanged), with(usage), attempts, slots, out, in, out+in)
				}
			}
			l := fitBeats([]int{0, 8, 9}, func(n int) (int, int) { return beatBytes(n, 0, usage, unchanged) })
			fmt.Fprintf(w, "| %s, %s: slope | | | | | %s + %s per attempt |\n", lists(unchanged), with(usage), number(l.Intercept), number(l.Slope))
		}
		l := fitBeats([]int{24, 256}, func(n int) (int, int) { return beatBytes(0, n, false, unchanged) })
		fmt.Fprintf(w, "| %s, grant: slope | | | | | %s + %s per slot |\n", lists(unchanged), number(l.Intercept), number(l.Slope))
	}
	fmt.Fprintf(w, "| between two gates | | | | | %d |\n", peerBytes())
}

func fitBeats(sizes []int, bytes func(int) (int, int)) Line {
	var x, y []float64
	for _, n := range sizes {
		out, in := bytes(n)
		x, y = append(x, float64(n)), append(y, float64(out+in))
	}
	return Fit(x, y)
}

func with(usage bool) string {
	if usage {
		return "with usage"
	}
	return "without usage"
}

func lists(unchanged bool) string {
	if unchanged {
		return "unchanged lists"
	}
	return "whole lists"
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
	fmt.Fprintf(w, "| slope | %s + %s per byte of a body |\n", number(l.Intercept), number(l.Slope))
}
