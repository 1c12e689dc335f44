package entry

import (
	"io"
	"net/http"
	"strconv"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// agentResponse is an agent's response to an attempt. A body of up to
// endpoint.MaxResponseBytes has been read completely before anything is sent to the caller, so
// that the agent can still be asked to resend a truncated response. The unread part of a larger
// body is streamed to the caller.
type agentResponse struct {
	status  int
	header  http.Header
	outcome problem.Outcome
	// body is the part of the body that has been read, unread the rest of it; unread is nil if
	// nothing is left.
	body   []byte
	unread io.ReadCloser
	// release is called once the connection is no longer needed.
	release func()
}

// readResponse reads a response and checks that it belongs to this attempt of the request. It
// calls release when the response no longer needs its connection.
func readResponse(resp *http.Response, requestID string, attempt uint32, release func()) (*agentResponse, error) {
	h := resp.Header
	if h.Get(link.HeaderRequest) != requestID || h.Get(link.HeaderAttempt) != strconv.FormatUint(uint64(attempt), 10) {
		_ = resp.Body.Close()
		return nil, errWrongAttempt
	}
	a := &agentResponse{
		status: resp.StatusCode, header: h, outcome: problem.Outcome(h.Get(link.HeaderOutcome)),
		unread: resp.Body, release: release,
	}
	if resp.Body == http.NoBody {
		a.releaseConnection()
		return a, nil
	}
	if resp.ContentLength > endpoint.MaxResponseBytes {
		return a, nil
	}
	var err error
	if resp.ContentLength >= 0 {
		a.body = make([]byte, resp.ContentLength)
		_, err = io.ReadFull(resp.Body, a.body)
	} else {
		a.body, err = io.ReadAll(io.LimitReader(resp.Body, endpoint.MaxResponseBytes+1))
	}
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	if len(a.body) <= endpoint.MaxResponseBytes {
		a.releaseConnection()
	}
	return a, nil
}

// releaseConnection closes the unread part of the body and releases the connection.
func (a *agentResponse) releaseConnection() {
	if a.unread == nil {
		return
	}
	_ = a.unread.Close()
	a.unread = nil
	a.release()
}

// forward sends the response to the caller. If the body is truncated on the way from the agent,
// forward aborts the response, so that the caller notices. It calls onReceived once nothing
// more is read from the agent.
func (a *agentResponse) forward(w http.ResponseWriter, onReceived func()) {
	defer a.releaseConnection()
	link.DropInternalHeaders(a.header)
	link.CopyHeader(w.Header(), a.header)
	if a.unread == nil {
		onReceived()
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
		return
	}
	defer onReceived()
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, a.unread); err != nil {
		panic(http.ErrAbortHandler)
	}
}
