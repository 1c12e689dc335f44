package link

import (
	"net/http"
	"strconv"
	"strings"

	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// FormatLoad formats a load as a value of HeaderLoad: the number of requests in
// flight, the number of long requests among them, and the number of reserved
// slots, separated by spaces.
func FormatLoad(l endpoint.Load) string {
	b := make([]byte, 0, 16)
	b = strconv.AppendInt(b, int64(l.InFlight), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.LongInFlight), 10)
	b = append(b, ' ')
	b = strconv.AppendInt(b, int64(l.ReservedSlots), 10)
	return string(b)
}

// ParseLoad parses a value that FormatLoad returned, and reports whether text is such a value.
func ParseLoad(text string) (endpoint.Load, bool) {
	inFlight, rest, _ := strings.Cut(text, " ")
	long, reserved, _ := strings.Cut(rest, " ")
	inFlightCount, err1 := strconv.Atoi(inFlight)
	longCount, err2 := strconv.Atoi(long)
	reservedCount, err3 := strconv.Atoi(reserved)
	return endpoint.Load{InFlight: inFlightCount, LongInFlight: longCount, ReservedSlots: reservedCount}, err1 == nil && err2 == nil && err3 == nil
}

// internalHeaders lists the headers that only entries and agents use.
var internalHeaders = [...]string{
	HeaderIncarnation, HeaderMark, HeaderCallerTeam, HeaderRefusal, HeaderLoad, HeaderServiceTime, HeaderAttempt,
}

// DropInternalHeaders removes the headers that only entries and agents use.
func DropInternalHeaders(h http.Header) {
	for _, k := range internalHeaders {
		delete(h, k)
	}
}
