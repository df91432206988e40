package targets

import (
	"net/http"
	"time"

	"tamarackpin.example/internal/target"
	"tamarackpin.example/internal/wire"
	"tamarackpin.example/tamarackpin/internal/jsonhttp"
)

// Bounds of one announcement.
const (
	maxAnnouncementBytes = 64 << 10
	announcementTimeout  = 2 * time.Second
)

// Accepted is the reply to an announcement.
type Accepted struct {
	RenewEvery wire.Duration `json:"renew_every"`
	LeaseTerm  wire.Duration `json:"lease_term"`
}

// Handler serves the targets' address. announce is called with each
// announcement that is well formed.
func Handler(announce func(target.Announcement)) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+target.AnnouncePath, func(w http.ResponseWriter, r *http.Request) {
		var a target.Announcement
		if refusal := jsonhttp.Read(w, r, maxAnnouncementBytes, announcementTimeout, &a); refusal != nil {
			jsonhttp.Refuse(w, refusal)
			return
		}
		announce(a)
		jsonhttp.Write(w, http.StatusOK, Accepted{wire.Duration(target.RenewInterval), wire.Duration(target.LeaseDuration)})
	})
	return jsonhttp.Fallback(mux)
}
