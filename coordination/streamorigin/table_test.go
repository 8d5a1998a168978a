package streamorigin

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Unix(1_700_000_000, 0)

func saved(s Stream, b Build) SavedOrigin { return SavedOrigin{Origin: Origin{s, b}} }

// Guards against an origin that is replaced: a stream belongs to the build that wrote its first
// event, whatever a later report says.
func TestFirstOriginOfAStreamIsKept(t *testing.T) {
	table := NewTable()
	table.Record(start, Origin{1, 10})
	table.MergePeer(start, []Origin{{1, 20}, {2, 20}})
	table.MergeSaved(start, []SavedOrigin{saved(2, 30), saved(3, 30)})
	for stream, want := range map[Stream]Build{1: 10, 2: 20, 3: 30} {
		build, ok := table.Lookup(stream)
		must.True(t, ok)
		must.Eq(t, want, build)
	}
}

// Guards against reports that repeat what peers or the store told, and against origins that are
// not passed on: only own ones are news.
func TestOnlyUnknownOriginsArePassedOn(t *testing.T) {
	table := NewTable()
	table.Record(start, Origin{1, 10})
	table.MergePeer(start, []Origin{{2, 10}})
	table.MergeSaved(start, []SavedOrigin{saved(3, 10)})
	must.Eq(t, []Origin{{1, 10}}, table.TakeNews(10))
	must.Len(t, 0, table.TakeNews(10))
	must.Len(t, 0, table.TakeUnsaved(10))
}

// Guards against origins that are dropped unsaved because the store was away for some seconds.
func TestUnsavedOriginsWaitForTheStore(t *testing.T) {
	table := NewTable()
	table.Expire(start, streamTime)
	table.Record(start, Origin{1, 10})
	table.KeepUnsaved(saved(1, 10))
	table.Expire(start.Add(streamTime-1), streamTime)
	unsaved := table.TakeUnsaved(10)
	must.Eq(t, []SavedOrigin{saved(1, 10)}, unsaved)
	must.Len(t, 0, table.TakeUnsaved(10))
	table.KeepUnsaved(unsaved[0])
	must.SliceLen(t, 1, table.TakeUnsaved(1))
}

// Guards against origins that a restored store has lost: each router saves those of its own
// streams again, and one that is chosen saves also those of the others.
func TestOriginsAreSavedAgainAfterARestoration(t *testing.T) {
	table := NewTable()
	table.Record(start, Origin{1, 10})
	table.MergePeer(start, []Origin{{2, 10}})
	table.MergeSaved(start, []SavedOrigin{saved(3, 10)})
	table.KeepAllUnsaved(false)
	must.Eq(t, []SavedOrigin{saved(1, 10)}, table.TakeUnsaved(10))
	table.KeepAllUnsaved(true)
	must.SliceLen(t, 3, table.TakeUnsaved(10))
}

// Guards against a save that succeeds after the router gave it up and hides where the stream went
// on instead.
func TestLaterRevisionOfASavedOriginPrevails(t *testing.T) {
	table := NewTable()
	must.Eq(t, 0, table.Revision(1))
	table.GiveUpSave(start, 1)
	must.Eq(t, 1, table.Revision(1))
	corrected := SavedOrigin{Origin: Origin{1, 20}, Revision: 1}
	table.KeepUnsaved(corrected)
	table.KeepUnsaved(saved(1, 10))
	must.Eq(t, []SavedOrigin{corrected}, table.TakeUnsaved(10))
	for _, order := range [][]SavedOrigin{{saved(1, 10), corrected}, {corrected, saved(1, 10)}} {
		reader := NewTable()
		reader.MergeSaved(start, order[:1])
		reader.Expire(start, streamTime)
		reader.Expire(start.Add(streamTime), streamTime)
		reader.MergeSaved(start, order[1:])
		build, ok := reader.Lookup(1)
		must.True(t, ok)
		must.Eq(t, Build(20), build)
	}
}

// Guards against a caller that doesn't name its stream and gets another build's events.
func TestOnlyStreamsOfOneBuild(t *testing.T) {
	table := NewTable()
	must.True(t, table.OnlyOf(start, streamTime, 10))
	table.Record(start, Origin{1, 10})
	must.True(t, table.OnlyOf(start, streamTime, 10))
	table.MergeSaved(start, []SavedOrigin{saved(2, 20)})
	must.False(t, table.OnlyOf(start, streamTime, 10))
	table = NewTable()
	table.MergePeer(start, []Origin{{1, 20}})
	must.False(t, table.OnlyOf(start, streamTime, 10))
}

