package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/code"
	"tamarackpin.example/internal/ledger"
	"tamarackpin.example/internal/party"
	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/submission"
	"tamarackpin.example/internal/vm"
)

// Sizes of the random schedules.
const (
	ledgerSchedules = 3000
	ledgerSteps     = 800
	ledgerSeed      = 1
	tasksEach       = 3
)

// plant is a classic fault put into the world on purpose, to see the checker
// catch it.
type plant string

const (
	sound         plant = "sound"
	startEarly    plant = "a start takes effect before its record is acknowledged"
	noEpochCheck  plant = "a follower acknowledges records of any epoch"
	doubtStarts   plant = "a task in doubt is started again after a takeover"
	promoteEarly  plant = "a joining copy counts before it has the state"
	tellEarly     plant = "a result is told before it is acknowledged"
	forgetRestart plant = "a restarted holder counts as the one before"
	floorLost     plant = "a transfer leaves out which ids were forgotten"
)

// node is one run of one entry VM.
type node struct {
	self   ledger.Holder
	copy   *ledger.Copy
	starts []pendingStart
	tells  []pendingTell
}

// pendingStart is a start record that waits to be durable.
type pendingStart struct {
	id   submission.ID
	task int
	at   ledger.Position
}

// pendingTell is a result that waits to be durable.
type pendingTell struct {
	id     submission.ID
	result code.Code
	at     ledger.Position
}

// envelope is a message on its way.
type envelope struct {
	from, to ledger.Holder
	batch    ledger.Append
	ack      *ledger.Ack
}

// world is one ledger with its holders, the quorum, and what the outside saw.
type world struct {
	random   *rand.Rand
	draws    []int // made so far, or to be replayed
	replayed int   // draws replayed; -1 when drawing anew
	log      []string
	plant    plant
	now      time.Time
	nodes    []*node
	state    State
	planner  Planner
	index    quorum.Index
	messages []envelope
	ids      []submission.ID

	started map[string]bool             // by submission and task
	told    map[submission.ID]code.Code // results told
	running map[string]pendingStart     // started at a target, with no end yet
	runsAt  map[string]ledger.Holder    // where
	counts  map[string]int              // what happened, to see that schedules reach it
}

const theDomain vm.FailureDomain = "arusha"

var theLedger = submission.LedgerID{FailureDomain: theDomain}

func newWorld(seed uint64, p plant) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 7)), replayed: -1, plant: p, now: time.Unix(1000, 0),
		planner: Planner{Ledgers: 1},
		started: make(map[string]bool), told: make(map[submission.ID]code.Code),
		running: make(map[string]pendingStart), runsAt: make(map[string]ledger.Holder), counts: make(map[string]int),
	}
	for i := range 3 {
		h := ledger.Holder{VM: vm.ID(fmt.Sprintf("vm%d", i)), Incarnation: 1}
		w.nodes = append(w.nodes, &node{self: h, copy: ledger.NewCopy(h)})
	}
	return w
}

// draw returns a number below n: drawn anew and recorded, or replayed.
func (w *world) draw(n int) int {
	if w.replayed < 0 {
		v := w.random.IntN(n)
		w.draws = append(w.draws, v)
		return v
	}
	v := w.draws[w.replayed] % n
	w.replayed++
	return v
}

// note writes down what the outside saw.
func (w *world) note(format string, args ...any) {
	w.log = append(w.log, fmt.Sprintf(format, args...))
}

func name(id submission.ID, task int) string { return fmt.Sprintf("%s/%d", id, task) }

// step does one random thing and returns a broken promise, if any.
func (w *world) step() error {
	w.now = w.now.Add(time.Millisecond)
	n := w.nodes[w.draw(len(w.nodes))]
	switch r := w.draw(1000); {
	case r < 15:
		w.plan()
	case r < 100:
		w.learn(n)
	case r < 160:
		return w.submit(n)
	case r < 320:
		return w.start(n)
	case r < 500:
		return w.effects(n)
	case r < 650:
		return w.end(n)
	case r < 780:
		w.send(n)
	case r < 960:
		return w.deliver()
	case r < 970 && len(w.messages) > 0:
		w.messages = w.messages[1:]
	case r < 973:
		w.restart(n)
	case r < 978:
		w.drop(n)
	default:
		return w.forget(n)
	}
	return nil
}

