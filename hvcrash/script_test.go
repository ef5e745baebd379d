package hvcrash

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// script plays the crashes of a file in testdata. Each line is a command:
//
//	fleet N                      the number of hosts
//	at TIME                      the time of what follows
//	job QUEUE done|crashing      a job has ended
//	run TASK AGE                 a run on the host that crashes next
//	crash HOST RACK [UNCERTAIN]  the host crashes with these runs
//	explain                      the last crash is explained
//	survive TASK AGE             a run of a task ended while its host went on
//	believe TASK MIN MAX         what must be believed of a task
//	responsible MIN MAX          the share of all runs in the last crash
//	prior QUEUE MIN MAX          what must be believed of a new job
//	background HOST RACK MIN MAX the rate of crashes for other reasons
//
// Tasks are named QUEUE.NAME.
type script struct {
	t       *testing.T
	line    string
	now     time.Time
	hosts   int
	history History
	rates   Rates
	beliefs map[string]float64
	names   []string
	runs    []Run
	// responsible is the share of all runs in the last crash, and last its identifier.
	responsible float64
	last        int
}

// Guards against a task that crashes hosts and is not told from those that were merely
// there, and against a task that is blamed for what other reasons explain. Each file
// says which.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("%d scripts, error %v", len(files), err)
	}
	for _, name := range files {
		t.Run(strings.TrimSuffix(filepath.Base(name), ".txt"), func(t *testing.T) {
			f, err := os.Open(name)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			s := &script{t: t, now: time.Unix(1_000_000, 0), hosts: 11, beliefs: map[string]float64{}}
			for lines := bufio.NewScanner(f); lines.Scan(); {
				s.play(lines.Text())
			}
		})
	}
}

func (s *script) play(line string) {
	s.line = line
	words := strings.Fields(line)
	if len(words) == 0 || words[0] == "#" {
		return
	}
	arg := func(i int) string {
		if i >= len(words) {
			s.t.Fatalf("%q: %d words, want more", line, len(words))
		}
		return words[i]
	}
	switch words[0] {
	case "fleet":
		s.hosts = int(s.number(arg(1)))
	case "at":
		s.now = time.Unix(1_000_000, 0).Add(s.duration(arg(1)))
	case "job":
		s.rates.Observe(s.now, arg(1), arg(2) == "crashing")
	case "run":
		s.names = append(s.names, arg(1))
		s.runs = append(s.runs, Run{Belief: s.belief(arg(1)), Age: s.duration(arg(2))})
	case "crash":
		uncertain := time.Duration(0)
		if len(words) > 3 {
			uncertain = s.duration(arg(3))
		}
		s.crash(arg(1), arg(2), uncertain)
	case "explain":
		s.history.Explain(s.last)
	case "survive":
		s.beliefs[arg(1)] = Survived(s.belief(arg(1)), s.duration(arg(2)))
	case "believe":
		s.between(s.belief(arg(1)), arg(2), arg(3))
	case "responsible":
		s.between(s.responsible, arg(1), arg(2))
	case "prior":
		s.between(s.rates.Prior(s.now, arg(1)), arg(2), arg(3))
	case "background":
		s.between(s.history.Background(s.now, arg(1), arg(2), s.hosts), arg(3), arg(4))
	default:
		s.t.Fatalf("%q: unknown command", line)
	}
}

func (s *script) crash(host, rack string, uncertain time.Duration) {
	results := Attribute(s.history.Background(s.now, host, rack, s.hosts), uncertain, s.runs)
	s.responsible = 0
	for i, r := range results {
		s.beliefs[s.names[i]] = r.Belief
		s.responsible += r.Responsibility
	}
	s.last = s.history.Add(s.now, host, rack, 1-s.responsible)
	s.names, s.runs = nil, nil
}

func (s *script) belief(task string) float64 {
	if b, ok := s.beliefs[task]; ok {
		return b
	}
	queue, _, _ := strings.Cut(task, ".")
	return s.rates.Prior(s.now, queue)
}

func (s *script) between(got float64, least, most string) {
	s.t.Helper()
	if got < s.number(least) || got > s.number(most) {
		s.t.Errorf("%q: got %.6g", s.line, got)
	}
}

func (s *script) number(text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		s.t.Fatalf("%q: %v", s.line, err)
	}
	return n
}

func (s *script) duration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		s.t.Fatalf("%q: %v", s.line, err)
	}
	return d
}