// Guards against origins that are forgotten while their stream may still be taken up, and
// against a table that grows without end.
func TestOriginsAreKeptForTheRetention(t *testing.T) {
	const retention = 30 * time.Second
	table := NewTable()
	table.Expire(start, retention)
	for i := range 10 * 60 {
		now := start.Add(time.Duration(i) * time.Second)
		table.Expire(now, retention)
		table.Record(now, Origin{Stream(i), 1})
		for back := range min(i, 29) {
			_, ok := table.Lookup(Stream(i - back))
			must.True(t, ok)
		}
		must.LessEq(t, 60, table.Len())
		table.KeepUnsaved(saved(Stream(i), 1))
		must.LessEq(t, 60, len(table.unsaved))
	}
}

// Guards against a number of streams within one period that exhausts the memory.
func TestOriginsAreBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxRecent {
		table.Record(start, Origin{Stream(i), 1})
	}
	must.LessEq(t, 2*maxRecent, table.Len())
	must.LessEq(t, maxNews, len(table.news))
	for i := range 3 * maxRecent {
		table.KeepUnsaved(saved(Stream(i), 1))
		table.GiveUpSave(start, Stream(i))
	}
	must.LessEq(t, maxRecent, len(table.unsaved))
	must.LessEq(t, 2*maxRecent, len(table.recent.givenUp)+len(table.older.givenUp))
}

// Guards against saved origins that change, and against a foreign record that is taken for
// origins.
func TestSavedOriginsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := []SavedOrigin{}
		for range rapid.IntRange(0, 20).Draw(t, "origins") {
			o := Origin{Stream(rapid.Uint64().Draw(t, "stream")), Build(rapid.Uint32Min(1).Draw(t, "build"))}
			want = append(want, SavedOrigin{o, rapid.Uint8().Draw(t, "revision")})
		}
		encoded := Encode(want)
		got, err := Decode(encoded)
		must.NoError(t, err)
		must.Eq(t, want, got)
		_, err = Decode(encoded[:rapid.IntRange(0, len(encoded)-1).Draw(t, "cut")/originBytes*originBytes])
		must.Error(t, err)
		_, err = Decode(append(encoded, 0))
		must.Error(t, err)
	})
}

// Guards against a record without a build, which would let a stream go on at any build, and against
// an error that doesn't say what is wrong.
func TestInvalidSavedRecordsAreRejected(t *testing.T) {
	for field, raw := range map[string][]byte{
		"format": {1}, "length": {formatVersion, 1, 2}, "build": Encode([]SavedOrigin{saved(1, 2), saved(3, AnyBuild)}),
	} {
		_, err := Decode(raw)
		must.Error(t, err, must.Sprint(field))
		must.StrContains(t, err.Error(), field)
	}
	twice := EncodeImplied(*implied(1, Implied{Build: 1}))
	twice = append(twice, twice[impliedHeaderBytes:]...)
	state := EncodeImplied(*implied(1, Implied{Build: 1}))
	state[impliedHeaderBytes+8] = byte(Replacing + 1)
	for field, raw := range map[string][]byte{
		"format": append([]byte{1}, make([]byte, impliedHeaderBytes-1)...), "length": {impliedFormatVersion, 1},
		"build": EncodeImplied(*implied(1, Implied{})), "era": EncodeImplied(*implied(-1, Implied{Build: 1})),
		"offset": EncodeImplied(*implied(1, Implied{Build: 1, Since: -1})), "state": state, "route": twice,
	} {
		_, err := DecodeImplied(raw)
		must.Error(t, err, must.Sprint(field))
		must.StrContains(t, err.Error(), field)
	}
}

// FuzzDecode guards against a record that ends the process, that changes when it is encoded again,
// or that is taken for origins without a build.
func FuzzDecode(f *testing.F) {
	f.Add(Encode([]SavedOrigin{saved(1, 2)}))
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, b []byte) {
		origins, err := Decode(b)
		if err != nil {
			return
		}
		must.Eq(t, b, Encode(origins))
		for _, o := range origins {
			must.NotEq(t, AnyBuild, o.Build)
		}
	})
}

// FuzzDecodeImplied guards against the same in the implied builds.
func FuzzDecodeImplied(f *testing.F) {
	f.Add(EncodeImplied(*implied(3, Implied{Build: 7, State: Settled, Since: 4})))
	f.Fuzz(func(t *testing.T, b []byte) {
		builds, err := DecodeImplied(b)
		if err != nil {
			return
		}
		must.Eq(t, b, EncodeImplied(builds))
		must.True(t, builds.Era >= 0)
		for _, i := range builds.Of {
			must.True(t, i.Build != AnyBuild && i.Since >= 0)
		}
	})
}
