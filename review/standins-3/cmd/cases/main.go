package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// trouble says whether the disruption of the case is played.
var trouble = os.Getenv("TROUBLE") != "0"

// cases maps the name of a case to the function that plays it and returns how the rule was
// broken, "" if it held.
var cases = map[string]func(c *cell) string{}

func main() {
	os.Exit(play())
}

func play() (code int) {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME")
		return 2
	}
	var c *cell
	defer func() {
		if v := recover(); v != nil {
			reason, ok := v.(couldNotRun)
			if !ok {
				reason = couldNotRun{fmt.Sprint(v)}
			}
			fmt.Println("could not run:", reason.reason)
			code = 2
		}
		if c != nil {
			c.close()
		}
	}()
	c = newCell()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(115 * time.Second):
		}
		for _, p := range c.all {
			if p.cmd != nil {
				p.cmd.Process.Kill()
			}
		}
		os.Exit(2)
	}()
	broken := cases[os.Args[1]](c)
	if broken == "" {
		c.note("the rule held")
		fmt.Println("held")
		return 0
	}
	c.note("the rule was broken: %s", broken)
	fmt.Println("broken:", broken)
	return 1
}
