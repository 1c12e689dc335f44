package entry

import (
	"io"
	"net/http"
	"strconv"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/internal/problem"
	"savoryhoist.example/savoryhoist/pkg/endpoint"
)

// answer is an agent's answer. A small one has been read to its end, so that
// it is whole or can still be asked for again; the rest of a large one streams.
type answer struct {
	status  int
	header  http.Header
	outcome problem.Outcome
	body    []byte
	rest    io.ReadCloser
	release func()
}

// readAnswer reads an answer and checks that it belongs to the attempt.
// Release is called when the answer needs its connection no more.
func readAnswer(resp *http.Response, id string, attempt uint32, release func()) (*answer, error) {
	h := resp.Header
	if h.Get(link.HeaderRequest) != id || h.Get(link.HeaderAttempt) != strconv.FormatUint(uint64(attempt), 10) {
		_ = resp.Body.Close()
		return nil, errCrossed
	}
	a := &answer{
		status: resp.StatusCode, header: h, outcome: problem.Outcome(h.Get(link.HeaderOutcome)),
		rest: resp.Body, release: release,
	}
	if resp.Body == http.NoBody {
		a.close()
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
		a.close()
	}
	return a, nil
}

// close gives the connection back.
func (a *answer) close() {
	if a.rest == nil {
		return
	}
	_ = a.rest.Close()
	a.rest = nil
	a.release()
}

// relay passes an answer on; a body that is cut off is cut off for the caller
// too. It calls ended when the endpoint has done its part.
func (a *answer) relay(w http.ResponseWriter, ended func()) {
	defer a.close()
	link.DropInternal(a.header)
	link.CopyHeader(w.Header(), a.header)
	if a.rest == nil {
		ended()
		w.WriteHeader(a.status)
		_, _ = w.Write(a.body)
		return
	}
	defer ended()
	w.WriteHeader(a.status)
	if _, err := w.Write(a.body); err != nil {
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(w, a.rest); err != nil {
		panic(http.ErrAbortHandler)
	}
}
