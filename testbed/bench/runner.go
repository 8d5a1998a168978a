package bench

import (
	"fmt"
	"io"
	"os"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	"github.com/acaciaspar/acaciaspar/testbed/fleet"
)

// failure carries the message of Fatalf to Do.
type failure struct{ message string }

// runner implements fleet.Runner outside of tests. Fatalf must be called on the
// goroutine of Do. Its mutex guards all fields below it.
type runner struct {
	out io.Writer

	mu      sync.Mutex
	cleanup []func()
	errors  []string
}

// Do runs body with a runner and then its cleanup. It returns what failed.
func Do(out io.Writer, body func(run fleet.Runner)) (err error) {
	r := &runner{out: out}
	defer func() {
		r.end()
		if len(r.errors) > 0 && err == nil {
			err = eris.New(r.errors[0])
		}
	}()
	defer func() {
		switch f := recover().(type) {
		case nil:
		case failure:
			r.Errorf("%s", f.message)
		default:
			r.end()
			panic(f)
		}
	}()
	body(r)
	return nil
}

// end runs the cleanup, last registered first.
func (r *runner) end() {
	r.mu.Lock()
	cleanup := r.cleanup
	r.cleanup = nil
	r.mu.Unlock()
	for _, f := range slices.Backward(cleanup) {
		f()
	}
}

// Helper implements fleet.Runner.
func (r *runner) Helper() {}

// Logf implements fleet.Runner.
func (r *runner) Logf(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}

// Errorf implements fleet.Runner.
func (r *runner) Errorf(format string, args ...any) {
	r.mu.Lock()
	r.errors = append(r.errors, fmt.Sprintf(format, args...))
	r.mu.Unlock()
	r.Logf(format, args...)
}

// Fatalf implements fleet.Runner.
func (r *runner) Fatalf(format string, args ...any) {
	panic(failure{fmt.Sprintf(format, args...)})
}

// Cleanup implements fleet.Runner.
func (r *runner) Cleanup(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cleanup = append(r.cleanup, f)
}

// Failed implements fleet.Runner.
func (r *runner) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.errors) > 0
}

// TempDir implements fleet.Runner.
func (r *runner) TempDir() string {
	dir, err := os.MkdirTemp("", "acaciaspar-bench-")
	if err != nil {
		r.Fatalf("make a directory: %v", err)
	}
	r.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}
