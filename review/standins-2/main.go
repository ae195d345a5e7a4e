// Command reviewcases runs the cases of the second review that are scripts: it starts
// the system's programs as separate processes on loopback addresses, with stand-ins for
// clients, the operator, minions and the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxRunTime bounds a case.
const maxRunTime = 115 * time.Second

// scenario is a case. trouble says that the disruption is to take place. It returns
// whether the rule was broken.
type scenario func(rec *record, root string, trouble bool) (broken bool, err error)

var scenarios = map[string]scenario{
	"locked-out":   lockedOut,
	"lost-restart": lostRestart,
	"late-submit":  lateSubmit,
	"late-leave":   lateLeave,
	"odd-writer":   oddWriter,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: reviewcases CASE FOLDER ROOT")
		os.Exit(exitNotRun)
	}
	go endEarly()
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

// started holds the processes that this one has started.
var (
	startedMu sync.Mutex
	started   []*os.Process
)

func keep(p *os.Process) {
	startedMu.Lock()
	defer startedMu.Unlock()
	started = append(started, p)
}

// endEarly ends all processes and the case when a signal arrives or the case takes too
// long.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-signals:
	case <-time.After(maxRunTime):
	}
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Kill()
	}
	fmt.Println("the case was ended early")
	os.Exit(exitNotRun)
}

func run(name, folder, root string) int {
	rec, err := newRecord(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %t", name, trouble)
	s := scenarios[name]
	if s == nil {
		rec.add("there is no such case")
		return exitNotRun
	}
	broken, err := s(rec, root, trouble)
	var nr *notRunError
	switch {
	case errors.As(err, &nr):
		rec.add("the case could not run: %v", nr)
		return exitNotRun
	case err != nil:
		rec.add("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.add("the rule was broken")
		return exitBroken
	}
	rec.add("the rule held")
	return exitHeld
}
