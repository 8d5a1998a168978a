// Command casekit runs the cases of the review.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRunTime bounds the run of a case.
const maxRunTime = 115 * time.Second

// cases holds the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(k *Kit) (broken bool, err error){}

func main() { os.Exit(run()) }

// closeOnSignal ends the processes of the case, and this one, on a signal or when the case takes
// too long.
func (k *Kit) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case s := <-signals:
		k.Log("the case ends because of %s", s)
	case <-time.After(maxRunTime):
		k.Log("the case takes too long")
	}
	k.close()
	os.Exit(2)
}

// run runs the case that the first argument names and writes its record to the folder of the
// second one. It returns 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: casekit CASE FOLDER ROOT")
		return 2
	}
	k, err := newKit(os.Args[3], filepath.Join(os.Args[2], "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer k.close()
	go k.closeOnSignal()
	broken, err := cases[os.Args[1]](k)
	if err == nil && k.failed != "" {
		err = fmt.Errorf("%s", k.failed)
	}
	switch {
	case err != nil:
		k.Log("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
