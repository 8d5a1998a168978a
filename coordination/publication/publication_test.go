package publication

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/acaciaspar/acaciaspar/state/objects"
)

var now = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func id(n int) string { return fmt.Sprintf("%032x", n) }

func teams(names ...string) *objects.Set {
	var all []objects.Object
	for _, name := range names {
		all = append(all, &objects.Team{Name: name})
	}
	return objects.NewSet(all...)
}

func encode(t must.T, p *Publication) []byte {
	raw, err := p.Encode()
	must.NoError(t, err)
	return raw
}

func snapshot(t must.T, s *State) *Snapshot {
	taken, err := s.Snapshot(now)
	must.NoError(t, err)
	return taken
}

func encodeSnapshot(t must.T, s *Snapshot) []byte {
	raw, err := s.Encode()
	must.NoError(t, err)
	return raw
}

// Guards against accepting a record that violates one condition of the
// acceptance rule.
func TestApplyRejectsInvalidRecords(t *testing.T) {
	s := NewState()
	first := s.Propose(id(1), "mira", now, teams("a"))
	must.Eq(t, Accepted, s.Apply(0, encode(t, first)).Outcome)
	must.Eq(t, Duplicate, s.Apply(1, encode(t, first)).Outcome)
	must.Eq(t, Skipped, s.Apply(1, encode(t, first)).Outcome)

	stale := *first
	stale.ID = id(2)
	wrongHash := *s.Propose(id(3), "mira", now, teams("a", "b"))
	wrongHash.Hash = first.Hash
	inconsistent := s.Propose(id(4), "mira", now, objects.NewSet(&objects.Share{Name: "x", Team: "a", Service: "s", Weight: 1}))
	empty := s.Propose(id(5), "mira", now, teams("a"))
	badID := *s.Propose("12", "mira", now, teams("b"))
	noOperator := *s.Propose(id(6), "", now, teams("b"))
	for i, c := range []struct {
		data   []byte
		want   Outcome
		reason string
	}{
		{encode(t, &stale), Refused, "base version 0"},
		{encode(t, &wrongHash), Refused, "hash"},
		{encode(t, inconsistent), Refused, "does not exist"},
		{encode(t, empty), Refused, "no changes"},
		{encode(t, &badID), Malformed, "hexadecimal"},
		{encode(t, &noOperator), Malformed, "operator"},
		{[]byte(`{"format":2,"type":"publication"}`), Malformed, "format 2"},
		{[]byte(`{"format":1,"type":"note"}`), Malformed, "note"},
		{[]byte("\x1f\x8bnot gzip"), Malformed, "decompress"},
		{nil, Malformed, "decode"},
	} {
		v := s.Apply(int64(2+i), c.data)
		must.Eq(t, c.want, v.Outcome, must.Sprint(i))
		must.StrContains(t, v.Reason, c.reason)
		must.Eq(t, 1, v.Version)
	}
	must.Eq(t, 12, s.NextOffset)
	must.Eq(t, teams("a").Hash(), s.Hash)
}

// Guards against a snapshot that replaces the state of a running reader.
func TestApplySnapshotKeepsReaderState(t *testing.T) {
	s := NewState()
	old := snapshot(t, s)
	s.Apply(0, encode(t, s.Propose(id(1), "mira", now, teams("a"))))
	other := snapshot(t, Restore(1, teams("z"), 1, nil))
	must.Eq(t, SnapshotOld, s.Apply(1, encodeSnapshot(t, old)).Outcome)
	must.Eq(t, SnapshotRefused, s.Apply(2, encodeSnapshot(t, other)).Outcome)
	later := snapshot(t, Restore(2, teams("z"), 1, nil))
	must.Eq(t, SnapshotRefused, s.Apply(3, encodeSnapshot(t, later)).Outcome)
	must.Eq(t, SnapshotConfirmed, s.Apply(4, encodeSnapshot(t, snapshot(t, s))).Outcome)
	must.Eq(t, teams("a").Hash(), s.Hash)
}

// Guards against a large publication that doesn't survive compression, and
// against trailing bytes after a record, which readers might treat differently.
func TestLargePublicationIsCompressed(t *testing.T) {
	var names []string
	for i := range 3000 {
		names = append(names, fmt.Sprintf("team-%d", i))
	}
	s := NewState()
	data := encode(t, s.Propose(id(1), "mira", now, teams(names...)))
	must.Less(t, compressionThreshold, len(data))
	must.Eq(t, Malformed, s.Apply(0, append(data[:len(data):len(data)], 'x')).Outcome)
	must.Eq(t, Accepted, s.Apply(1, data).Outcome)
	must.MapLen(t, 3000, s.Set.Teams)
}

