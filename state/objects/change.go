package objects

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rotisserie/eris"
)

// Op is the operation of a change.
type Op string

const (
	// OpPut adds or replaces an object.
	OpPut Op = "put"
	// OpDelete removes an object.
	OpDelete Op = "delete"
)

// rebuildThreshold is the number of changes of one kind above which sorting the
// whole list of digests once is cheaper than updating it for each change.
const rebuildThreshold = 64

// Change is one difference between two sets.
type Change struct {
	Op   Op     `json:"op"`
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Object is the object's canonical JSON form. It is empty for OpDelete.
	Object json.RawMessage `json:"object,omitempty"`
}

// Diff returns the changes that turn one set into another, in canonical order.
func Diff(from, to *Set) []Change {
	var changes []Change
	for i, kind := range kinds {
		changes = append(changes, diffKind(kind, from, to, from.digests[i], to.digests[i])...)
	}
	return changes
}

func diffKind(kind Kind, from, to *Set, a, b []digest) []Change {
	var changes []Change
	for len(a) > 0 || len(b) > 0 {
		switch {
		case len(b) == 0 || (len(a) > 0 && a[0].name < b[0].name):
			changes = append(changes, Change{Op: OpDelete, Kind: kind, Name: a[0].name})
			a = a[1:]
		case len(a) == 0 || b[0].name < a[0].name:
			changes = append(changes, putChange(to.Object(kind, b[0].name)))
			b = b[1:]
		default:
			if a[0].sum != b[0].sum {
				changes = append(changes, putChange(to.Object(kind, b[0].name)))
			}
			a, b = a[1:], b[1:]
		}
	}
	return changes
}

func putChange(o Object) Change {
	return Change{Op: OpPut, Kind: o.ObjectKind(), Name: o.ObjectName(), Object: EncodeObject(o)}
}

// edit is a decoded change; object is nil for OpDelete.
type edit struct {
	kind   Kind
	name   string
	object Object
	pos    *position
}

func (c Change) decode() (edit, error) {
	e := edit{kind: c.Kind, name: c.Name}
	if kindIndex(c.Kind) < 0 {
		return e, eris.Errorf("unknown kind %q", c.Kind)
	}
	switch c.Op {
	case OpDelete:
		if len(c.Object) > 0 {
			return e, eris.New("a delete has no object")
		}
		return e, nil
	case OpPut:
		object, err := DecodeObject(c.Object)
		if err != nil {
			return e, err
		}
		if object.ObjectKind() != c.Kind || object.ObjectName() != c.Name {
			return e, eris.Errorf("the object is %s %q", object.ObjectKind(), object.ObjectName())
		}
		e.object = object
		return e, nil
	}
	return e, eris.Errorf("unknown operation %q", c.Op)
}

// Apply returns a validated set with the changes applied, or all faults. It
// copies the maps of the changed kinds but not the objects.
func (s *Set) Apply(changes []Change) (*Set, []Fault) {
	var faults []Fault
	edits := make([]edit, 0, len(changes))
	type key struct {
		kind Kind
		name string
	}
	seen := map[key]bool{}
	for _, c := range changes {
		r := reporter{faults: &faults, kind: c.Kind, name: c.Name}
		e, err := c.decode()
		if err != nil {
			r.add("", "%v", err)
			continue
		}
		if seen[key{c.Kind, c.Name}] {
			r.add("", "is changed twice")
			continue
		}
		seen[key{c.Kind, c.Name}] = true
		if e.object == nil && s.Object(e.kind, e.name) == nil {
			r.add("", "does not exist")
			continue
		}
		edits = append(edits, e)
	}
	next, more := s.applyEdits(edits)
	faults = append(faults, more...)
	if len(faults) > 0 {
		sortFaults(faults)
		return nil, faults
	}
	return next, nil
}

// Patch applies the changes in order without validating the result. It is meant
// for differences received from a peer, whose result is verified by hash.
func (s *Set) Patch(changes []Change) (*Set, error) {
	last := map[string]int{}
	edits := make([]edit, 0, len(changes))
	for _, c := range changes {
		e, err := c.decode()
		if err != nil {
			return nil, eris.Wrapf(err, "change of %s %q", c.Kind, c.Name)
		}
		key := string(c.Kind) + "/" + c.Name
		if at, ok := last[key]; ok {
			edits[at] = e
			continue
		}
		last[key] = len(edits)
		edits = append(edits, e)
	}
	next, _ := s.applyEdits(edits)
	return next, nil
}

// Check returns all faults of the set.
func (s *Set) Check() []Fault {
	edits := make([]edit, 0, s.Size())
	for i, kind := range kinds {
		for _, d := range s.digests[i] {
			edits = append(edits, edit{kind: kind, name: d.name, object: s.Object(kind, d.name)})
		}
	}
	_, faults := NewSet().applyEdits(edits)
	sortFaults(faults)
	return faults
}

