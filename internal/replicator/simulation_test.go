package replicator_test

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/dragonflycroft/dragonflycroft/internal/replicator"
)

// fataler is what *testing.T and *rapid.T share.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// crashPoint says where a host stops while it handles a Ready.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
	afterSend
)

// node is one simulated host; durable is what survives a crash.
type node struct {
	id          string
	incarnation uint64
	core        *replicator.Core
	durable     struct {
		state   replicator.State
		snap    replicator.Snapshot
		entries []replicator.Entry
	}
	applied   uint64
	chain     uint64
	crashAt   crashPoint
	proposals map[uint64]uint64 // index to term
	reads     map[uint64]uint64 // id to the lowest index it may answer
}

// simulation steps hosts and checks the safety properties after each step.
type simulation struct {
	t        fataler
	now      time.Duration
	nodes    map[string]*node
	ids      []string
	inflight []replicator.Message
	cut      map[[2]string]bool
	options  replicator.Options
	members  replicator.Membership

	leaders   map[uint64]string // term to leader
	committed map[uint64]replicator.Entry
	chains    map[uint64]uint64
	completed uint64
	readID    uint64
	voters    map[string]map[uint64]bool // id to incarnations that a leader listed as voters
	rng       *rand.Rand                 // when set, hosts handle several messages between two syncs
	wipes     bool
	changing  bool
	wiped     bool
	dropped   int
	elections int
	changes   int
	snapshots int
	rejected  int
}

func newSimulation(t fataler, n int, o replicator.Options) *simulation {
	s := &simulation{
		t: t, now: time.Millisecond, nodes: map[string]*node{}, cut: map[[2]string]bool{}, options: o,
		leaders: map[uint64]string{}, committed: map[uint64]replicator.Entry{}, chains: map[uint64]uint64{0: 0},
		voters: map[string]map[uint64]bool{},
	}
	addrs := map[string]string{}
	for i := range n {
		id := string(rune('a' + i))
		addrs[id] = id
		s.voters[id] = map[uint64]bool{0: true}
	}
	s.members = replicator.NewMembership(addrs)
	for _, m := range s.members {
		s.add(m.ID, 0)
	}
	return s
}

func (s *simulation) add(id string, incarnation uint64) {
	n := &node{id: id, incarnation: incarnation}
	if incarnation == 0 {
		n.durable.snap.Members = s.members
	}
	if _, ok := s.nodes[id]; !ok {
		s.ids = append(s.ids, id)
	}
	s.nodes[id] = n
	s.restart(n)
}

func (s *simulation) restart(n *node) {
	o := s.options
	o.ID, o.Incarnation = n.id, n.incarnation
	o.Seed = s.options.Seed + uint64(n.id[0])*1000 + uint64(s.now)
	o.State, o.Snapshot, o.Entries = n.durable.state, n.durable.snap, n.durable.entries
	n.core = replicator.New(o, s.now)
	n.applied, n.chain, n.crashAt = n.durable.snap.Index, 0, noCrash
	if n.applied > 0 {
		n.chain = decodeChain(n.durable.snap.Data)
	}
	n.proposals, n.reads = map[uint64]uint64{}, map[uint64]uint64{}
}

func (s *simulation) crash(n *node) { n.core = nil }

// settle handles all work of a host and checks what it shows.
func (s *simulation) settle(n *node) {
	for n.core != nil {
		rd := n.core.Ready()
		if rd.Empty() {
			return
		}
		s.post(n, rd.Early)
		if n.crashAt == beforeSync {
			s.crash(n)
			return
		}
		s.persist(n, &rd)
		n.core.Advance()
		if n.crashAt == afterSync {
			s.crash(n)
			return
		}
		s.post(n, rd.Messages)
		if n.crashAt == afterSend {
			s.crash(n)
			return
		}
		s.apply(n, &rd)
		s.checkLeaders(n)
	}
}

func (s *simulation) persist(n *node, rd *replicator.Ready) {
	d := &n.durable
	if rd.Snapshot != nil {
		d.snap = *rd.Snapshot
		entries, state := n.core.Durable()
		d.entries, d.state = slices.Clone(entries), state
		return
	}
	if rd.State != nil {
		d.state = *rd.State
	}
	if len(rd.Entries) > 0 {
		if len(d.entries) > 0 {
			d.entries = d.entries[:rd.Entries[0].Index-d.entries[0].Index]
		}
		d.entries = append(slices.Clip(d.entries), rd.Entries...)
	}
}

