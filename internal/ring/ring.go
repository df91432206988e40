// Package ring provides the bounded queue that joins the goroutines of a
// server. A full ring pushes back: its producers wait or are told so, and
// memory stays bounded.
package ring

import "context"

// Ring is a bounded first-in first-out queue between goroutines. It must be
// made by [New].
type Ring[T any] struct {
	c chan T
}

// New returns a Ring that holds at most size values.
func New[T any](size int) *Ring[T] { return &Ring[T]{c: make(chan T, size)} }

// Put waits until there is room for v or ctx is done.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	select {
	case r.c <- v:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Offer puts v if there is room and reports whether it did.
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Out returns the receiving end. It is never closed.
func (r *Ring[T]) Out() <-chan T { return r.c }

// Len returns the number of values that wait.
func (r *Ring[T]) Len() int { return len(r.c) }
