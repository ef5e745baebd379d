package hvcell

import "hibiscusvane.example/hibiscusvane/hvinterference"

// effectModel estimates the effects of best-effort images on serving images.
type effectModel interface {
	Effect(serving, bestEffort string) hvinterference.Estimate
	// Version changes whenever estimates change.
	Version() int64
	Observe(serving string, loadChanges map[string]float64, change float64)
	Effects() hvinterference.Effects
	Restore(e hvinterference.Effects)
}

// maxEstimates bounds the best-effort images whose effects on the services of one host are
// cached.
const maxEstimates = 256

// hostEstimates holds the effects of one best-effort image on the images that serve on a
// host, in their order, as of a version of the model.
type hostEstimates struct {
	version int64
	list    []hvinterference.Estimate
}

// estimates returns the effects of one processor of a best-effort image on the images that
// serve on a host, in the order of h.serving, until the next call for the image. All tasks
// that wait look them up for all hosts in each plan, while estimates and services change
// far less often.
func (c *Cell) estimates(h *host, image string) []hvinterference.Estimate {
	e, version := h.estimates[image], c.interference.Version()
	if e != nil && e.version == version {
		return e.list
	}
	if e == nil {
		e = h.addEstimates(image)
	}
	e.version, e.list = version, e.list[:0]
	for _, s := range h.serving {
		e.list = append(e.list, c.interference.Effect(s.image, image))
	}
	return e.list
}

// addEstimates adds an image to the cached ones.
func (h *host) addEstimates(image string) *hostEstimates {
	if h.estimates == nil {
		h.estimates = map[string]*hostEstimates{}
	}
	if len(h.estimates) >= maxEstimates {
		clear(h.estimates)
	}
	e := &hostEstimates{}
	h.estimates[image] = e
	return e
}
