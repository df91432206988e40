package ledger

import (
	"time"

	"github.com/cockroachdb/errors"

	"tamarackpin.example/internal/submission"
)

// MaxBatchBytes bounds the records of one Append, but for a single large one.
const MaxBatchBytes = 1 << 20

// logged is one record that a follower may not hold yet.
type logged struct {
	at      Position
	encoded []byte
}

// follower is what a primary knows of its backup or joining copy.
type follower struct {
	holder   Holder
	acked    Position
	sent     bool // the state is on its way to it, and the records since are logged
	held     bool // it acknowledged the state
	required bool // no start takes effect without its acknowledgement
	// since is the position from which it is required: once all before is
	// acknowledged, the quorum may make it the backup.
	since Position
}

// Copy is one entry VM's copy of a ledger. It is not safe for concurrent use.
//
// Invariants:
//   - A primary's record takes effect only when [Copy.Durable] holds for it:
//     each required follower acknowledged it under the present epoch.
//   - A Copy acknowledges no epoch older than the newest it knows, so a primary
//     that was replaced cannot start anything.
//   - A joining copy becomes required before the quorum is asked to make it the
//     backup, so that there is no moment at which it may take over without
//     having every start.
type Copy struct {
	self       Holder
	assignment Assignment
	role       Role
	ledger     Ledger
	holds      bool // the state is whole up to next
	damaged    bool // the state was held and could not be kept
	next       Position
	log        []logged // records behind the follower's acknowledgement
	follower   *follower
	issued     uint64
}

// NewCopy returns a Copy for the entry VM self that has no assignment.
func NewCopy(self Holder) *Copy { return &Copy{self: self} }

// Assignment returns the newest assignment known.
func (c *Copy) Assignment() Assignment { return c.assignment }

// Role returns the role under the newest assignment.
func (c *Copy) Role() Role { return c.role }

// Ledger returns the state. The caller must not change it.
func (c *Copy) Ledger() *Ledger { return &c.ledger }

// Next returns the position that the next record gets.
func (c *Copy) Next() Position { return c.next }

// Assign puts a newer assignment in force and reports whether this copy just
// became primary of a state that another one made, and must settle it.
func (c *Copy) Assign(a Assignment) (tookOver bool) {
	if !a.Newer(c.assignment) {
		return false
	}
	was := c.role
	lost := a.Generation != c.assignment.Generation
	next := a.Epoch == c.assignment.Epoch+1
	c.assignment = a
	c.role = a.RoleOf(c.self)
	c.issued = 0
	if lost || c.role == NoRole || c.role == Joining {
		c.clear()
	}
	if c.role != Primary {
		c.follower, c.log = nil, nil
		return false
	}
	// A new generation starts empty. So does a backup that never got the
	// state: without its acknowledgement nothing can have taken effect.
	c.holds = c.holds || !c.damaged
	c.follow(a, next && was == Primary)
	return was != Primary && !lost
}

func (c *Copy) clear() {
	c.ledger = Ledger{}
	c.holds, c.damaged = false, false
	c.next = 0
	c.log, c.follower = nil, nil
}

// follow sets the follower of a primary. What is known of the old one is kept
// only if it was primary in the epoch before: else the follower may have
// dropped its state in an epoch that this copy did not see.
func (c *Copy) follow(a Assignment, adjacent bool) {
	old := c.follower
	if adjacent && old != nil && !a.Backup.IsZero() && old.holder == a.Backup {
		old.required = true
		return
	}
	c.follower, c.log = nil, nil
	switch {
	case !a.Backup.IsZero():
		c.follower = &follower{holder: a.Backup, required: true}
	case !a.Joining.IsZero():
		c.follower = &follower{holder: a.Joining}
	}
}

// Damaged reports whether this copy should be able to serve but lost its
// state; only a new generation helps then.
func (c *Copy) Damaged() bool { return c.role == Primary && !c.holds }

// Issue returns n new ids of submissions. They are unlike all others by the
// epoch, so issuing needs no record.
func (c *Copy) Issue(n int) []submission.ID {
	if c.role != Primary {
		return nil
	}
	ids := make([]submission.ID, n)
	for i := range ids {
		c.issued++
		ids[i] = submission.ID{
			Ledger:     c.assignment.Ledger,
			Generation: c.assignment.Generation,
			Sequence:   submission.Sequence{Epoch: c.assignment.Epoch, Count: c.issued},
		}
	}
	return ids
}

// Issued reports whether this primary's ledger issued s, as far as it can
// tell: of earlier epochs it cannot.
func (c *Copy) Issued(s submission.Sequence) bool {
	return s.Epoch < c.assignment.Epoch || s.Epoch == c.assignment.Epoch && s.Count <= c.issued
}

// Followed reports whether a backup is required and holds everything.
func (c *Copy) Followed() bool {
	f := c.follower
	return c.role == Primary && f != nil && f.required && f.acked == c.next && f.holder == c.assignment.Backup
}

// Append takes in records at the primary and returns the position after the
// last of them.
func (c *Copy) Append(now time.Time, records ...Record) (Position, error) {
	if c.role != Primary || !c.holds {
		return 0, errors.Newf("ledger %s: not its primary", c.assignment.Ledger)
	}
	for _, r := range records {
		if err := c.ledger.Apply(now, r); err != nil {
			return 0, errors.Wrapf(err, "ledger %s at %d", c.assignment.Ledger, c.next)
		}
		if c.follower != nil && c.follower.sent {
			c.log = append(c.log, logged{c.next, r.Append(nil)})
		}
		c.next++
	}
	return c.next, nil
}

