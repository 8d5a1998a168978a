package entry

// queueWrites lets a caller that reads slowly not delay the reading of the endpoint's response.
func (r *request) queueWrites() {
	if c := r.conn(); c != nil {
		c.QueueWrites(r.h.Memory, r.id, r.deadline)
	}
}

// endedForMemory reports whether the caller's connection was ended since too much was held.
func (r *request) endedForMemory() bool {
	c := r.conn()
	return c != nil && c.EndedForMemory()
}

// holdResponse counts bytes of a buffered response as held until the end of the request.
func (r *request) holdResponse(n int) {
	r.heldResponses.Add(int64(n))
	r.h.Memory.Add(int64(n))
}
