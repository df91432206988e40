package node

import (
	"fmt"
	"net/http"
)

// metrics serves the counters as text.
func (n *Node) metrics() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, "tamarackpin_jobs_in_hand %d\n", n.inHand())
		if n.group == nil {
			return
		}
		c, leads := n.group.Counts()
		if !leads {
			return
		}
		fmt.Fprintf(w, "tamarackpin_tasks_started %d\ntamarackpin_tasks_done %d\ntamarackpin_tasks_failed %d\n", c.Started, c.Done, c.Failed)
	})
}