// Guards against starting from a snapshot whose following records are not
// retained, or whose set doesn't match its hash.
func TestRecoverSkipsUnusableSnapshots(t *testing.T) {
	early := snapshot(t, Restore(1, teams("a"), 2, nil))
	late := snapshot(t, Restore(2, teams("a", "b"), 6, nil))
	broken := snapshot(t, Restore(9, teams("z"), 7, nil))
	broken.Hash = early.Hash
	future := snapshot(t, Restore(9, teams("z"), 99, nil))
	records := []Record{
		{5, encodeSnapshot(t, early)},
		{6, encodeSnapshot(t, late)},
		{7, encodeSnapshot(t, broken)},
		{8, encodeSnapshot(t, future)},
	}
	s, err := Recover(5, records)
	must.NoError(t, err)
	must.Eq(t, 2, s.Version)
	must.Eq(t, 6, s.NextOffset)
	s, err = RecoverEarliest(2, records)
	must.NoError(t, err)
	must.Eq(t, 1, s.Version)
	_, err = Recover(7, records)
	must.ErrorIs(t, err, ErrNoStartingPoint)
	s, err = Recover(0, nil)
	must.NoError(t, err)
	must.Eq(t, 0, s.Version)
}

// history generates a log and returns it with the verdicts of a reader that
// starts at offset 0 and the reader's state after each record.
func history(t *rapid.T) (records []Record, verdicts []Verdict, states []State) {
	reader := NewState()
	past := []State{*reader}
	var sent [][]byte
	for offset := range int64(rapid.IntRange(1, 16).Draw(t, "records")) {
		base := past[rapid.IntRange(max(0, len(past)-3), len(past)-1).Draw(t, "seen")]
		var data []byte
		switch action := rapid.IntRange(0, 9).Draw(t, "action"); {
		case action == 0:
			data = []byte("junk")
		case action <= 2:
			data = encodeSnapshot(t, snapshot(t, &base))
		case action == 3 && len(sent) > 0:
			data = rapid.SampledFrom(sent).Draw(t, "repeated")
		default:
			name := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "team")
			data = encode(t, base.Propose(id(int(offset)), "mira", now, teams(name)))
			sent = append(sent, data)
		}
		records = append(records, Record{offset, data})
		verdicts = append(verdicts, reader.Apply(offset, data))
		states = append(states, *reader)
		// A plain copy would share recentSet, which Apply changes.
		past = append(past, *Restore(reader.Version, reader.Set, reader.NextOffset, reader.Recent()))
	}
	return records, verdicts, states
}

// Guards against readers that derive different versions from the same log
// because they start at different records.
func TestReadersAgreeFromAnyStartingRecord(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		records, verdicts, states := history(t)
		last := states[len(states)-1]
		for firstRetained := range records {
			retained := records[firstRetained:]
			for _, recoverState := range []func(int64, []Record) (*State, error){Recover, RecoverEarliest} {
				s, err := recoverState(int64(firstRetained), retained)
				if err != nil {
					must.ErrorIs(t, err, ErrNoStartingPoint)
					continue
				}
				for _, r := range retained {
					if v := s.Apply(r.Offset, r.Value); v.Outcome != Skipped {
						must.Eq(t, verdicts[r.Offset], v)
					}
				}
				must.Eq(t, last.Version, s.Version)
				must.Eq(t, last.Hash, s.Hash)
				must.Eq(t, last.NextOffset, s.NextOffset)
				must.Eq(t, last.recent, s.recent)
			}
		}
	})
}

// Guards against dropping IDs too early or keeping more than RecentIDs.
func TestRecentIDsAreBounded(t *testing.T) {
	s := NewState()
	var first []byte
	for i := range RecentIDs + 10 {
		data := encode(t, s.Propose(id(i), "mira", now, teams(fmt.Sprint(i%2))))
		if i == 10 {
			first = data
		}
		must.Eq(t, Accepted, s.Apply(int64(i), data).Outcome)
	}
	must.Len(t, RecentIDs, s.Recent())
	must.Eq(t, Duplicate, s.Apply(s.NextOffset, first).Outcome)
	must.MapLen(t, RecentIDs, s.recentSet)
}

// interleavingExplorer enumerates all interleavings of two publishers. Each
// reads the log once, sends its publication, and may send it again because the
// reply was lost. A send reaches the log at any later time or never.
type interleavingExplorer struct {
	t      *testing.T
	states int
}