// plan lets the quorum repair the assignment. Who is alive it may judge
// wrongly: a living node can look silent.
func (w *world) plan() {
	var living []vm.State
	var silent []vm.ID
	for _, n := range w.nodes {
		if w.draw(12) == 0 {
			silent = append(silent, n.self.VM)
		} else {
			living = append(living, vm.State{Heard: w.now, Heartbeat: vm.Heartbeat{VM: n.self.VM, FailureDomain: theDomain, Incarnation: n.self.Incarnation}})
		}
	}
	for i := range living {
		living[i].Heartbeat.Silent = silent
	}
	for _, a := range w.planner.Plan(w.now, &w.state, []vm.FailureDomain{theDomain}, living) {
		w.index++
		w.state.Apply(w.index, Command{Assign: &a})
	}
}

// propose has the quorum decide about a primary's own proposal.
func (w *world) propose(next ledger.Assignment, from ledger.Assignment) {
	w.index++
	w.state.Apply(w.index, Command{Assign: &Assign{Generation: from.Generation, Epoch: from.Epoch, Next: next}})
}

// learn brings the quorum's assignment to n, late or never.
func (w *world) learn(n *node) {
	a, ok := w.state.Assignment(theLedger)
	if !ok {
		return
	}
	before := n.copy.Assignment()
	if n.copy.Assign(a) {
		w.note("%s takes over at epoch %d", n.self.VM, a.Epoch)
		w.counts["takeover"]++
		w.recover(n)
	}
	if n.copy.Assignment() != before && n.copy.Role() != ledger.Primary {
		n.starts, n.tells = nil, nil
	}
}

// recover does what the server does at a takeover.
func (w *world) recover(n *node) {
	n.starts, n.tells = nil, nil
	for _, e := range n.copy.Ledger().Open() {
		if doubt := e.InDoubt(); len(doubt) > 0 {
			w.counts["in doubt"]++
			if w.plant == doubtStarts {
				for _, task := range doubt {
					_, _ = n.copy.Append(w.now, ledger.Record{Kind: ledger.Returned, Sequence: e.Sequence, Task: task})
				}
				continue
			}
			w.finish(n, e, code.InDoubt)
		} else if e.AllEnded() {
			w.finish(n, e, code.OK)
		}
	}
}

func (w *world) idOf(n *node, s submission.Sequence) submission.ID {
	return submission.ID{Ledger: theLedger, Generation: n.copy.Assignment().Generation, Sequence: s}
}

func (w *world) finish(n *node, e *ledger.Entry, c code.Code) {
	at, err := n.copy.Append(w.now, ledger.Record{Kind: ledger.Finished, Sequence: e.Sequence, Code: c})
	if err == nil {
		n.tells = append(n.tells, pendingTell{w.idOf(n, e.Sequence), c, at})
	}
}

// submit sends a new submission, or an old one again, to n.
func (w *world) submit(n *node) error {
	if n.copy.Role() != ledger.Primary || n.copy.Damaged() {
		return nil
	}
	var id submission.ID
	if len(w.ids) > 0 && w.draw(2) == 0 {
		id = w.ids[w.draw(len(w.ids))]
		w.counts["resubmitted"]++
	} else {
		id = n.copy.Issue(1)[0]
		w.ids = append(w.ids, id)
	}
	a := n.copy.Assignment()
	if id.Generation != a.Generation || id.Sequence.Epoch > a.Epoch {
		return nil
	}
	if e, known := n.copy.Ledger().Entry(id.Sequence); known {
		if !e.Running() {
			n.tells = append(n.tells, pendingTell{id, e.Final, n.copy.Next()})
		}
		return nil
	}
	if n.copy.Ledger().MayBeForgotten(id.Sequence) {
		return nil
	}
	open := &ledger.Open{Key: party.Key{Party: "p", Kind: "k"}, Tasks: make([]submission.Task, tasksEach)}
	if _, err := n.copy.Append(w.now, ledger.Record{Kind: ledger.Opened, Sequence: id.Sequence, Open: open}); err != nil && w.plant == sound {
		return errors.Wrap(err, "opening")
	}
	w.counts["opened"]++
	return nil
}