// Durable reports whether everything before p may take effect.
func (c *Copy) Durable(p Position) bool {
	if c.role != Primary {
		return false
	}
	f := c.follower
	return f == nil || !f.required || f.held && f.acked >= p
}

// Batch returns what the follower is to be sent next, and to whom. There is
// nothing to send if ok is false.
func (c *Copy) Batch(now time.Time) (m Append, to Holder, ok bool) {
	f := c.follower
	if c.role != Primary || f == nil {
		return Append{}, Holder{}, false
	}
	m = Append{Ledger: c.assignment.Ledger, Generation: c.assignment.Generation, Epoch: c.assignment.Epoch}
	if !f.sent {
		return c.transfer(now, m)
	}
	if len(c.log) == 0 {
		return Append{}, Holder{}, false
	}
	m.First = c.log[0].at
	for _, r := range c.log {
		if len(m.Records) > 0 && len(m.Records)+len(r.encoded) > MaxBatchBytes {
			break
		}
		m.Records = append(m.Records, r.encoded...)
	}
	return m, f.holder, true
}

// transfer returns the whole state. From here on records are logged for the
// follower, so that it misses none.
func (c *Copy) transfer(now time.Time, m Append) (Append, Holder, bool) {
	m.Transfer = true
	m.First = c.next
	for _, r := range c.ledger.Records(now) {
		m.Records = r.Append(m.Records)
	}
	c.follower.sent = true
	c.log = nil
	return m, c.follower.holder, true
}

// Acknowledged takes in a follower's answer. Promote is true when the joining
// copy has caught up and the quorum should make it the backup.
func (c *Copy) Acknowledged(from Holder, a Ack) (promote bool) {
	f := c.follower
	if c.role != Primary || f == nil || f.holder != from {
		return false
	}
	if !a.Accepted || a.Generation != c.assignment.Generation || a.Epoch != c.assignment.Epoch {
		return false
	}
	if a.NeedState {
		f.sent, f.held = false, false
		return false
	}
	f.held = true
	f.acked = max(f.acked, a.Next)
	for len(c.log) > 0 && c.log[0].at < f.acked {
		c.log = c.log[1:]
	}
	if !f.required {
		f.required, f.since = true, c.next
	}
	return c.Promotable()
}

// Promotable reports whether the quorum should make the joining copy the
// backup.
func (c *Copy) Promotable() bool {
	f := c.follower
	return c.role == Primary && f != nil && f.required && f.acked >= f.since && f.holder == c.assignment.Joining
}

// Unsent tells that the batch last returned may not have arrived; a transfer
// that was not acknowledged is then sent anew, also that of an empty ledger.
func (c *Copy) Unsent(m Append) {
	if f := c.follower; f != nil && m.Transfer && !f.held {
		f.sent = false
	}
}

// Receive takes in an Append at a follower and returns the answer.
func (c *Copy) Receive(now time.Time, m Append) (Ack, error) {
	ack := Ack{Generation: c.assignment.Generation, Epoch: c.assignment.Epoch}
	if m.Generation != c.assignment.Generation || m.Epoch != c.assignment.Epoch || c.role != Backup && c.role != Joining {
		return ack, nil
	}
	ack.Accepted = true
	records, err := ParseRecords(m.Records)
	if err != nil {
		return Ack{}, errors.Wrapf(err, "ledger %s: records from its primary", m.Ledger)
	}
	switch {
	case m.Transfer && c.holds && m.First <= c.next:
		// It was overtaken: this copy holds all of it already.
	case m.Transfer:
		err = c.install(now, m.First, records)
	case !c.holds || m.First > c.next:
		ack.NeedState = true
	default:
		err = c.extend(now, m.First, records)
	}
	if err != nil {
		c.clear()
		c.damaged = true
		ack.NeedState = true
	}
	ack.Next = c.next
	return ack, err
}

func (c *Copy) install(now time.Time, at Position, records []Record) error {
	c.clear()
	for _, r := range records {
		if err := c.ledger.Apply(now, r); err != nil {
			return errors.Wrapf(err, "ledger %s: transferred state", c.assignment.Ledger)
		}
	}
	c.ledger.TakeResults() // they are the primary's, from long ago
	c.holds, c.damaged, c.next = true, false, at
	return nil
}

func (c *Copy) extend(now time.Time, first Position, records []Record) error {
	for i, r := range records {
		if first+Position(i) < c.next {
			continue // held already: the acknowledgement was lost
		}
		if err := c.ledger.Apply(now, r); err != nil {
			return errors.Wrapf(err, "ledger %s at %d", c.assignment.Ledger, c.next)
		}
		c.next++
	}
	return nil
}

// Behind reports whether the follower lacks records or the state.
func (c *Copy) Behind() bool {
	f := c.follower
	return c.role == Primary && f != nil && (!f.held || f.acked < c.next)
}

// Blocked reports whether records wait for a required follower.
func (c *Copy) Blocked() bool { return c.Behind() && c.follower.required }
