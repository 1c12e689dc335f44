package link

import "net/http"

// hopByHop lists the headers that are not forwarded: those that concern one
// connection only, and Authorization, which is meant for the entry alone.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true,
}

// CopyHeader copies the headers of src to dst, except those that concern one
// connection only and Authorization.
func CopyHeader(dst, src http.Header) {
	for k, v := range src {
		if !hopByHop[k] {
			dst[k] = v
		}
	}
}
