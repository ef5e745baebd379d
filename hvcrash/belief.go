package hvcrash

import "time"

// crashScale is the scale of the time from the start of a crashing task to the crash
// of its host: half of the crashes come within it. The distribution has a heavy tail,
// because a task may crash its host at any time.
const crashScale = 30 * time.Millisecond

// minInterval is the shortest interval in which the time of a crash can be known.
const minInterval = time.Millisecond

// Run is a run on a host that crashed.
type Run struct {
	// Belief is the probability, before the run started, that its task crashes hosts.
	Belief float64
	// Age is how long the run had been on the host when the crash was noticed.
	Age time.Duration
}

// Result is what a crash says of one run.
type Result struct {
	// Belief is the probability, after the crash, that the task crashes hosts.
	Belief float64
	// Responsibility is the probability that this run caused the crash.
	Responsibility float64
}

// Attribute returns what a crash of a host says of each run on it. The background is
// the rate per second at which the host crashes for reasons other than a task; the
// host may have crashed up to uncertainty before the crash was noticed.
func Attribute(background float64, uncertainty time.Duration, runs []Run) []Result {
	rates := make([]float64, len(runs))
	total := background
	for i, r := range runs {
		rates[i] = r.crashRate(uncertainty)
		total += rates[i]
	}
	out := make([]Result, len(runs))
	for i, r := range runs {
		share := 0.0
		if total > 0 {
			share = rates[i] / total
		}
		out[i] = Result{Belief: share + (1-share)*Survived(r.Belief, r.Age), Responsibility: share}
	}
	return out
}

// crashRate returns the rate per second at which the run crashes its host in the
// interval before its age, given that it did not crash the host before.
func (r Run) crashRate(uncertainty time.Duration) float64 {
	from := max(r.Age-max(uncertainty, minInterval), 0)
	to := max(r.Age, from+minInterval)
	within := survival(from) - survival(to)
	alive := 1 - r.Belief*(1-survival(from))
	return r.Belief * within / alive / (to - from).Seconds()
}

// survival returns the probability that a crashing task has not crashed its host by an
// age.
func survival(age time.Duration) float64 {
	return crashScale.Seconds() / (crashScale + max(age, 0)).Seconds()
}

// Survived returns the belief in a task of which a run has reached an age.
func Survived(belief float64, age time.Duration) float64 {
	s := survival(age)
	return belief * s / (1 - belief + belief*s)
}
