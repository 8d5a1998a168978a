// The program runs the cases of this review: the project's routers as processes, beside stand-ins of the
// store, workers and clients that follow the platform's pages.
//
//	cases CASE FOLDER
//
// It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case couldn't run. With
// TROUBLE=0 it runs without the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxTime bounds the time of a case.
const maxTime = 115 * time.Second

var cases = map[string]func(r *record, trouble bool) (broken bool, err error){
	"streams": runStreams,
	"takeups": runTakeUps,
	"inplace": runInPlace,
	"deadly":  runDeadly,
	"budget":  runBudget,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases CASE FOLDER")
		return 2
	}
	r, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer r.file.Close()
	endEarly(r)
	trouble := os.Getenv("TROUBLE") != "0"
	r.log("case %s, disruption %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](r, trouble)
	switch {
	case err != nil:
		r.summary("the case could not run: %v", err)
		return 2
	case broken:
		r.summary("the rule was broken")
		return 1
	}
	r.summary("the rule held")
	return 0
}

// endEarly ends the processes of the case and this one at a signal or after maxTime.
func endEarly(r *record) {
	// A reader of the output that has gone must not end this process before its routers.
	signal.Ignore(syscall.SIGPIPE)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		reason := ""
		select {
		case s := <-signals:
			reason = "ended by " + s.String()
		case <-time.After(maxTime):
			reason = "it took longer than " + maxTime.String()
		}
		if f := started.Load(); f != nil {
			f.close()
		}
		r.summary("the case could not run: %s", reason)
		os.Exit(2)
	}()
}
