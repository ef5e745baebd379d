package hvfair

// Size is the class of a job among the recent jobs of its queue by work.
type Size int

const (
	// Usual is for all other jobs.
	Usual Size = iota
	// Large is for the next fifth below the largest.
	Large
	// Largest is for the largest tenth.
	Largest
)

func (s Size) String() string {
	switch s {
	case Large:
		return "large"
	case Largest:
		return "largest"
	}
	return "usual"
}

const (
	// largestPart and largePart are the parts of the jobs from the largest down to the
	// smallest one of a class.
	largestPart = 0.1
	largePart   = 0.3
	// minRecent is the number of recent jobs from which jobs are classified.
	minRecent = 10
	// maxRecent is the number of recent jobs that a queue remembers.
	maxRecent = 200
)

// Sizes holds the work of the recent jobs of a queue.
type Sizes struct {
	recent []float64
	next   int
}

// Classify returns the class of a new job and remembers its work. Jobs of the same work
// are counted half as larger ones, so that equal jobs are usual.
func (s *Sizes) Classify(work float64) Size {
	class := s.class(work)
	if len(s.recent) < maxRecent {
		s.recent = append(s.recent, work)
		return class
	}
	s.recent[s.next] = work
	s.next = (s.next + 1) % maxRecent
	return class
}

func (s *Sizes) class(work float64) Size {
	if len(s.recent) < minRecent {
		return Usual
	}
	larger := 0.0
	for _, w := range s.recent {
		switch {
		case w > work:
			larger++
		case w == work:
			larger += 0.5
		}
	}
	switch part := larger / float64(len(s.recent)); {
	case part < largestPart:
		return Largest
	case part < largePart:
		return Large
	}
	return Usual
}
