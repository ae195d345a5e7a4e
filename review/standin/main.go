// Command standin plays the cases of this review: it starts the project's programs on
// loopback addresses, with stand-ins for clients, minions and the operator.
//
// Usage: standin CASE RECORD TARGET. It exits with 1 if the rule was broken, 0 if it
// held and 2 if the case could not run. With TROUBLE=0 it leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// env is what a case works with.
type env struct {
	d       *deployment
	rec     *record
	trouble bool
	// proxied puts a proxy before each minion.
	proxied bool
	minions []*minion
	proxies []*proxy
}

// cases are the cases by name. Those without a folder of their own, evac and refused,
// are told in REPORT.md.
var cases = map[string]func(*env) error{
	"reborn":  reborn,
	"drain":   drainingCut,
	"route":   removedRoute,
	"ends":    manyEnds,
	"evac":    lateWithdrawal,
	"refused": refusedYetRun,
}

// betweenMachines holds the cases that cut links between machines of the system.
var betweenMachines = map[string]bool{"route": true, "evac": true, "refused": true}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD TARGET")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, recordPath, target string) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.file.Close()
	d, err := newDeployment(target, betweenMachines[name])
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	e := &env{d: d, rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	result := make(chan error, 1)
	go func() { result <- cases[name](e) }()
	select {
	case err = <-result:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(112 * time.Second):
		err = fmt.Errorf("the case took too long")
	}
	for _, m := range e.minions {
		m.crash()
	}
	if err != nil {
		rec.log("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	rec.checkDone()
	return verdict(rec)
}

// verdict prints and returns the result.
func verdict(rec *record) int {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	if len(rec.broken) == 0 {
		rec.logLocked("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
	rec.logLocked("the rule was broken %d times", len(rec.broken))
	fmt.Printf("the rule was broken %d times; the first: %s\n", len(rec.broken), rec.broken[0])
	return exitBroken
}

// addMinions starts minions, zone by zone in turn. Their listeners are at the address
// that they announce, unless a proxy stands before them.
func (e *env) addMinions(n int, duration func(spec string) time.Duration) error {
	for i := len(e.minions); n > 0; i, n = i+1, n-1 {
		m := &minion{
			id: fmt.Sprintf("i-%08x", 0x7f3a0000+i), zone: zones[i%len(zones)], backend: backendName,
			addr: fmt.Sprintf("%s.%d:8080", e.d.prefix, 100+i), labels: []string{"a", fmt.Sprintf("r1-%d", i/8)},
			cpu: 16000, mem: 32768, controls: e.d.controlAddrs(), rec: e.rec, duration: duration, cut: &link{},
		}
		if e.proxied {
			m.listen = fmt.Sprintf("%s.%d:8081", e.d.prefix, 100+i)
			p, err := newProxy(m.addr, m.listen, func(string) *link { return m.cut })
			if err != nil {
				return err
			}
			e.proxies = append(e.proxies, p)
		}
		if err := m.start(); err != nil {
			return err
		}
		e.minions = append(e.minions, m)
	}
	return nil
}

// configure sends the first configuration and waits until the minions take work.
func (e *env) configure(routes ...map[string]any) error {
	if len(routes) == 0 {
		routes = []map[string]any{route("r-cpihhac", pathPrefix)}
	}
	status, err := order(e.rec, e.d.controlAddrs(), 0, "PUT", "/config", configuration(1, routes...), 15*time.Second)
	if err != nil {
		return err
	}
	if status != 200 {
		return fmt.Errorf("the configuration was refused with %d", status)
	}
	return nil
}

// finish waits until the accepted jobs have ended, for at most the given time, and
// returns how many have not.
func (e *env) finish(accepted []string, patience time.Duration) int {
	open := accepted
	for end := time.Now().Add(patience); len(open) > 0 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		var rest []string
		for _, id := range open {
			if _, s := state(e.d.entryAddrs(), pathPrefix, id); s != "succeeded" && s != "failed" {
				rest = append(rest, id)
			}
		}
		open = rest
	}
	e.rec.log("%d of %d accepted jobs have not ended", len(open), len(accepted))
	return len(open)
}
