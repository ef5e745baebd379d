package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

func randomJob(r *rand.Rand, id string) *job {
	j := &job{id: id, Spec: fmt.Sprintf("spec of %s", id)}
	if r.IntN(2) == 0 {
		for len(j.Spec) < 300 {
			j.Spec += " and more"
		}
	}
	n := 1 + r.IntN(3)
	for i := range n {
		s := step{Count: 1 + r.IntN(5), CPU: int64(200 + r.IntN(1500)), MemMB: 100, EstimateMS: 500, work: time.Duration(200+r.IntN(2500)) * time.Millisecond}
		if i > 0 {
			s.After = []int{r.IntN(i)}
		}
		if r.IntN(3) == 0 {
			s.Checkpoint, s.work = true, s.work+3*time.Second
		}
		switch r.IntN(8) {
		case 0, 1:
			s.Gang, s.Count = true, 2+r.IntN(4)
			s.Tight = r.IntN(2) == 0
		case 2:
			s.AntiAffinity = 1
		case 3:
			s.Requires = "odd"
		case 4:
			s.Fill, s.Image = true, "filler"
		case 5:
			s.failRuns = 1 + r.IntN(2)
		}
		switch r.IntN(6) {
		case 0:
			s.Requires = "odd"
		case 1:
			s.Requires = fmt.Sprintf("only-m%d", r.IntN(4))
			s.Count, s.AntiAffinity = min(s.Count, 3), 0
		case 2:
			s.failRuns = 1 + r.IntN(2)
		case 3:
			s.Speculative = !s.Gang
		}
		if s.Gang && s.AntiAffinity > 0 {
			s.Count = 2
		}
		j.Steps = append(j.Steps, s)
	}
	switch r.IntN(12) {
	case 0:
		j.Times, j.IntervalMS, j.InitialDelayMS = 3+r.IntN(4), int64(500+r.IntN(3000)), time.Now().Add(time.Duration(r.IntN(4000))*time.Millisecond).UnixMilli()
	case 1:
		j.Steps = []step{{Count: 1 + r.IntN(3), CPU: 300, MemMB: 50, Perpetual: true, work: 400 * time.Millisecond, failRuns: r.IntN(2), Image: "service", TargetMS: 20, AntiAffinity: r.IntN(2)}}
		if r.IntN(3) == 0 {
			j.Steps[0].Requires = fmt.Sprintf("only-m%d", r.IntN(4))
			j.Steps[0].AntiAffinity = 0
		}
	case 2:
		j.hopeless = true
	}
	return j
}

type faults struct {
	b *bed
	r *rand.Rand
}

func (f *faults) gate() *process { return f.b.gates[f.r.IntN(len(f.b.gates))] }

func (f *faults) one() {
	b, r := f.b, f.r
	d := time.Duration(500+r.IntN(5000)) * time.Millisecond
	short := time.Duration(100+r.IntN(1000)) * time.Millisecond
	i := r.IntN(len(b.sides))
	switch r.IntN(15) {
	case 0:
		f.gate().restart(syscall.SIGKILL, short)
	case 1:
		f.gate().restart(syscall.SIGTERM, 0)
	case 2:
		f.gate().pause(min(d, 4*time.Second))
	case 3:
		b.sides[i].restart(syscall.SIGKILL, short)
	case 4:
		b.sides[i].pause(min(d, 4*time.Second))
	case 5:
		f.crash(i, d)
	case 6:
		f.crash(i, short/5)
	case 7:
		b.log("power of side %d is lost", i)
		b.minions[i].restarting.Lock()
		b.minions[i].crash()
		b.sides[i].restart(syscall.SIGKILL, short)
		_ = b.minions[i].start()
		b.minions[i].restarting.Unlock()
	case 8:
		p := f.gate()
		b.log("store path of %s is cut", p.name)
		p.store.setCut(true)
		time.Sleep(d)
		p.store.setCut(false)
		b.log("store path of %s is back", p.name)
	case 9:
		b.log("answers of the store are lost")
		b.lostUntil.Store(time.Now().Add(min(d, 4500*time.Millisecond)).UnixNano())
		time.Sleep(d)
	case 10:
		b.log("the store is cut off from all")
		for _, p := range b.gates {
			p.store.setCut(true)
		}
		time.Sleep(min(d, 4500*time.Millisecond))
		for _, p := range b.gates {
			p.store.setCut(false)
		}
	case 11:
		b.log("orders are carried out late")
		b.lateUntil.Store(time.Now().Add(d).UnixNano())
		time.Sleep(d)
	case 13:
		b.log("minion %d fails all that it starts", i)
		b.minions[i].failsUntil.Store(time.Now().Add(d).UnixNano())
		time.Sleep(d)
	case 14:
		f.leave(i)
	case 12:
		b.log("all gates are killed")
		var all sync.WaitGroup
		for _, p := range b.gates {
			all.Go(func() { p.restart(syscall.SIGKILL, short) })
		}
		all.Wait()
	}
}

