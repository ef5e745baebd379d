package hvplace

import (
	"slices"
	"strings"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

// FirstFit is the baseline placer: it picks the first host by name with enough
// free resources. It scans all hosts and ignores interference and spread.
type FirstFit struct {
	mu    sync.Mutex
	hosts []*hv.HostView
}

var _ hv.Placer = (*FirstFit)(nil)

// NewFirstFit returns a placer without hosts.
func NewFirstFit() *FirstFit { return &FirstFit{} }

func (f *FirstFit) find(name string) (int, bool) {
	return slices.BinarySearchFunc(f.hosts, name, func(h *hv.HostView, name string) int {
		return strings.Compare(h.Host.Name, name)
	})
}

// SetHost implements hibiscusvane.Placer.
func (f *FirstFit) SetHost(h hv.HostView) {
	f.mu.Lock()
	defer f.mu.Unlock()
	i, ok := f.find(h.Host.Name)
	if ok {
		f.hosts[i] = &h
		return
	}
	f.hosts = slices.Insert(f.hosts, i, &h)
}

// RemoveHost implements hibiscusvane.Placer.
func (f *FirstFit) RemoveHost(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i, ok := f.find(name); ok {
		f.hosts = slices.Delete(f.hosts, i, i+1)
	}
}

// Place implements hibiscusvane.Placer.
func (f *FirstFit) Place(t hv.Task, avoid ...string) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	largeEnough := false
	var candidate *hv.HostView
	for _, h := range f.hosts {
		largeEnough = largeEnough || t.Need.Fits(h.Host.Capacity)
		if !h.Usable || !h.Committed.Add(t.Need).Fits(h.Host.Capacity) {
			continue
		}
		if !slices.Contains(avoid, h.Host.Name) {
			candidate = h
			break
		}
		if candidate == nil {
			candidate = h
		}
	}
	switch {
	case !largeEnough:
		return "", errTooLarge
	case candidate == nil:
		return "", errFull
	}
	candidate.Committed = candidate.Committed.Add(t.Need)
	return candidate.Host.Name, nil
}

// Release implements hibiscusvane.Placer.
func (f *FirstFit) Release(t hv.Task, host string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if i, ok := f.find(host); ok {
		f.hosts[i].Committed = f.hosts[i].Committed.Sub(t.Need)
	}
}

// Observe implements hibiscusvane.Placer.
func (f *FirstFit) Observe(hv.InterferenceSample) {}
