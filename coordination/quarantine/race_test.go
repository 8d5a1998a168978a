//go:build race

package quarantine

// detectorSlowdown is the factor by which the race detector may lengthen a run, as its
// documentation says.
const detectorSlowdown = 20
