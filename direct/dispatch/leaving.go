package dispatch

// RecordLeaving records that the endpoint said, in its response, that it is leaving. It gets
// no more requests from this router. It reports whether this is new.
func (a *Assignment) RecordLeaving() bool { return a.dispatcher.registry.RecordLeaving(a.Endpoint) }
