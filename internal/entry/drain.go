package entry

import "net/http"

// closeWhenDraining closes callers' connections after the response once the entry is
// draining, so that no idle connection is left when the server shuts down.
func (e *Entry) closeWhenDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
