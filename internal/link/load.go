package link

import (
	"net/http"
	"strconv"
	"strings"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// FormatLoad writes a load in the form of HeaderLoad: the requests in flight,
// the long ones of them, and the reserved slots.
func FormatLoad(l endpoint.Load) string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Long), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.Reserved), 10)
	return string(b)
}

// ParseLoad reads the form of FormatLoad.
func ParseLoad(text string) (endpoint.Load, bool) {
	inFlight, rest, _ := strings.Cut(text, " ")
	long, reserved, _ := strings.Cut(rest, " ")
	n, err1 := strconv.Atoi(inFlight)
	l, err2 := strconv.Atoi(long)
	r, err3 := strconv.Atoi(reserved)
	return endpoint.Load{InFlight: n, Long: l, Reserved: r}, err1 == nil && err2 == nil && err3 == nil
}

// internalHeaders concern entry and agent alone.
var internalHeaders = [...]string{
	HeaderIncarnation, HeaderMark, HeaderCallerTeam, HeaderRefusal, HeaderLoad, HeaderTook, HeaderAttempt,
}

// DropInternal removes the headers that are of use to entry and agent alone.
func DropInternal(h http.Header) {
	for _, k := range internalHeaders {
		delete(h, k)
	}
}
