// Stand3 plays the cases 11 and up of the review: it starts nodes as separate processes with
// the command of deploy/system.toml, and stands in for the platform's store, the upstreams and
// the clients. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the
// case could not run.
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

var cases = map[string]func(*trial) (broken bool, err error){
	"silent":  runSilent,
	"born":    runBorn,
	"listing": runListing,
	"restore": runRestore,
	"restart": runRestart,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE RECORD (from the root of the repository)")
		return exitNotRun
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	t := &trial{rec: rec, trouble: os.Getenv("TROUBLE") != "0"}
	defer t.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		select {
		case <-stop:
		case <-time.After(110 * time.Second):
			rec.note("the time for the case is over")
		}
		t.close()
		os.Exit(exitNotRun)
	}()
	broken, err := cases[os.Args[1]](t)
	switch {
	case err != nil:
		rec.note("NOT RUN: %v", err)
		return exitNotRun
	case broken:
		rec.note("BROKEN")
		return exitBroken
	}
	rec.note("HELD")
	return exitHeld
}
