//go:build !race

package quarantine

// detectorSlowdown is the factor by which the race detector may lengthen a run.
const detectorSlowdown = 1
