package entry

import "net/http"

// closeWhenLeaving ends callers' connections after their answers once the entry
// leaves, so that none is idle when the door is shut.
func (e *Entry) closeWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
