package cataloguer_test

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/proto"

	"github.com/dragonflycroft/dragonflycroft/internal/cataloguer"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// fakePlatform is a Source that counts its reads.
type fakePlatform struct {
	list  []cataloguer.Entry
	reads int
}

func (p *fakePlatform) Read(context.Context) ([]cataloguer.Entry, error) {
	p.reads++
	return p.list, nil
}

// fakeNetwork delivers calls to the handler that was registered last at an address.
type fakeNetwork struct {
	handlers map[string]transporter.Handler
	bytes    int
}

type fakePort struct {
	network *fakeNetwork
	addr    string
}

func (p fakePort) Handle(_ string, h transporter.Handler) { p.network.handlers[p.addr] = h }

func (p fakePort) Call(ctx context.Context, addr, _ string, req, resp proto.Message) error {
	h := p.network.handlers[addr]
	if h == nil {
		return errors.New("no host")
	}
	payload, err := proto.Marshal(req)
	if err != nil {
		return err
	}
	answer, err := h(ctx, transporter.Peer{}, payload)
	if err != nil {
		return err
	}
	p.network.bytes = len(answer)
	return proto.Unmarshal(answer, resp)
}

// Guards against too many reads of the platform's list. The platform limits the rate of calls of all hosts together, and each
// call has a cost. Hosts other than the reader must get the same list without a platform call, changes with their next read, and
// the platform's own list once the reader is gone or its list is too old.
func TestRelay(t *testing.T) {
	w := &fakeNetwork{handlers: map[string]transporter.Handler{}}
	p := &fakePlatform{list: []cataloguer.Entry{{ID: "b", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2}, {ID: "a", Pool: "p", Addr: "10.0.0.2:80", Zone: "z", Slots: 3}}}
	reader := &cataloguer.Relay{Platform: p, Network: fakePort{w, "reader"}, ReaderAddr: func() string { return "" }}
	other := &cataloguer.Relay{Platform: p, Network: fakePort{w, "other"}, ReaderAddr: func() string { return "reader" }}
	reader.Register()
	other.Register()
	read := func(r *cataloguer.Relay) []cataloguer.Entry {
		t.Helper()
		list, err := r.Read(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return list
	}
	type state struct {
		Leaving bool
		Reads   int
	}
	var got []state
	record := func(list []cataloguer.Entry) {
		leaving := false
		for _, e := range list {
			leaving = leaving || e.Leaving
		}
		got = append(got, state{leaving, p.reads})
	}
	record(read(other)) // the reader has no list yet
	read(reader)
	record(read(&cataloguer.Relay{Platform: p, Network: fakePort{w, "new"}, ReaderAddr: other.ReaderAddr}))
	fullSize := w.bytes
	record(read(other))
	if w.bytes >= fullSize {
		t.Errorf("an unchanged list takes %d bytes, a full one %d", w.bytes, fullSize)
	}
	p.list = []cataloguer.Entry{{ID: "a", Pool: "p", Addr: "10.0.0.2:80", Zone: "z", Slots: 3, Leaving: true}}
	read(reader)
	record(read(other))
	time.Sleep(1600 * time.Millisecond) // longer than maxRelayedAge
	record(read(other))
	delete(w.handlers, "reader")
	record(read(other))
	want := []state{{false, 1}, {false, 2}, {false, 2}, {true, 3}, {true, 4}, {true, 5}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("lists and reads of the platform (-want +got):\n%s", diff)
	}
}

// Guards against relayed entries that lack a field, and against a change of only the software version that is not relayed.
func TestRelayedEntries(t *testing.T) {
	w := &fakeNetwork{handlers: map[string]transporter.Handler{}}
	p := &fakePlatform{list: []cataloguer.Entry{{ID: "a", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2, Version: "v1"}}}
	reader := &cataloguer.Relay{Platform: p, Network: fakePort{w, "reader"}, ReaderAddr: func() string { return "" }}
	other := &cataloguer.Relay{Platform: p, Network: fakePort{w, "other"}, ReaderAddr: func() string { return "reader" }}
	reader.Register()
	var got [][]cataloguer.Entry
	for _, version := range []string{"v1", "v2", ""} {
		p.list = []cataloguer.Entry{{ID: "a", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2, Version: version}}
		for _, r := range []*cataloguer.Relay{reader, other} {
			list, err := r.Read(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			if r == other {
				got = append(got, list)
			}
		}
	}
	want := [][]cataloguer.Entry{
		{{ID: "a", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2, Version: "v1"}},
		{{ID: "a", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2, Version: "v2"}},
		{{ID: "a", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("relayed lists (-want +got):\n%s", diff)
	}
}

// Guards against an odd entry in the list of a reader, which an earlier version relays, that other hosts use or that costs them the
// rest of the list.
func TestOddRelayedEntries(t *testing.T) {
	w := &fakeNetwork{handlers: map[string]transporter.Handler{}}
	sound := cataloguer.Entry{ID: "a", Pool: "p", Addr: "10.0.0.1:80", Zone: "z", Slots: 2}
	odd := func(change func(e *cataloguer.Entry)) cataloguer.Entry {
		e := sound
		e.ID = "odd"
		change(&e)
		return e
	}
	last := sound
	last.ID = "z"
	p := &fakePlatform{list: []cataloguer.Entry{
		sound,
		odd(func(e *cataloguer.Entry) { e.Addr = "10.0.0.7:70000" }),
		odd(func(e *cataloguer.Entry) { e.Addr = "somewhere" }),
		odd(func(e *cataloguer.Entry) { e.Slots = 3_000_000_000 }),
		odd(func(e *cataloguer.Entry) { e.Slots = 0 }),
		odd(func(e *cataloguer.Entry) { e.ID = strings.Repeat("x", 5000) }),
		odd(func(e *cataloguer.Entry) { e.Pool = "" }),
		last,
	}}
	reader := &cataloguer.Relay{Platform: p, Network: fakePort{w, "reader"}, ReaderAddr: func() string { return "" }}
	other := &cataloguer.Relay{Platform: p, Network: fakePort{w, "other"}, ReaderAddr: func() string { return "reader" }}
	reader.Register()
	if _, err := reader.Read(t.Context()); err != nil {
		t.Fatal(err)
	}
	got, err := other.Read(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]cataloguer.Entry{sound, last}, got); diff != "" {
		t.Errorf("relayed list (-want +got):\n%s", diff)
	}
}
