package placement

import "time"

// Evaluation is how Choose rates one candidate.
type Evaluation struct {
	// Fits is set if the candidate is within the limits. Otherwise, Shortage is the expected time until it is.
	Fits     bool
	Shortage time.Duration
	// Score ranks the candidates; Choose returns the lowest one that fits.
	Score float64
}

// Evaluate rates a candidate for a request as Choose does.
func Evaluate(p Policy, r Request, c Candidate) Evaluation {
	_, shortage, fits := Choose(p, r, []Candidate{c})
	return Evaluation{Fits: fits, Shortage: shortage, Score: p.score(&c)}
}
