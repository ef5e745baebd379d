package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// maxSpecs bounds the work descriptions that a node keeps, at 4 KB each.
	maxSpecs = 128
	// gateSpecTimeout limits a request to the gate that accepted a job, and
	// ownerSpecTimeout one to the owner.
	gateSpecTimeout  = 400 * time.Millisecond
	ownerSpecTimeout = time.Second
	// specDialTimeout limits the time to connect to a gate.
	specDialTimeout = 300 * time.Millisecond
)

// specs holds work descriptions of jobs by job, and fetches missing ones.
type specs struct {
	texts *lru.Cache[string, string]
	gates *hvwire.Pool
	// fetching holds a channel for each fetch in progress, which is closed at its
	// end. The node's lock protects it.
	fetching map[string]chan struct{}
}

func newSpecs() *specs {
	texts, err := lru.New[string, string](maxSpecs)
	if err != nil {
		// Only a size below 1 is an error.
		panic(err)
	}
	return &specs{texts: texts, gates: hvwire.NewPool(specDialTimeout), fetching: map[string]chan struct{}{}}
}

// spec returns the work description of a run's job. It fetches the description until
// that succeeds, or returns false once the start is no longer wanted.
func (n *Node) spec(ctx context.Context, run hvorder.Run, epoch int64, ref hvorder.SpecRef) (string, bool) {
	job := hvjob.JobOf(run.Task)
	for ctx.Err() == nil && n.isStartWanted(run, epoch) {
		text, ok := n.specs.texts.Get(job)
		if ok && hvorder.SpecChecksum(text) == ref.Checksum {
			return text, true
		}
		if n.fetchSpec(ctx, job, ref) {
			continue
		}
		hvtick.Sleep(ctx, callRetryInterval)
	}
	return "", false
}

// fetchSpec fetches the work description of a job, or waits for a fetch of it that is
// in progress. It reports whether one may have succeeded.
func (n *Node) fetchSpec(ctx context.Context, job string, ref hvorder.SpecRef) bool {
	n.mu.Lock()
	if other := n.specs.fetching[job]; other != nil {
		n.mu.Unlock()
		select {
		case <-ctx.Done():
			return false
		case <-other:
			return true
		}
	}
	done := make(chan struct{})
	n.specs.fetching[job] = done
	owner := n.ownerConn
	n.mu.Unlock()
	defer func() {
		n.mu.Lock()
		delete(n.specs.fetching, job)
		n.mu.Unlock()
		close(done)
	}()
	request := hvorder.SpecRequest{Job: job}
	found, err := hvwire.CallPeer[hvorder.Spec](ctx, n.specs.gates, ref.Addr, hvorder.MethodSpec, gateSpecTimeout, request)
	if err == nil && hvorder.SpecChecksum(found.Text) == ref.Checksum {
		n.specs.texts.Add(job, found.Text)
		return true
	}
	_ = level.Info(n.deps.Logger).Log("msg", "gate did not return the work description of a job; asking the owner", "job", job, "gate", ref.Addr, "err", err)
	found, err = n.ownerSpec(ctx, owner, request)
	if err != nil || hvorder.SpecChecksum(found.Text) != ref.Checksum {
		_ = level.Warn(n.deps.Logger).Log("msg", "owner did not return the work description of a job; retrying", "job", job, "err", err)
		return false
	}
	n.specs.texts.Add(job, found.Text)
	return true
}

func (n *Node) ownerSpec(ctx context.Context, owner *hvwire.Conn, request hvorder.SpecRequest) (hvorder.Spec, error) {
	if owner == nil {
		return hvorder.Spec{}, failure("spec", hv.Unavailable, "no owner is attached")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerSpecTimeout)
	defer cancel()
	return hvwire.Call[hvorder.Spec](ctx, owner, hvorder.MethodSpec, request)
}

// isStartWanted reports whether a start is still pending for the owner that ordered
// it.
func (n *Node) isStartWanted(run hvorder.Run, epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pendingStarts[run] && n.epoch == epoch
}
