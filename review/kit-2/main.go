// Command kit-2 runs the cases of the second review that are scripts: it starts routers as processes and
// plays the store, the operator, the balancer, workers and clients.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld, exitBroken, exitCouldNotRun = 0, 1, 2
	// maxTime bounds a case.
	maxTime = 110 * time.Second
)

// recorder writes what happens to the case's record.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

var (
	exitMu  sync.Mutex
	cleanup []func()
	record0 *recorder
)

func onExit(f func()) {
	exitMu.Lock()
	defer exitMu.Unlock()
	cleanup = append(cleanup, f)
}

// exit ends all processes that were started and this one.
func exit(code int) {
	exitMu.Lock()
	for _, f := range cleanup {
		f()
	}
	record0.mu.Lock()
	_ = record0.out.Flush()
	os.Exit(code)
}

func fail(format string, args ...any) {
	record0.printf("the case couldn't run: "+format, args...)
	fmt.Printf("the case couldn't run: "+format+"\n", args...)
	exit(exitCouldNotRun)
}

// verdict records the result and ends the process.
func verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	result, code := "held", exitHeld
	if broken {
		result, code = "broken", exitBroken
	}
	record0.printf("rule %s: %s", result, text)
	fmt.Printf("rule %s: %s\n", result, text)
	exit(code)
}

var cases = map[string]func(f func(zones ...string) *fleet, trouble bool){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: kit-2 CASE FOLDER")
		os.Exit(exitCouldNotRun)
	}
	folder, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Println(err)
		os.Exit(exitCouldNotRun)
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		os.Exit(exitCouldNotRun)
	}
	record0 = &recorder{file: file, out: bufio.NewWriter(file), began: time.Now()}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		exit(exitCouldNotRun)
	}()
	time.AfterFunc(maxTime, func() { fail("it took longer than %v", maxTime) })
	root := filepath.Dir(filepath.Dir(folder))
	trouble := os.Getenv("TROUBLE") != "0"
	record0.printf("case %s, trouble %t", os.Args[1], trouble)
	cases[os.Args[1]](func(zones ...string) *fleet { return newFleet(record0, root, zones) }, trouble)
}

// contains reports whether the record holds a text.
func (r *recorder) contains(text string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	content, err := os.ReadFile(r.file.Name())
	return err == nil && strings.Contains(string(content), text)
}
