package link

import "net/http"

// hopByHop headers concern one connection, or are meant for the entry alone.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Authorization": true,
}

// CopyHeader copies all headers that go from end to end, except credentials.
func CopyHeader(to, from http.Header) {
	for k, v := range from {
		if !hopByHop[k] {
			to[k] = v
		}
	}
}