type publisher struct {
	data  []byte
	sends int
	// inFlight counts sends that haven't reached the log.
	inFlight int
}

func (e *interleavingExplorer) explore(log [][]byte, publishers [2]publisher) {
	e.states++
	e.check(log, publishers)
	for i, p := range publishers {
		next := publishers
		switch {
		case p.data == nil:
			reader := NewState()
			for offset, data := range log {
				reader.Apply(int64(offset), data)
			}
			next[i].data = encode(e.t, reader.Propose(id(i+1), "mira", now, teams(fmt.Sprintf("team-%d", i))))
			e.explore(log, next)
		case p.sends < 2:
			next[i].sends++
			next[i].inFlight++
			e.explore(log, next)
		}
		if p.inFlight > 0 {
			next = publishers
			next[i].inFlight--
			e.explore(append(log[:len(log):len(log)], p.data), next)
		}
	}
}

func (e *interleavingExplorer) check(log [][]byte, publishers [2]publisher) {
	reader := NewState()
	acceptedByBase := map[uint64]string{}
	bases := map[uint64]bool{}
	accepted := map[string]int{}
	for offset, data := range log {
		v := reader.Apply(int64(offset), data)
		bases[v.Publication.Base] = true
		if v.Outcome == Accepted {
			must.Eq(e.t, "", acceptedByBase[v.Publication.Base])
			acceptedByBase[v.Publication.Base] = v.Publication.ID
			accepted[v.Publication.ID]++
		}
	}
	must.Eq(e.t, len(bases), len(acceptedByBase), must.Sprint("every proposed base must have exactly one accepted publication"))
	must.Eq(e.t, uint64(len(acceptedByBase)), reader.Version)
	for i, p := range publishers {
		must.LessEq(e.t, 1, accepted[id(i+1)])
		// A publisher that sends an accepted publication again gets Duplicate.
		if p.data != nil && accepted[id(i+1)] == 1 {
			must.Eq(e.t, Duplicate, reader.Apply(reader.NextOffset, p.data).Outcome)
		}
	}
}

// Guards against two accepted publications for one base, and against a
// publication that is sent again and applied twice.
func TestConcurrentPublishersAllInterleavings(t *testing.T) {
	e := &interleavingExplorer{t: t}
	e.explore(nil, [2]publisher{})
	must.Greater(t, 1000, e.states)
	t.Logf("%d states", e.states)
}

func BenchmarkSnapshot18000Teams(b *testing.B) {
	all := []objects.Object{&objects.Service{Name: "desk", Type: objects.PlainService, DefaultCost: 1, MaxCost: 1}}
	for i := range 18_000 {
		name := fmt.Sprintf("team-%d", i)
		hash := sha256.Sum256([]byte(name))
		all = append(all, &objects.Team{Name: name, TokenSHA256: []string{hex.EncodeToString(hash[:])}},
			&objects.Share{Name: name + "-desk", Team: name, Service: "desk", Weight: 1})
	}
	state := Restore(1, objects.NewSet(all...), 1, nil)
	var record []byte
	b.Run("write", func(b *testing.B) {
		for range b.N {
			record = encodeSnapshot(b, snapshot(b, state))
		}
		b.ReportMetric(float64(len(record)), "bytes")
	})
	b.Run("confirm", func(b *testing.B) {
		for range b.N {
			must.Eq(b, SnapshotConfirmed, state.Apply(state.NextOffset, record).Outcome)
		}
	})
	b.Run("start", func(b *testing.B) {
		for range b.N {
			_, err := Recover(1, []Record{{1, record}})
			must.NoError(b, err)
		}
	})
}

// Guards against panics in Decode and State.Apply, and against a malformed
// record that stops a reader.
func FuzzDecode(f *testing.F) {
	s := NewState()
	p := s.Propose(id(1), "mira", now, teams("a"))
	raw, _ := p.Encode()
	f.Add(raw)
	f.Add(encodeSnapshot(f, snapshot(f, s)))
	f.Fuzz(func(t *testing.T, data []byte) {
		reader := NewState()
		v := reader.Apply(0, data)
		must.Eq(t, 1, reader.NextOffset)
		must.Eq(t, v.Outcome == Accepted, reader.Version == 1)
		must.SliceEmpty(t, reader.Set.Check())
		_, _ = Recover(0, []Record{{0, data}})
		must.Eq(t, Accepted, reader.Apply(1, encode(t, reader.Propose(id(99), "mira", now, teams("zz", "yy")))).Outcome)
	})
}
