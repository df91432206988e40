package replica

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/quorum"
	"tamarackpin.example/internal/vm"
)

// Times of the loops that form the quorum and change its members.
const (
	foundEvery  = 200 * time.Millisecond
	memberEvery = 250 * time.Millisecond
	memberSoon  = 50 * time.Millisecond
	// changeAfter is how many rounds in a row a member must show another disk
	// than the quorum knows before it is replaced: soon, since until then one more
	// loss ends the quorum.
	changeAfter = 2
	// silentAfter is how long a leader has not heard from a member when that counts as silent:
	// four heartbeats.
	silentAfter = quorum.ElectionTimeout
)

// Identity is what a member says of its disk.
type Identity struct {
	Member quorum.Member `json:"member"`
	Empty  bool          `json:"empty"` // it was never part of a quorum
}

// Identify returns this member's Identity.
func (r *Replica) Identify(ctx context.Context) (Identity, error) {
	var id Identity
	if !r.do(ctx, func(r *Replica, _ time.Time) { id = Identity{r.log.Member, r.empty} }) {
		return id, ErrStopped
	}
	return id, nil
}

// ask returns the identity of a member.
func (r *Replica) ask(ctx context.Context, v vm.ID) (Identity, bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if v == r.config.Self {
		id, err := r.Identify(ctx)
		return id, err == nil
	}
	id, err := r.config.Ask(ctx, v)
	return id, err == nil && id.Member.VM == v
}

// foundLoop starts the quorum when every founder's disk is empty. Only the
// first of them does, and only once it has heard all: a disk that was lost
// later finds the others not empty, and cannot start a second quorum.
func (r *Replica) foundLoop(ctx context.Context) {
	founders := slices.Sorted(slices.Values(r.config.Founders))
	if !r.config.MayFound || len(founders) == 0 || r.config.Self != founders[0] {
		return
	}
	for r.unstarted(ctx) {
		var voters []quorum.Member
		for _, v := range founders {
			if id, ok := r.ask(ctx, v); ok && id.Empty {
				voters = append(voters, id.Member)
			}
		}
		if len(voters) == len(founders) {
			r.do(ctx, func(r *Replica, now time.Time) { r.found(now, voters) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(foundEvery):
		}
	}
}

func (r *Replica) unstarted(ctx context.Context) bool {
	id, err := r.Identify(ctx)
	return err == nil && id.Empty
}

func (r *Replica) found(now time.Time, voters []quorum.Member) {
	if !r.empty {
		return
	}
	saved := quorum.Bootstrap(voters)
	if err := r.log.SaveSnapshot(saved); err != nil {
		r.config.Log.Error("starting the control quorum failed", zap.Error(err))
		return
	}
	r.empty = false
	r.saved = saved
	r.core = quorum.New(now, r.log.Member, saved, r.core.Random())
}

// memberLoop keeps the members as they are wanted, one step at a time: a VM
// that came back with another disk is taken out, brought up to date as a
// learner, and made a voter again.
func (r *Replica) memberLoop(ctx context.Context) {
	strange := make(map[quorum.Member]int)
	pause := memberEvery
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		pause = memberEvery
		var leads bool
		var config quorum.Config
		var silent []quorum.Member
		r.do(ctx, func(r *Replica, now time.Time) {
			leads, config, silent = r.core.Role() == quorum.Leader, r.core.Config(), r.core.Silent(now, silentAfter)
		})
		if !leads {
			clear(strange)
			continue
		}
		if r.memberRound(ctx, config, silent, strange) {
			pause = memberSoon
		}
	}
}

// memberRound takes one step and reports whether another may follow at once.
func (r *Replica) memberRound(ctx context.Context, c quorum.Config, silent []quorum.Member, strange map[quorum.Member]int) (changing bool) {
	wanted := make(map[vm.ID]quorum.Member)
	seen := make(map[quorum.Member]bool)
	for _, v := range r.config.Wanted(time.Now(), c, silent) {
		wanted[v] = quorum.Member{}
		id, ok := r.ask(ctx, v)
		if !ok {
			continue
		}
		seen[id.Member] = true
		strange[id.Member]++
		if strange[id.Member] >= changeAfter {
			wanted[v] = id.Member
		}
	}
	for s := range strange {
		if !seen[s] {
			delete(strange, s)
		}
	}
	r.do(ctx, func(r *Replica, now time.Time) {
		next, ok := nextConfig(r.core.Config(), wanted, r.core.CaughtUp(), r.core.Silent(now, silentAfter))
		if changing = ok; !ok {
			return
		}
		if err := r.core.ProposeConfig(now, next); err != nil {
			r.config.Log.Debug("changing the control members must wait", zap.Error(err))
		}
	})
	return changing
}

// nextConfig returns the next step from c towards the wanted members. A wanted
// member without a disk is one that cannot be asked now; it stays as it is. A
// member with a new disk is brought up to date as a learner before it takes the
// place of the old disk. A silent learner is dropped, as there can be one only and nothing
// else is changed meanwhile; it is taken in again once it can be asked.
func nextConfig(c quorum.Config, wanted map[vm.ID]quorum.Member, caughtUp bool, silent []quorum.Member) (quorum.Config, bool) {
	if l := c.Learner; !l.IsZero() {
		if _, listed := wanted[l.VM]; !listed || slices.Contains(silent, l) {
			return quorum.Config{Voters: c.Voters}, true
		}
		return nextOfLearner(c, wanted[l.VM], caughtUp)
	}
	for _, v := range c.Voters {
		if _, listed := wanted[v.VM]; !listed && len(c.Voters) > 1 {
			return quorum.Config{Voters: without(c.Voters, v)}, true
		}
	}
	for v, w := range wanted {
		if voter, votes := c.Disk(v); !w.IsZero() && (!votes || voter != w) {
			return quorum.Config{Voters: c.Voters, Learner: w}, true
		}
	}
	return c, false
}

// nextOfLearner returns the next step while there is a learner; wanted is the
// member that its VM should be.
func nextOfLearner(c quorum.Config, wanted quorum.Member, caughtUp bool) (quorum.Config, bool) {
	switch old, votes := c.Disk(c.Learner.VM); {
	case wanted.IsZero():
		return c, false
	case wanted != c.Learner:
		return quorum.Config{Voters: c.Voters}, true
	case !caughtUp:
		return c, false
	case votes:
		// In one step: with two voters in between, the loss of another disk would
		// end the quorum.
		return quorum.Config{Voters: append(without(c.Voters, old), c.Learner)}, true
	}
	return quorum.Config{Voters: append(slices.Clone(c.Voters), c.Learner)}, true
}

func without(voters []quorum.Member, out quorum.Member) []quorum.Member {
	return slices.DeleteFunc(slices.Clone(voters), func(m quorum.Member) bool { return m == out })
}