// applyEdits returns a copy of s with the edits applied, and the faults found.
// There must be at most one edit per object. If s is consistent, the check is
// complete: only the edited objects and the objects that refer to removed ones
// can have become inconsistent.
func (s *Set) applyEdits(edits []edit) (*Set, []Fault) {
	var faults []Fault
	changed := map[Kind]bool{}
	for _, e := range edits {
		changed[e.kind] = true
	}
	next := s.cloneFor(changed)
	for _, e := range edits {
		next.removeFromIndexes(s.Object(e.kind, e.name))
		if e.object == nil {
			next.remove(e.kind, e.name)
		} else {
			next.put(e.object)
		}
	}
	for _, e := range edits {
		if e.object != nil {
			r := reporter{faults: &faults, kind: e.kind, name: e.name, pos: e.pos}
			checkFields(e.object, r)
			next.addToIndexes(e.object, r)
			next.checkReferences(e.object, r)
		}
	}
	next.checkRemoved(s, edits, &faults)
	next.updateDigests(edits)
	return next, faults
}

// removeFromIndexes removes the previous version of an object from the lookup
// tables.
func (s *Set) removeFromIndexes(old Object) {
	switch o := old.(type) {
	case *Team:
		for _, hash := range o.TokenSHA256 {
			if s.teamByToken[hash] == o {
				delete(s.teamByToken, hash)
			}
		}
	case *Share:
		key := teamService{o.Team, o.Service}
		if s.shareByTeamService[key] == o {
			delete(s.shareByTeamService, key)
		}
	}
}

// addToIndexes adds an object to the lookup tables and reports conflicts.
func (s *Set) addToIndexes(object Object, r reporter) {
	switch o := object.(type) {
	case *Team:
		for i, hash := range o.TokenSHA256 {
			if other := s.teamByToken[hash]; other != nil && other != o {
				r.add(fmt.Sprintf("tokenSHA256[%d]", i), "is also a token of team %q", other.Name)
			}
			s.teamByToken[hash] = o
		}
	case *Share:
		key := teamService{o.Team, o.Service}
		if other := s.shareByTeamService[key]; other != nil && other != o {
			r.add("team", "team %q already has share %q in service %q", o.Team, other.Name, o.Service)
		}
		s.shareByTeamService[key] = o
	}
}

func (s *Set) checkReferences(object Object, r reporter) {
	switch o := object.(type) {
	case *Endpoint:
		s.checkService(o.Service, r)
	case *Share:
		s.checkService(o.Service, r)
		if o.Team == "" {
			r.add("team", "is empty")
		} else if s.Teams[o.Team] == nil {
			r.add("team", "team %q does not exist", o.Team)
		}
	}
}

func (s *Set) checkService(name string, r reporter) {
	if name == "" {
		r.add("service", "is empty")
	} else if s.Services[name] == nil {
		r.add("service", "service %q does not exist", name)
	}
}

// checkRemoved reports unedited objects that refer to removed ones.
func (s *Set) checkRemoved(previous *Set, edits []edit, faults *[]Fault) {
	removed := false
	edited := map[Object]bool{}
	for _, e := range edits {
		if e.object != nil {
			edited[e.object] = true
		} else if e.kind == KindTeam || e.kind == KindService {
			removed = removed || previous.Object(e.kind, e.name) != nil
		}
	}
	if !removed {
		return
	}
	for _, kind := range []Kind{KindEndpoint, KindShare} {
		s.forEach(kind, func(o Object) {
			if !edited[o] {
				s.checkReferences(o, reporter{faults: faults, kind: kind, name: o.ObjectName()})
			}
		})
	}
}

func (s *Set) updateDigests(edits []edit) {
	perKind := map[Kind][]edit{}
	for _, e := range edits {
		perKind[e.kind] = append(perKind[e.kind], e)
	}
	for kind, list := range perKind {
		i := kindIndex(kind)
		if len(list) > rebuildThreshold {
			s.digests[i] = rebuildDigests(s.digests[i], list)
			continue
		}
		for _, e := range list {
			s.digests[i] = updateDigest(s.digests[i], e)
		}
	}
}

func updateDigest(all []digest, e edit) []digest {
	at, found := slices.BinarySearchFunc(all, digest{name: e.name}, compareDigests)
	switch {
	case e.object == nil && found:
		return slices.Delete(all, at, at+1)
	case e.object == nil:
		return all
	case found:
		all[at] = digestOf(e.object)
		return all
	}
	return slices.Insert(all, at, digestOf(e.object))
}

func rebuildDigests(all []digest, edits []edit) []digest {
	edited := map[string]bool{}
	for _, e := range edits {
		edited[e.name] = true
	}
	all = slices.DeleteFunc(all, func(d digest) bool { return edited[d.name] })
	for _, e := range edits {
		if e.object != nil {
			all = append(all, digestOf(e.object))
		}
	}
	slices.SortFunc(all, compareDigests)
	return all
}
