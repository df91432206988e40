package gate

import "context"

// callerLeft reports whether the caller of a job has left, or the job has ended otherwise. ctx is that of the job.
func (g *Gate) callerLeft(ctx context.Context) bool {
	return ctx.Err() != nil || g.CallerLeft != nil && g.CallerLeft(ctx)
}