func (s *simulation) post(n *node, messages []replicator.Message) {
	for _, m := range messages {
		if (m.Kind == replicator.VoteResponse && !m.Reject) || m.Kind == replicator.VoteRequest {
			if !s.voters[n.id][n.incarnation] {
				s.t.Fatalf("%v: host %s with incarnation %d votes and is no voter", s.now, n.id, n.incarnation)
			}
		}
		if m.Kind == replicator.AppendResponse && m.Reject {
			s.rejected++
		}
		s.inflight = append(s.inflight, m)
	}
	const maxInflight = 300
	if extra := len(s.inflight) - maxInflight; extra > 0 {
		s.inflight = s.inflight[extra:]
		s.dropped += extra
	}
}

func (s *simulation) apply(n *node, rd *replicator.Ready) {
	if snap := rd.Snapshot; snap != nil {
		s.snapshots++
		n.applied, n.chain = snap.Index, decodeChain(snap.Data)
		s.checkChain(n)
	}
	for _, e := range rd.Committed {
		if e.Index != n.applied+1 {
			s.t.Fatalf("%v: host %s applies index %d after %d", s.now, n.id, e.Index, n.applied)
		}
		if known, ok := s.committed[e.Index]; !ok {
			s.committed[e.Index] = e
			s.chains[e.Index] = link(s.chains[e.Index-1], e)
		} else if known.Term != e.Term || string(known.Data) != string(e.Data) {
			s.t.Fatalf("%v: host %s commits %v at index %d, committed before was %v", s.now, n.id, e, e.Index, known)
		}
		n.applied, n.chain = e.Index, link(n.chain, e)
		s.checkChain(n)
		if term, ok := n.proposals[e.Index]; ok && term == e.Term {
			s.completed = max(s.completed, e.Index)
		}
	}
	for _, r := range rd.Reads {
		if n.applied < n.reads[r.ID] {
			s.t.Fatalf("%v: host %s answers a read at index %d, a write at %d was completed before", s.now, n.id, n.applied, n.reads[r.ID])
		}
	}
}

func (s *simulation) checkChain(n *node) {
	if n.chain != s.chains[n.applied] {
		s.t.Fatalf("%v: host %s applied another sequence up to index %d", s.now, n.id, n.applied)
	}
}

func (s *simulation) checkLeaders(n *node) {
	status := n.core.Status()
	if status.Role != replicator.Leader {
		return
	}
	if other, ok := s.leaders[status.Term]; ok && other != n.id {
		s.t.Fatalf("%v: hosts %s and %s both lead in term %d", s.now, other, n.id, status.Term)
	} else if !ok {
		s.elections++
	}
	s.leaders[status.Term] = n.id
	for _, o := range s.nodes {
		if o == n || o.core == nil {
			continue
		}
		other := o.core.Status()
		if !s.options.NoQuorumCheck && other.Role == replicator.Leader && other.Term < status.Term && other.LeaseUntil > s.now {
			s.t.Fatalf("%v: host %s leads in term %d while the lease of %s in term %d is valid until %v",
				s.now, n.id, status.Term, o.id, other.Term, other.LeaseUntil)
		}
	}
}

// changeMembers changes the membership at a leader and notes who may vote from then on.
func (s *simulation) changeMembers(n *node, c replicator.Change) (uint64, error) {
	index, _, err := n.core.ChangeMembers(s.now, c)
	if err != nil {
		return 0, err
	}
	s.changes++
	for _, m := range n.core.Status().Members {
		if s.voters[m.ID] == nil {
			s.voters[m.ID] = map[uint64]bool{}
		}
		if m.Voter {
			s.voters[m.ID][m.Incarnation] = true
		}
	}
	s.settleLater(n)
	return index, nil
}

func (s *simulation) deliver(i int) {
	m := s.inflight[i]
	s.inflight = slices.Delete(s.inflight, i, i+1)
	n := s.nodes[m.To]
	if n == nil || n.core == nil || s.cut[[2]string{m.From, m.To}] {
		return
	}
	n.core.Step(s.now, m)
	s.settleLater(n)
}

