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

// testReporter contains the methods that *testing.T, *testing.B and *rapid.T have in common.
type testReporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// crashPoint is the step in the handling of a Ready at which a host crashes.
type crashPoint int

const (
	noCrash crashPoint = iota
	beforeSync
	afterSync
	afterSend
)

// node is one simulated host. The data in durable survives a crash.
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
	chain     uint64 // hash over the sequence of applied entries
	crashAt   crashPoint
	proposals map[uint64]uint64 // from index to term
	reads     map[uint64]uint64 // from ID to the lowest index that may answer it
}

// simulation runs hosts step by step in virtual time and checks the safety properties after each step.
type simulation struct {
	t            testReporter
	now          time.Duration
	nodes        map[string]*node
	ids          []string
	inflight     []replicator.Message
	blockedLinks map[[2]string]bool
	options      replicator.Options
	members      replicator.Membership

	leaders         map[uint64]string // from term to leader
	committed       map[uint64]replicator.Entry
	chains          map[uint64]uint64
	completed       uint64
	readID          uint64
	voters          map[string]map[uint64]bool // from ID to the incarnations that a leader listed as voters
	rng             *rand.Rand                 // if not nil, hosts may handle several messages between two syncs
	allowFolderLoss bool
	moreChanges     bool
	folderLost      bool
	dropped         int
	elections       int
	changes         int
	snapshots       int
	rejected        int
}

func newSimulation(t testReporter, n int, o replicator.Options) *simulation {
	s := &simulation{
		t: t, now: time.Millisecond, nodes: map[string]*node{}, blockedLinks: map[[2]string]bool{}, options: o,
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

// processReady does all work that a host returns in Ready and checks the results.
func (s *simulation) processReady(n *node) {
	for n.core != nil {
		rd := n.core.Ready()
		if rd.Empty() {
			return
		}
		s.enqueue(n, rd.EarlyMessages)
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
		s.enqueue(n, rd.Messages)
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

func (s *simulation) enqueue(n *node, messages []replicator.Message) {
	for _, m := range messages {
		if (m.Kind == replicator.VoteResponse && !m.Reject) || m.Kind == replicator.VoteRequest {
			if !s.voters[n.id][n.incarnation] {
				s.t.Fatalf("%v: host %s with incarnation %d votes but is not a voter", s.now, n.id, n.incarnation)
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
			s.chains[e.Index] = extendChain(s.chains[e.Index-1], e)
		} else if known.Term != e.Term || string(known.Data) != string(e.Data) {
			s.t.Fatalf("%v: host %s commits %v at index %d, committed before was %v", s.now, n.id, e, e.Index, known)
		}
		n.applied, n.chain = e.Index, extendChain(n.chain, e)
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
		s.t.Fatalf("%v: host %s applied a different sequence of entries up to index %d", s.now, n.id, n.applied)
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

// changeMembers changes the membership at a leader and records which hosts may vote from then on.
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
	s.maybeProcessReady(n)
	return index, nil
}

func (s *simulation) deliver(i int) {
	m := s.inflight[i]
	s.inflight = slices.Delete(s.inflight, i, i+1)
	n := s.nodes[m.To]
	if n == nil || n.core == nil || s.blockedLinks[[2]string{m.From, m.To}] {
		return
	}
	n.core.Step(s.now, m)
	s.maybeProcessReady(n)
}

// maybeProcessReady leaves the work to a later sync at random, like a host whose sync takes long.
func (s *simulation) maybeProcessReady(n *node) {
	if s.rng == nil || s.rng.IntN(3) > 0 {
		s.processReady(n)
	}
}

func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, id := range s.ids {
		if n := s.nodes[id]; n.core != nil {
			if n.core.Deadline() <= s.now {
				n.core.Tick(s.now)
			}
			s.processReady(n)
		}
	}
}

// run advances time in small steps and delivers all messages in each.
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
	s.maybeProcessReady(n)
	return true
}

func (s *simulation) read(n *node) {
	if n.core == nil {
		return
	}
	s.readID++
	if n.core.Read(s.now, s.readID) == nil {
		n.reads[s.readID] = s.completed
		s.maybeProcessReady(n)
	}
}

func (s *simulation) compact(n *node, keep uint64) {
	if n.core == nil {
		return
	}
	if s.processReady(n); n.core == nil || n.applied <= n.durable.snap.Index {
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

func (s *simulation) isolate(id string, isolated bool) {
	for _, other := range s.ids {
		s.blockedLinks[[2]string{id, other}], s.blockedLinks[[2]string{other, id}] = isolated, isolated
	}
}

// mustLead returns the leader and fails the test if there is none.
func (s *simulation) mustLead() *node {
	s.t.Helper()
	n := s.leader()
	if n == nil {
		s.t.Fatalf("%v: no leader", s.now)
	}
	return n
}

// mustCommit proposes a command at the leader and fails the test unless it commits within a second.
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

// mustChange changes the membership at the leader and fails the test unless the change commits within a second.
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

// extendChain returns the hash over a sequence of entries extended by e.
func extendChain(chain uint64, e replicator.Entry) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d/%d/%s", chain, e.Term, e.Data)
	return h.Sum64()
}

// encodeChain encodes a chain as a state that is long enough for several chunks, none of which are equal.
func encodeChain(chain uint64) []byte {
	var out []byte
	for i := range 8 {
		out = fmt.Appendf(out, "%d:%020d,", i, chain)
	}
	return out
}

// decodeChain decodes a state. It returns 0, which is not a valid chain, if the state is corrupt.
func decodeChain(data []byte) (chain uint64) {
	if _, err := fmt.Sscanf(string(data), "0:%d,", &chain); err != nil || !bytes.Equal(data, encodeChain(chain)) {
		return 0
	}
	return chain
}
