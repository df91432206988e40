package group

import (
	"testing"
	"time"
)

// TestContact checks which VMs count as silent: those without a reply to a ping for
// silenceTimeout, not those whose replies are late, and not all of them when this process
// was paused itself.
func TestContact(t *testing.T) {
	startedAt := time.Unix(1000, 0)
	for _, c := range []struct {
		name       string
		replyDelay time.Duration // 0: no replies
		pausedFor  time.Duration // of this process, before the tenth check
		checks     int
		want       bool
	}{
		{"prompt", 5 * time.Millisecond, 0, 40, false},
		{"slow", silenceTimeout - pingInterval, 0, 40, false},
		{"no replies yet", 0, 0, int(silenceTimeout / pingInterval), false},
		{"silent", 0, 0, int(silenceTimeout/pingInterval) + 2, true},
		{"this process was paused", 300 * time.Millisecond, 5 * time.Second, 14, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var contact contact
			now, silent := startedAt, false
			var sent []time.Time
			for i := range c.checks {
				if i == 9 {
					now = now.Add(c.pausedFor)
				}
				// After a pause the replies that arrived meanwhile are read after the check.
				silent = contact.isSilent(now) || silent
				for len(sent) > 0 && c.replyDelay > 0 && !sent[0].Add(c.replyDelay).After(now) {
					contact.replied(sent[0])
					sent = sent[1:]
				}
				contact.sent(now)
				sent = append(sent, now)
				now = now.Add(pingInterval)
			}
			if silent != c.want {
				t.Errorf("counts as silent: %v, want %v", silent, c.want)
			}
		})
	}
}
