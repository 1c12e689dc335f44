// Package services holds the clients of the services that the platform
// provides: the append-only log and the workers.
package services

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/pkg/record"
)

// LogPage is the JSON response to a read. FirstOffset is the first offset that the
// stream retains, NextOffset that of the next append.
type LogPage struct {
	FirstOffset uint64     `json:"first"`
	NextOffset  uint64     `json:"next"`
	Batches     []LogBatch `json:"batches"`
}

// LogBatch is one batch in the JSON response to a read.
type LogBatch struct {
	Offset uint64 `json:"offset"`
	Data   []byte `json:"data"`
}

// AppendResult is the JSON response to an append.
type AppendResult struct {
	Offset uint64 `json:"offset"`
}

// RecordsPath returns the URL path of a stream's records at the log service.
func RecordsPath(stream string) string { return "/streams/" + url.PathEscape(stream) + "/records" }

// NewLog returns a client of the log service at baseURL.
func NewLog(client *http.Client, baseURL string) record.Log {
	l := logClient{client: client, baseURL: baseURL}
	return record.Log{Append: l.append, Read: l.read}
}

type logClient struct {
	client  *http.Client
	baseURL string
}

// append appends one batch to a stream and returns the batch's offset. See record.Log for the
// marks of its errors.
func (l *logClient) append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.baseURL+RecordsPath(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "append to the log"), record.ErrOutcomeUnknown)
	}
	defer func() { _ = resp.Body.Close() }()
	defer discardRest(resp.Body)
	if resp.StatusCode == http.StatusServiceUnavailable {
		return 0, errors.Wrapf(record.ErrUnavailable, "append to %s", stream)
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Wrapf(record.ErrOutcomeUnknown, "append to %s: status %d", stream, resp.StatusCode)
	}
	var out AppendResult
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return 0, errors.Mark(errors.Wrap(err, "decode the response to an append"), record.ErrOutcomeUnknown)
	}
	return out.Offset, nil
}

// read returns batches of a stream from an offset on. At the end of the stream the service waits
// up to maxWait for a batch.
func (l *logClient) read(ctx context.Context, stream string, offset uint64, maxWait time.Duration) (record.Page, error) {
	q := url.Values{"from": {strconv.FormatUint(offset, 10)}, "wait": {maxWait.String()}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.baseURL+RecordsPath(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return record.Page{}, err
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return record.Page{}, errors.Mark(errors.Wrap(err, "read the log"), record.ErrUnavailable)
	}
	defer func() { _ = resp.Body.Close() }()
	defer discardRest(resp.Body)
	if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusGone {
		return record.Page{}, errors.Wrapf(record.ErrUnavailable, "read %s: status %d", stream, resp.StatusCode)
	}
	var in LogPage
	if err := json.NewDecoder(resp.Body).Decode(&in); err != nil {
		return record.Page{}, errors.Mark(errors.Wrap(err, "decode the response to a log read"), record.ErrUnavailable)
	}
	page := record.Page{FirstOffset: in.FirstOffset, NextOffset: in.NextOffset}
	if resp.StatusCode == http.StatusGone {
		return page, errors.Wrapf(record.ErrExpired, "stream %s: offset %d is before the first retained offset %d", stream, offset, in.FirstOffset)
	}
	for _, b := range in.Batches {
		page.Batches = append(page.Batches, record.RawBatch{Offset: b.Offset, Data: b.Data})
	}
	return page, nil
}

// maxDiscardBytes is the most bytes that are read of the unused rest of a response.
const maxDiscardBytes = 64 << 10

// discardRest reads the rest of a short response body, so that the connection
// can be reused.
func discardRest(body io.Reader) { _, _ = io.CopyN(io.Discard, body, maxDiscardBytes) }
