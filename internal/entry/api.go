package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/metrics"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// HeaderTeam names the caller's team on an entry that requires no token.
const HeaderTeam = "Savoryhoist-Team"

func (e *Entry) apiHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/services/{service}/", e.serveRequest)
	mux.HandleFunc("POST /jobs", e.serveSubmit)
	mux.HandleFunc("POST /jobs/cancel", e.serveCancelMany)
	mux.HandleFunc("GET /jobs", e.serveJobs)
	mux.HandleFunc("GET /jobs/{id}", e.serveJob)
	mux.HandleFunc("DELETE /jobs/{id}", e.serveCancel)
	mux.HandleFunc("POST /bundles", e.servePublish)
	mux.HandleFunc("GET /bundles/current", e.serveBundle)
	mux.HandleFunc("GET /status", e.serveStatus)
	mux.Handle("GET /metrics", metrics.Handler(e.registry))
	mux.HandleFunc("GET /healthz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready(time.Now()) {
			problem.New(http.StatusServiceUnavailable, "", "the entry is starting or draining").Write(w)
		}
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		problem.New(http.StatusNotFound, "path", "nothing is served at "+r.URL.Path).Write(w)
	})
	return mux
}

// team returns the caller's team, or responds with an error.
func (e *Entry) team(w http.ResponseWriter, r *http.Request, d *bundle.Document) (*bundle.Team, bool) {
	if r.TLS != nil {
		return teamOfPeer(w, r, d)
	}
	if e.settings.AllowUnauthenticated {
		if t, ok := d.Team(r.Header.Get(HeaderTeam)); ok {
			return t, true
		}
		problem.New(http.StatusForbidden, HeaderTeam, "must be the name of a team in the bundle in force").Write(w)
		return nil, false
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if ok {
		sum := sha256.Sum256([]byte(token))
		if t, ok := d.TeamByTokenDigest(hex.EncodeToString(sum[:])); ok {
			return t, true
		}
	}
	problem.New(http.StatusUnauthorized, "Authorization", "must be a bearer token of a team in the bundle in force").Write(w)
	return nil, false
}

// teamOfPeer returns the team on whose behalf another entry sends a request, or responds
// with an error.
func teamOfPeer(w http.ResponseWriter, r *http.Request, d *bundle.Document) (*bundle.Team, bool) {
	peer, err := link.PeerOfRequest(r)
	t, ok := d.Team(r.Header.Get(link.HeaderCallerTeam))
	if err != nil || peer.Role() != link.RoleEntry || !ok {
		problem.New(http.StatusForbidden, link.HeaderCallerTeam, "requires an entry's certificate and the name of a team in the bundle in force").Write(w)
		return nil, false
	}
	return t, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
