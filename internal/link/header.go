package link

import "net/http"

// hopByHop lists the headers that are not forwarded: those that concern one
// connection only, and Authorization, which is meant for the entry alone.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true,
}

// CopyHeader copies the end-to-end headers, except credentials.
func CopyHeader(to, from http.Header) {
	for k, v := range from {
		if !hopByHop[k] {
			to[k] = v
		}
	}
}
