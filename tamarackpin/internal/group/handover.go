package group

import (
	"context"
	"time"

	"go.uber.org/zap"

	"tamarackpin.example/internal/event"
	"tamarackpin.example/internal/lead"
	"tamarackpin.example/internal/report"
	"tamarackpin.example/internal/vm"
	"tamarackpin.example/tamarackpin/internal/peer"
)

// handoverTimeout bounds the call of a successor: later than that after its takeover, the leases of
// earlier dispatchers are over soon.
const handoverTimeout = time.Second

// handoverRequest asks a dispatcher that drains for what it knows of the runs of its group.
type handoverRequest struct {
	Group lead.Group `json:"group"`
	Epoch lead.Fence `json:"epoch"` // of the division of Group
	Ended lead.Fence `json:"ended"` // of the leadership that the sender has replaced
	Claim lead.Claim `json:"claim"` // of the sender
}

// handoverReply is sent once the leadership has ended; the zero value tells nothing.
type handoverReply struct {
	// RunsKnown reports that all runs that go on are on workers that the replying process knows, and that it
	// orders no more starts.
	RunsKnown bool `json:"runs_known,omitempty"`
}

// inheritRuns ends the leadership of a predecessor that drains. If that one knows all runs of the group, it fetches the
// predecessor's workers: until they have listed their runs, the pool starts nothing, but it waits for no others. It has
// no effect if the predecessor is of an earlier build or has ended.
func (g *Group) inheritRuns(ctx context.Context, from vm.ID, request handoverRequest) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	reply, err := peer.Call[handoverReply](ctx, g.config.Mesh, from, report.UseHeartbeat, methodHandover, request)
	if err != nil {
		g.config.Log.Debug("a predecessor did not hand over its runs", zap.String("vm", string(from)), event.Err(err))
		return
	}
	if !reply.RunsKnown || !g.config.Syncer.FetchFrom(ctx, from) {
		return
	}
	_ = g.ring.Put(ctx, func(g *Group, now time.Time) {
		if request.Epoch != g.division.Epoch {
			return
		}
		if s := g.groups[request.Group]; s.pool != nil && s.fence == request.Claim.Fence {
			s.runsInherited = true
			g.updateWorkers(now)
		}
	})
}

// serveHandover replies after the leadership that the request names has ended.
func (g *Group) serveHandover(ctx context.Context, from vm.ID, request handoverRequest) (handoverReply, error) {
	ended := make(chan handoverReply, 1)
	err := g.ring.Put(ctx, func(g *Group, now time.Time) {
		defer close(ended) // without a value if nothing can be told
		if request.Epoch != g.division.Epoch || request.Group < 0 || int(request.Group) >= len(g.groups) {
			return
		}
		s := g.groups[request.Group]
		if holder := s.leadership.Claim().VM; holder != "" && holder != g.self.VM && holder != from {
			return // a third dispatcher was between the two, which may have started tasks elsewhere
		}
		if s.pool != nil && s.leadership.IsLeader() {
			if s.leadership.RecordClaim(now, from, request.Claim); !s.leadership.IsLeader() {
				g.flush(ctx, now, s)
				g.endLeadership(now, request.Group, s)
			}
		}
		ended <- handoverReply{s.pool == nil && s.ended.runsKnown && s.ended.fence == request.Ended}
	})
	if err != nil {
		return handoverReply{}, nil
	}
	select {
	case reply := <-ended:
		return reply, nil
	case <-ctx.Done():
		return handoverReply{}, nil
	}
}

// endLeadership drops the pool of a group whose leadership was lost. What it knows of the runs counts only if another
// dispatcher has replaced it, not after a pause in which several may have.
func (g *Group) endLeadership(now time.Time, i lead.Group, s *groupState) {
	newer, refused := s.leadership.Claim(), s.pool.Fenced()
	event.Log(g.config.Log, event.LeadLost, zap.Int("group", int(i)), zap.Bool("refused", refused), zap.Int64("newer_fence", int64(newer.Fence)),
		zap.String("newer_vm", string(newer.VM)), zap.String("refused_by", string(s.pool.FencedBy())), zap.Any("peer_news_seconds", s.leadership.PeerAges(now)))
	s.ended = endedLeadership{s.fence, (refused || newer.VM != "") && s.pool.Takeover(now).RunsKnown}
	s.dropPool(now)
}