// leave ends a minion in a planned way and starts it again.
func (f *faults) leave(i int) {
	m := f.b.minions[i]
	m.restarting.Lock()
	defer m.restarting.Unlock()
	m.leave(3 * time.Second)
	time.Sleep(time.Second)
	_ = m.start()
}

func (f *faults) crash(i int, down time.Duration) {
	m := f.b.minions[i]
	m.restarting.Lock()
	defer m.restarting.Unlock()
	m.crash()
	time.Sleep(down)
	_ = m.start()
}

func soak(o options) []string {
	r := rand.New(rand.NewPCG(o.seed, 7))
	b := newBed(o.programs, o.record, o.seed, 3, 4, r.IntN(2) == 0)
	defer b.close()
	for _, m := range b.minions {
		m.late = func() bool { return time.Now().UnixNano() < b.lateUntil.Load() && rand.Float64() < 0.067 }
	}
	b.ready()
	ctx, cancel := context.WithTimeout(context.Background(), o.length)
	defer cancel()
	var loops sync.WaitGroup
	if o.trouble {
		for i := range 2 {
			f := &faults{b, rand.New(rand.NewPCG(o.seed, uint64(20+i)))}
			loops.Go(func() {
				for ctx.Err() == nil {
					f.one()
					sleep(ctx, time.Duration(f.r.IntN(3000))*time.Millisecond)
				}
			})
		}
	}
	var jobs []*job
	var mu sync.Mutex
	loops.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			j := randomJob(r, fmt.Sprintf("%08x%08x", uint32(o.seed), n))
			gate, cancels, wait := r.IntN(3), r.IntN(8) == 0 || j.Steps[0].Perpetual && r.IntN(2) == 0, time.Duration(r.IntN(4000))*time.Millisecond
			loops.Go(func() {
				if !b.submit(j, gate) {
					return
				}
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				if cancels {
					time.Sleep(wait)
					b.cancelJob(j, gate+1)
				}
			})
			sleep(ctx, time.Duration(200+r.IntN(700))*time.Millisecond)
		}
	})
	loops.Wait()
	b.log("load and faults have ended")
	time.Sleep(5 * time.Second)
	open := func() (out []*job) {
		b.oracle.mu.Lock()
		defer b.oracle.mu.Unlock()
		for _, j := range jobs {
			if j.state != "complete" && j.state != "failed" && j.state != "cancelled" && j.cancelSent.IsZero() && !j.Steps[0].Perpetual {
				out = append(out, j)
			}
		}
		return out
	}
	for i, end := 0, time.Now().Add(40*time.Second); len(open()) > 0 && time.Now().Before(end); i++ {
		for _, j := range open() {
			b.query(j, i%3, true)
		}
		time.Sleep(500 * time.Millisecond)
	}
	for _, j := range open() {
		b.oracle.mu.Lock()
		b.oracle.broke("LOST", "accepted job %s has not ended: %q, %d done, %+v", j.id, j.state, len(j.done), j)
		b.oracle.mu.Unlock()
	}
	b.oracle.mu.Lock()
	defer b.oracle.mu.Unlock()
	for _, j := range b.oracle.jobs {
		if j.refused && !j.accepted && !j.uncertain {
			for task := range b.oracle.history {
				if task[:16] == j.id {
					b.oracle.broke("REFUSED", "job %s was refused and runs", j.id)
				}
			}
		}
		if j.accepted && j.Steps[0].Perpetual && j.cancelSent.IsZero() && b.oracle.runningTasks(j) < j.Steps[0].Count {
			b.oracle.broke("LOST", "%d of %d lasting tasks of %s run at the end", b.oracle.runningTasks(j), j.Steps[0].Count, j.id)
		}
		if !j.cancelAcked.IsZero() && b.oracle.runningTasks(j) > 0 {
			b.oracle.broke("UNASKED", "%s still runs at the end", j.id)
		}
	}
	return b.oracle.breaks
}
