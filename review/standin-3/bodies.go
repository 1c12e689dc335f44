//go:build review3

package main

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// slowCallers is how many callers hand in a job over a slow link at a time, each with a body of slowBytes.
	slowCallers, slowBytes = 760, 31 << 10
	// crowd is how many clients then send a body of crowdBytes, the largest legal size, and stop just short of its end.
	crowd, crowdBytes = 90, 262144
	// bodyRounds is how often that happens.
	bodyRounds = 16
	// pauseBefore is how long the link of a slow caller pauses before the end of its body, spread the time over which the
	// callers send that end, and crowdSpread that over which the crowd comes, beginning together.
	pauseBefore, spread, crowdSpread = 1500 * time.Millisecond, 150 * time.Millisecond, 50 * time.Millisecond
	// visibleAfter is how long after the last answer the jobs are asked for, which is more than visible_ms and contact-ms.
	visibleAfter = 8 * time.Second
)

// slowBody returns a body of slowBytes that hands in a job which is due in an hour, in indented JSON.
func slowBody() string {
	head := fmt.Sprintf(`{"task-spec":"x","repeat-count":1,"start-at-ms":%d,"interval-ms":1000,"steps":[{"count":1,"cpu":100,"mem-mb":10,"est-runtime-ms":150}`,
		time.Now().Add(time.Hour).UnixMilli())
	const tail = "\n]}"
	return head + strings.Repeat(" ", slowBytes-len(head)-len(tail)) + tail
}

// send opens a connection to an entry and sends the head of a POST of a job, and its body but for the last byte.
func send(ctx context.Context, network string, entry int, id, body string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", fmt.Sprintf("%s:%d", entryIP(network, entry), portFront))
	if err != nil {
		return nil, err
	}
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	head := fmt.Sprintf("POST /batch/%s HTTP/1.1\r\nHost: review.example\r\nDeadline-Ms: 10000\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", id, len(body))
	if _, err := conn.Write([]byte(head + body[:len(body)-1])); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// tally is what became of the jobs of one kind of caller.
type tally struct {
	mu       sync.Mutex
	accepted map[string]string
	statuses map[int]int
}

func (t *tally) add(id string, status int, answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.statuses[status]++
	if status/100 == 2 {
		t.accepted[id] = answer
	}
}

// finish sends the last byte of a body and reads the answer: its status, 0 if there is none, and its Content-Length.
func finish(conn net.Conn, body string) (int, string) {
	defer func() { _ = conn.Close() }()
	if _, err := conn.Write([]byte(body[len(body)-1:])); err != nil {
		return 0, ""
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, ""
	}
	_ = response.Body.Close()
	return response.StatusCode, response.Header.Get("Content-Length")
}

// playBodies has callers hand in jobs over slow links while a crowd of other clients sends large bodies.
func playBodies(ctx context.Context, args []string) int {
	f := flag.NewFlagSet("bodies", flag.ExitOnError)
	network, path, trouble := f.String("network", "", "loopback network"), f.String("record", "", "file for the record"), f.Bool("trouble", true, "with the disruption")
	_ = f.Parse(args) // exits on an error
	c := newCaller(*network, newRecord(*path))
	if !c.awaitReady(ctx) {
		return exitNotRun
	}
	t := &tally{accepted: make(map[string]string), statuses: make(map[int]int)}
	large := `{"task-spec":"x","steps":[` + strings.Repeat(" ", crowdBytes-28) + `]}`
	for range bodyRounds {
		c.playRound(ctx, t, large, *trouble)
	}
	c.record.line("callers: %d jobs handed in at entry 0 over slow links; answers by status, 0 for none: %v", slowCallers*bodyRounds, t.statuses)
	time.Sleep(visibleAfter)
	lost, unknown := 0, 0
	for id, answer := range t.accepted {
		status, phase := c.call(ctx, http.MethodGet, 1, "/batch/"+id, "", 1500)
		if status == 0 || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout {
			unknown++
		}
		if status != http.StatusGone {
			continue
		}
		if lost++; lost <= 20 {
			c.record.line("caller: job %s was answered with 200 (Content-Length %s) at entry 0; GET at entry 1: status %d, phase %q", id, answer, status, phase)
		}
	}
	c.record.line("check: of %d jobs that were accepted, %d do not exist %v later; no answer about %d", len(t.accepted), lost, visibleAfter, unknown)
	return c.verdict(lost > 0)
}

// playRound is one round of callers over slow links and, with trouble, the crowd.
func (c *caller) playRound(ctx context.Context, t *tally, large string, trouble bool) {
	body := slowBody()
	var all sync.WaitGroup
	begin := time.Now()
	ends := begin.Add(700*time.Millisecond + pauseBefore)
	for range slowCallers {
		all.Go(func() {
			id := newID()
			time.Sleep(time.Duration(rand.IntN(600)) * time.Millisecond)
			conn, err := send(ctx, c.network, 0, id, body)
			if err != nil {
				t.add(id, 0, "")
				return
			}
			time.Sleep(time.Until(ends) + time.Duration(rand.Int64N(int64(spread))))
			status, answer := finish(conn, body)
			t.add(id, status, answer)
		})
	}
	if trouble {
		for range crowd {
			all.Go(func() {
				time.Sleep(time.Until(ends) + time.Duration(rand.Int64N(int64(crowdSpread))))
				conn, err := send(ctx, c.network, 0, newID(), large)
				if err == nil {
					time.Sleep(300 * time.Millisecond)
					_ = conn.Close()
				}
			})
		}
	}
	all.Wait()
}