func (w *world) start(n *node) error {
	if n.copy.Role() != ledger.Primary {
		return nil
	}
	for _, e := range n.copy.Ledger().Open() {
		waiting := e.Waiting()
		if len(waiting) == 0 {
			continue
		}
		task := waiting[w.draw(len(waiting))]
		at, err := n.copy.Append(w.now, ledger.Record{Kind: ledger.Started, Sequence: e.Sequence, Task: task, Count: 1})
		if err != nil {
			return errors.Wrap(err, "starting")
		}
		n.starts = append(n.starts, pendingStart{w.idOf(n, e.Sequence), task, at})
		return nil
	}
	return nil
}

// effects lets starts and results of n take effect that may.
func (w *world) effects(n *node) error {
	var starts []pendingStart
	for _, s := range n.starts {
		if !n.copy.Durable(s.at) && w.plant != startEarly {
			starts = append(starts, s)
			continue
		}
		key := name(s.id, s.task)
		if w.started[key] {
			return errors.Newf("task %s was started twice", key)
		}
		w.started[key] = true
		w.note("%s starts %s", n.self.VM, key)
		w.running[key] = s
		w.runsAt[key] = n.self
		w.counts["started"]++
	}
	n.starts = starts
	var tells []pendingTell
	for _, t := range n.tells {
		if !n.copy.Durable(t.at) && w.plant != tellEarly {
			tells = append(tells, t)
			continue
		}
		if before, ok := w.told[t.id]; ok && before != t.result {
			return errors.Newf("submission %s was told as %s and then as %s", t.id, before, t.result)
		}
		if _, before := w.told[t.id]; !before {
			w.note("%s tells %s as %s", n.self.VM, t.id, t.result)
		}
		w.told[t.id] = t.result
		w.counts["told "+t.result.String()]++
	}
	n.tells = tells
	return nil
}

// end ends a task that runs at a target for n.
func (w *world) end(n *node) error {
	for _, id := range w.ids {
		for task := range tasksEach {
			key := name(id, task)
			if _, runs := w.running[key]; !runs || w.runsAt[key] != n.self {
				continue
			}
			delete(w.running, key)
			e, known := n.copy.Ledger().Entry(id.Sequence)
			if n.copy.Role() != ledger.Primary || n.copy.Assignment().Generation != id.Generation || !known || !slices.Contains(e.InDoubt(), task) {
				return nil
			}
			if _, err := n.copy.Append(w.now, ledger.Record{Kind: ledger.Ended, Sequence: id.Sequence, Task: task, Code: code.OK, Answer: []byte("1")}); err != nil {
				return errors.Wrap(err, "ending")
			}
			if e.Running() && e.AllEnded() {
				w.finish(n, e, code.OK)
			}
			return nil
		}
	}
	return nil
}

func (w *world) send(n *node) {
	if m, to, ok := n.copy.Batch(w.now); ok {
		if m.Transfer && w.plant == floorLost {
			m.Records = withoutFloor(m.Records)
		}
		w.messages = append(w.messages, envelope{from: n.self, to: to, batch: m})
		if w.draw(8) == 0 {
			w.messages = append(w.messages, envelope{from: n.self, to: to, batch: m})
		}
	}
}

// withoutFloor drops what a transfer says about forgotten ids.
func withoutFloor(encoded []byte) []byte {
	records, err := ledger.ParseRecords(encoded)
	if err != nil {
		return encoded
	}
	var rest []byte
	for _, r := range records {
		if r.Kind != ledger.Floor {
			rest = r.Append(rest)
		}
	}
	return rest
}

// deliver brings a message, in any order, to whoever runs as its receiver.
func (w *world) deliver() error {
	if len(w.messages) == 0 {
		return nil
	}
	i := w.draw(min(len(w.messages), 4))
	m := w.messages[i]
	w.messages = slices.Delete(w.messages, i, i+1)
	for _, n := range w.nodes {
		if n.self != m.to {
			continue
		}
		if m.ack != nil {
			w.acknowledge(n, m)
			return nil
		}
		if w.plant == noEpochCheck && n.copy.Role() != ledger.NoRole {
			return w.receiveAnyEpoch(n, m)
		}
		ack, err := n.copy.Receive(w.now, m.batch)
		if err != nil && w.plant == sound {
			return errors.Wrap(err, "receiving")
		}
		if ack.Accepted {
			w.messages = append(w.messages, envelope{from: n.self, to: m.from, batch: m.batch, ack: &ack})
		}
	}
	return nil
}

