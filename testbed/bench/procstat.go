package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// clockTick is the unit of CPU times in /proc, USER_HZ, which Linux fixes at 100.
const clockTick = 10 * time.Millisecond

// cpuTime returns the total user and system time of a process.
func cpuTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read CPU time")
	}
	return parseCPUTime(string(data))
}

func parseCPUTime(stat string) (time.Duration, error) {
	// The process name in parentheses may contain spaces, so fields are counted
	// after it.
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	const userColumn, systemColumn = 11, 12
	if len(fields) <= systemColumn {
		return 0, eris.New("parse /proc/PID/stat: too few fields")
	}
	var ticks int64
	for _, column := range []int{userColumn, systemColumn} {
		n, err := strconv.ParseInt(fields[column], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "parse /proc/PID/stat")
		}
		ticks += n
	}
	return time.Duration(ticks) * clockTick, nil
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read resident memory")
	}
	return parseResidentMemory(string(data))
}

func parseResidentMemory(status string) (float64, error) {
	for line := range strings.Lines(status) {
		text, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		kib, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(text), " kB"), 64)
		return kib * 1024, eris.Wrap(err, "parse VmRSS")
	}
	return 0, eris.New("parse /proc/PID/status: no VmRSS")
}

// loadAverage returns the one-minute load average, or 0 if it can't be read.
func loadAverage() float64 {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return 0
	}
	first, _, _ := strings.Cut(string(data), " ")
	load, err := strconv.ParseFloat(first, 64)
	if err != nil {
		return 0
	}
	return load
}