// settleLater leaves work for a later sync at times, as a host does whose sync takes long.
func (s *simulation) settleLater(n *node) {
	if s.rng == nil || s.rng.IntN(3) > 0 {
		s.settle(n)
	}
}

func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, id := range s.ids {
		if n := s.nodes[id]; n.core != nil {
			if n.core.Deadline() <= s.now {
				n.core.Tick(s.now)
			}
			s.settle(n)
		}
	}
}

// run lets time pass in small steps with every message delivered.
func (s *simulation) run(d time.Duration) {
	const step = 5 * time.Millisecond
	for end := s.now + d; s.now < end; {
		for n := len(s.inflight); n > 0 && len(s.inflight) > 0; n-- {
			s.deliver(0)
		}
		s.advance(step)
	}
}

func (s *simulation) propose(n *node, data string) bool {
	if n.core == nil {
		return false
	}
	index, term, err := n.core.Propose(s.now, []byte(data))
	if err != nil {
		return false
	}
	n.proposals[index] = term
	s.settleLater(n)
	return true
}

func (s *simulation) read(n *node) {
	if n.core == nil {
		return
	}
	s.readID++
	if n.core.Read(s.now, s.readID) == nil {
		n.reads[s.readID] = s.completed
		s.settleLater(n)
	}
}

func (s *simulation) compact(n *node, keep uint64) {
	if n.core == nil {
		return
	}
	if s.settle(n); n.core == nil || n.applied <= n.durable.snap.Index {
		return
	}
	snap := n.core.Compact(n.applied, encodeChain(n.chain), n.applied-min(keep, n.applied))
	entries, state := n.core.Durable()
	n.durable.snap, n.durable.entries, n.durable.state = snap, slices.Clone(entries), state
}

// leader returns the leader of the highest term.
func (s *simulation) leader() *node {
	var best *node
	for _, n := range s.nodes {
		if n.core == nil || n.core.Status().Role != replicator.Leader {
			continue
		}
		if best == nil || n.core.Status().Term > best.core.Status().Term {
			best = n
		}
	}
	return best
}

func (s *simulation) isolate(id string, cut bool) {
	for _, other := range s.ids {
		s.cut[[2]string{id, other}], s.cut[[2]string{other, id}] = cut, cut
	}
}

// mustLead returns the leader that has to exist.
func (s *simulation) mustLead() *node {
	s.t.Helper()
	n := s.leader()
	if n == nil {
		s.t.Fatalf("%v: no leader", s.now)
	}
	return n
}

// mustCommit proposes at the leader and expects the commit within a second.
func (s *simulation) mustCommit(data string) {
	s.t.Helper()
	n := s.mustLead()
	if !s.propose(n, data) {
		s.t.Fatalf("%v: leader %s refuses a proposal", s.now, n.id)
	}
	index := n.core.Status().Last
	s.run(time.Second)
	if s.completed < index {
		s.t.Fatalf("%v: a proposal at index %d does not commit", s.now, index)
	}
}

// change makes a change of membership at the leader and expects it to commit within a second.
func (s *simulation) mustChange(c replicator.Change) {
	s.t.Helper()
	n := s.mustLead()
	index, err := s.changeMembers(n, c)
	if err != nil {
		s.t.Fatalf("%v: change %+v: %v", s.now, c, err)
	}
	s.run(time.Second)
	if _, ok := s.committed[index]; !ok {
		s.t.Fatalf("%v: change %+v does not commit", s.now, c)
	}
}

func link(chain uint64, e replicator.Entry) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%d/%s", chain, e.Term, e.Data)
	return h.Sum64()
}

// encodeChain makes the state long enough for several chunks, and no chunk equal to another one.
func encodeChain(chain uint64) []byte {
	var out []byte
	for i := range 8 {
		out = fmt.Appendf(out, "%d:%020d,", i, chain)
	}
	return out
}

// decodeChain returns 0, which is no valid chain, for a damaged state.
func decodeChain(data []byte) (chain uint64) {
	if _, err := fmt.Sscanf(string(data), "0:%d,", &chain); err != nil || !bytes.Equal(data, encodeChain(chain)) {
		return 0
	}
	return chain
}