// receiveAnyEpoch acknowledges without looking at the epoch.
func (w *world) receiveAnyEpoch(n *node, m envelope) error {
	ack := ledger.Ack{Generation: m.batch.Generation, Epoch: m.batch.Epoch, Accepted: true}
	records, err := ledger.ParseRecords(m.batch.Records)
	if err != nil {
		return err
	}
	ack.Next = m.batch.First + ledger.Position(len(records))
	if m.batch.Transfer {
		ack.Next = m.batch.First
	}
	if m.batch.Epoch == n.copy.Assignment().Epoch && m.batch.Generation == n.copy.Assignment().Generation {
		_, _ = n.copy.Receive(w.now, m.batch)
	}
	w.messages = append(w.messages, envelope{from: n.self, to: m.from, batch: m.batch, ack: &ack})
	return nil
}

func (w *world) acknowledge(n *node, m envelope) {
	n.copy.Acknowledged(m.from, *m.ack)
	a := n.copy.Assignment()
	if n.copy.Promotable() || w.plant == promoteEarly && n.copy.Role() == ledger.Primary && !a.Joining.IsZero() {
		next := a
		next.Epoch++
		next.Backup, next.Joining = a.Joining, ledger.Holder{}
		w.propose(next, a)
		w.counts["promoted"]++
	}
}

// drop has a primary ask for an assignment without its backup.
func (w *world) drop(n *node) {
	a := n.copy.Assignment()
	if n.copy.Role() != ledger.Primary || !n.copy.Blocked() {
		return
	}
	next := a
	next.Epoch++
	next.Backup, next.Joining = ledger.Holder{}, ledger.Holder{}
	w.propose(next, a)
	w.counts["dropped"]++
}

// forget brings the ledger within a small retention.
func (w *world) forget(n *node) error {
	if n.copy.Role() != ledger.Primary {
		return nil
	}
	records := n.copy.Ledger().Expired(w.now, ledger.Retention{Submissions: 1, Bytes: 1 << 20, Answers: time.Hour})
	if len(records) == 0 {
		return nil
	}
	w.counts["forgotten"] += len(records)
	_, err := n.copy.Append(w.now, records...)
	return errors.Wrap(err, "forgetting")
}

// restart kills n and runs its VM anew, without its memory.
func (w *world) restart(n *node) {
	w.counts["restart"]++
	if w.plant != forgetRestart {
		n.self.Incarnation++
	}
	n.copy = ledger.NewCopy(n.self)
	n.starts, n.tells = nil, nil
}

// schedule runs one random schedule and returns the promise that it broke.
func schedule(seed uint64, p plant) (map[string]int, error) {
	w := newWorld(seed, p)
	for range ledgerSteps {
		if err := w.step(); err != nil {
			return w.counts, err
		}
	}
	return w.counts, nil
}

// TestLedgerUnderRandomSchedules runs the ledger's copies and the quorum's
// planner under losses, doubles, restarts and wrong suspicions. The judge is
// what targets and callers saw (issue 4).
func TestLedgerUnderRandomSchedules(t *testing.T) {
	t.Logf("seeds %d to %d, %d steps each", ledgerSeed, ledgerSeed+ledgerSchedules-1, ledgerSteps)
	counts := make(map[string]int)
	for seed := uint64(ledgerSeed); seed < ledgerSeed+ledgerSchedules; seed++ {
		c, err := schedule(seed, sound)
		if err != nil {
			t.Fatalf("seed %d: %+v", seed, err)
		}
		for k, n := range c {
			counts[k] += n
		}
	}
	t.Logf("what happened: %v", counts)
	for _, must := range []string{"started", "takeover", "in doubt", "promoted", "dropped", "restart", "forgotten", "resubmitted", "told ok", "told in_doubt"} {
		if counts[must] < 100 {
			t.Errorf("%q happened %d times in all: the schedules prove little", must, counts[must])
		}
	}
}

// TestPlantedLedgerFaultsAreCaught shows that the judge can fail.
func TestPlantedLedgerFaultsAreCaught(t *testing.T) {
	for _, p := range []plant{startEarly, noEpochCheck, doubtStarts, promoteEarly, tellEarly, forgetRestart, floorLost} {
		t.Run(string(p), func(t *testing.T) {
			for seed := uint64(ledgerSeed); seed < ledgerSeed+ledgerSchedules; seed++ {
				if _, err := schedule(seed, p); err != nil {
					t.Logf("caught by seed %d: %v", seed, err)
					return
				}
			}
			t.Errorf("not caught in %d schedules", ledgerSchedules)
		})
	}
}
