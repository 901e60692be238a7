// Command stage2 plays the cases 6 to 10 of the review: it starts the proxy with the command of the
// deploy file, plays clients, backends and the platform around it on loopback addresses, and judges
// what clients and backends saw.
//
//	stage2 CASE RECORD
//
// It exits with 0 if the rule held, with 1 if it was broken and with 2 if the case could not run.
// With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// longestCase ends a case that hangs.
const longestCase = 110 * time.Second

// stage is one run of a case.
type stage struct {
	trouble bool
	began   time.Time
	dir     string // temporary folder of the run

	mu     sync.Mutex
	record *os.File
	atEnd  []func()
	ended  bool
}

// cases maps the name of a case to its play, which reports whether the rule held.
var cases = map[string]func(*stage) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stage2 CASE RECORD")
		os.Exit(2)
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	s := &stage{trouble: os.Getenv("TROUBLE") != "0", began: time.Now(), dir: dir, record: record}
	time.AfterFunc(longestCase, func() { s.fail("the case took too long") })
	s.note("case %s, trouble %v", os.Args[1], s.trouble)
	if cases[os.Args[1]](s) {
		s.note("the rule held")
		s.end(0)
	}
	s.note("the rule was broken")
	s.end(1)
}

// note writes a line to the record and to standard output.
func (s *stage) note(format string, args ...any) {
	s.write(true, fmt.Sprintf(format, args...))
}

// detail writes a line to the record alone.
func (s *stage) detail(format string, args ...any) {
	s.write(false, fmt.Sprintf(format, args...))
}

func (s *stage) write(print bool, text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return
	}
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.began).Seconds(), text)
	_, _ = s.record.WriteString(line)
	if print {
		_, _ = os.Stdout.WriteString(line)
	}
}

// onEnd has a function called at the end of the case, whatever its result.
func (s *stage) onEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.atEnd = append(s.atEnd, f)
}

// fail ends the case because it could not run.
func (s *stage) fail(format string, args ...any) {
	s.note("could not run: "+format, args...)
	s.end(2)
}

// end ends all processes of the case and this one.
func (s *stage) end(code int) {
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		select {} // another goroutine ends the program
	}
	s.ended = true
	_ = s.record.Close()
	s.mu.Unlock()
	for _, f := range s.atEnd {
		f()
	}
	_ = os.RemoveAll(s.dir)
	os.Exit(code)
}
