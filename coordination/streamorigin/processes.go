package streamorigin

import "time"

// silentAfter is the time without a report after which a registered process is retired: its host may be
// gone for good.
const silentAfter = time.Minute

// Processes knows the processes of routers that may act on the implied builds. Each registers in the
// store first, and acts only on what it reads while its registration is there. It acknowledges to its
// peers up to which offset it has read. After that it never acts on an earlier record, and the
// origins of all streams that it began under one are saved. It is not safe for concurrent use.
type Processes struct {
	registered map[string]*registration
	reports    map[string]processReport
}

// registration is the record of a process in the store.
type registration struct {
	router, process string
	// seenAt is when it was first read here, retiredAt when it was first read here that it is retired; zero if
	// it isn't.
	seenAt, retiredAt time.Time
}

// processReport is the latest report of a process.
type processReport struct {
	at        time.Time
	era, next int64
}

// NewProcesses returns a Processes that knows of none.
func NewProcesses() *Processes {
	return &Processes{registered: map[string]*registration{}, reports: map[string]processReport{}}
}

// Register records that the store holds the registration of a process under a key, and whether it is retired.
func (p *Processes) Register(now time.Time, key, router, process string, retired bool) {
	r := p.registered[key]
	if r == nil {
		r = &registration{router: router, process: process, seenAt: now}
		p.registered[key] = r
	}
	switch {
	case !retired:
		r.retiredAt = time.Time{}
	case r.retiredAt.IsZero():
		r.retiredAt = now
	}
}

// Remove records that the store doesn't hold a registration any more.
func (p *Processes) Remove(key string) {
	if r := p.registered[key]; r != nil {
		delete(p.registered, key)
		delete(p.reports, r.process)
	}
}

// KeepOnly forgets the registrations that a complete listing lacks.
func (p *Processes) KeepOnly(listed map[string]bool) {
	for key := range p.registered {
		if !listed[key] {
			p.Remove(key)
		}
	}
}

// IsRegistered reports whether the store holds a registration of a process that isn't retired.
func (p *Processes) IsRegistered(process string) bool {
	for _, r := range p.registered {
		if r.process == process && r.retiredAt.IsZero() {
			return true
		}
	}
	return false
}

// Acknowledge records a report of a process: it acts only on records before an offset that is at least
// next, in an era of the store. A process that acknowledges nothing reports the offset 0.
func (p *Processes) Acknowledge(now time.Time, process string, era, next int64) {
	known := p.reports[process]
	if era < known.era || era == known.era && next < known.next {
		era, next = known.era, known.next
	}
	p.reports[process] = processReport{now, era, next}
}

// AllAcknowledged reports whether no process acts on what the store held before the record at an offset, and
// whether all streams that began under it have a saved origin or have ended. Processes without a registration
// count while they report.
func (p *Processes) AllAcknowledged(now time.Time, era, offset int64, longestStream time.Duration) bool {
	past := LeaseDuration + longestStream
	acknowledged := func(process string) bool {
		report := p.reports[process]
		return report.era == era && report.next > offset
	}
	registered := map[string]bool{}
	for _, r := range p.registered {
		registered[r.process] = true
		isPast := !r.retiredAt.IsZero() && now.Sub(r.retiredAt) >= past
		if !isPast && !acknowledged(r.process) {
			return false
		}
	}
	for process, report := range p.reports {
		if !registered[process] && now.Sub(report.at) < past && !acknowledged(process) {
			return false
		}
	}
	return len(p.registered) > 0
}

// Ended returns the registrations that can be removed: those of earlier processes of a router, given a
// process of it that has run for the longest time of a stream, so that theirs have ended, and the retired
// ones on which nobody acts any more.
func (p *Processes) Ended(now time.Time, router, process string, startedAt time.Time, longestStream time.Duration) (keys []string) {
	for key, r := range p.registered {
		isEarlier := r.router == router && r.process != process && now.Sub(startedAt) >= longestStream
		isPast := !r.retiredAt.IsZero() && now.Sub(r.retiredAt) >= LeaseDuration+longestStream
		if isEarlier || isPast {
			keys = append(keys, key)
		}
	}
	return keys
}

// Silent returns the registrations that should be retired, because their processes have not reported for
// long. A process that still runs registers again.
func (p *Processes) Silent(now time.Time, process string) (keys []string) {
	for key, r := range p.registered {
		last := r.seenAt
		if report, ok := p.reports[r.process]; ok && report.at.After(last) {
			last = report.at
		}
		if r.process != process && r.retiredAt.IsZero() && now.Sub(last) >= silentAfter {
			keys = append(keys, key)
		}
	}
	return keys
}

// Expire forgets the reports of processes that are gone.
func (p *Processes) Expire(now time.Time, longestStream time.Duration) {
	registered := map[string]bool{}
	for _, r := range p.registered {
		registered[r.process] = true
	}
	for process, report := range p.reports {
		if !registered[process] && now.Sub(report.at) >= LeaseDuration+longestStream {
			delete(p.reports, process)
		}
	}
}
