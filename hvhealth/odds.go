package hvhealth

import (
	"math"
	"slices"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// The model: a bad host fails nearly every task, a bad task fails on nearly
// every host, and a good task on a good host rarely fails.
const (
	badHostFailureRate = 0.95
	badTaskFailureRate = 0.97
	goodFailureRate    = 0.01

	// priorLogOdds is the logarithm of the odds that a host is bad before any
	// result: one in fifty.
	priorLogOdds = -3.9
	// minLogOdds is a lower bound of the odds, so that a host that worked well
	// for long and then breaks is detected after as few failures as any other.
	minLogOdds = -4.5
	// rackLogOdds is added while another host of the rack is suspect, as the
	// hosts of a rack share power, network and delivery.
	rackLogOdds = 1.5
	// suspectLogOdds (2 to 1) is the threshold above which a host is used only
	// as a last resort, and quarantineLogOdds (20 to 1) the one above which it
	// is quarantined.
	suspectLogOdds    = 0.7
	quarantineLogOdds = 3.0
	// healthyLogOdds is the threshold up to which a host counts as healthy when
	// a failure there is attributed to the task.
	healthyLogOdds = -0.7

	// minTaskRate and maxTaskRate bound the assumed rate of bad tasks.
	minTaskRate = 0.05
	maxTaskRate = 0.8
)

// updateHost computes the odds that a host is bad from its recent results,
// oldest first, and quarantines it if they exceed quarantineLogOdds.
func (h *Health) updateHost(now time.Time, hs *hostState) {
	logOdds := priorLogOdds
	if h.rackSuspect(hs) {
		logOdds += rackLogOdds
	}
	floor := min(logOdds, minLogOdds)
	failed := 0
	for _, r := range hs.results {
		logOdds = max(logOdds+h.evidence(hs, r), floor)
		if r.ok {
			failed = 0
			continue
		}
		failed++
	}
	hs.logOdds = logOdds
	if logOdds > quarantineLogOdds && failed >= minFailedTasks && !hs.quarantine.active && h.canQuarantine() {
		hs.quarantine.start(now)
		h.quarantined++
	}
}

// minFailedTasks is the number of different tasks that must fail on a host in a
// row, without a success, before it is quarantined.
const minFailedTasks = 3

func (h *Health) canQuarantine() bool {
	return (h.quarantined+1)*quarantineDivisor <= h.options.HostCount()
}

// endQuarantine readmits a host whose probes succeeded.
func (h *Health) endQuarantine(hs *hostState) {
	if !hs.quarantine.completed() {
		return
	}
	hs.quarantine = quarantine{delay: hs.quarantine.delay}
	hs.results = nil
	hs.logOdds = priorLogOdds
	h.quarantined--
}

// evidence is the logarithm of the likelihood ratio of a result between a bad
// and a good host.
func (h *Health) evidence(hs *hostState, r result) float64 {
	taskBad := h.taskBadProbability(hs, r.task)
	failureRate := taskBad*badTaskFailureRate + (1-taskBad)*goodFailureRate
	if r.ok {
		return math.Log((1 - badHostFailureRate) / (1 - failureRate))
	}
	return math.Log(badHostFailureRate / max(failureRate, goodFailureRate))
}

// taskBadProbability is the probability that a task is bad, given its results
// on the other hosts.
func (h *Health) taskBadProbability(hs *hostState, task string) float64 {
	ts, ok := h.tasks.Peek(task)
	if !ok {
		return h.median.rate
	}
	if ts.succeeded {
		return 0
	}
	logOdds := math.Log(h.median.rate / (1 - h.median.rate))
	for name := range ts.failures {
		other, found := h.hosts.Peek(name)
		if name == hs.name || !found {
			continue
		}
		hostBad := probability(other.logOdds)
		logOdds += math.Log(badTaskFailureRate / (hostBad*badHostFailureRate + (1-hostBad)*goodFailureRate))
	}
	return min(probability(logOdds), badTaskFailureRate)
}

func probability(logOdds float64) float64 { return 1 / (1 + math.Exp(-logOdds)) }

func (h *Health) rackSuspect(hs *hostState) bool {
	for _, other := range h.racks[hs.rack] {
		if other != hs && other.logOdds > suspectLogOdds {
			return true
		}
	}
	return false
}

// medianRate is the failure rate of the median host. It rises during an
// overload of bad jobs, which fail everywhere, but not because of a few bad
// hosts.
type medianRate struct {
	rate    float64
	updated time.Time
}

// medianRateInterval limits how often all hosts are scanned.
const medianRateInterval = time.Second

func (m *medianRate) update(now time.Time, hosts *lru.Cache[string, *hostState]) {
	if now.Sub(m.updated) < medianRateInterval {
		return
	}
	m.updated = now
	var rates []float64
	for _, hs := range hosts.Values() {
		if len(hs.results) > 0 {
			rates = append(rates, hs.failureRate())
		}
	}
	if len(rates) == 0 {
		return
	}
	slices.Sort(rates)
	m.rate = min(max(rates[len(rates)/2], minTaskRate), maxTaskRate)
}

func (hs *hostState) failureRate() float64 {
	failed := 0
	for _, r := range hs.results {
		if !r.ok {
			failed++
		}
	}
	// Two pseudo-successes keep a host with few results from counting as one
	// that always fails.
	return float64(failed) / float64(len(hs.results)+2)
}
