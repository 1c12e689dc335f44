package link

import (
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"savoryhoist.example/savoryhoist/pkg/lease"
	"savoryhoist.example/savoryhoist/pkg/record"
	"savoryhoist.example/savoryhoist/pkg/worker"
)

// roundTrip encodes a message and decodes it again.
func roundTrip[T any](t *testing.T, in *T) *T {
	t.Helper()
	data, err := cbor.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	out := new(T)
	if err := cbor.Unmarshal(data, out); err != nil {
		t.Fatal(err)
	}
	return out
}

func testHeartbeat() *Heartbeat {
	return &Heartbeat{
		Worker: "worker-1", Rack: "rack-1", Service: "planner", Address: "10.0.0.1:8443", Incarnation: 7, Ready: true,
		Total: worker.Resources{MilliCPU: 16000}, BundleDigest: "digest", BundleVersion: 4,
		Tasks: []lease.Report{{Hold: record.AssignmentID{Task: record.TaskID{Job: "job"}, Epoch: 9}, State: lease.Running}},
	}
}

// TestCompactHeartbeats checks that the heartbeat that an entry restores from a
// shortened one always equals the whole heartbeat, also after a restart of the entry.
func TestCompactHeartbeats(t *testing.T) {
	var s HeartbeatSender
	r := new(HeartbeatReceiver)
	cases := []struct {
		name       string
		change     func(h *Heartbeat)
		restart    bool
		wantSame   bool
		wantResend bool
	}{
		{"first", func(*Heartbeat) {}, false, false, false},
		{"unchanged", func(h *Heartbeat) { h.Round++; h.InFlight = 5; h.Mark = 3; h.Pressure = 0.5 }, false, true, false},
		{"a task ends", func(h *Heartbeat) { h.Round++; h.Tasks = nil }, false, false, false},
		{"a task starts", func(h *Heartbeat) { h.Tasks = testHeartbeat().Tasks }, false, false, false},
		{"unchanged again", func(h *Heartbeat) { h.Round++; h.Primary = true }, false, true, false},
		{"the entry was restarted", func(h *Heartbeat) { h.Round++ }, true, true, true},
		{"leaving", func(h *Heartbeat) { h.Draining = true }, false, false, false},
	}
	h := testHeartbeat()
	for _, c := range cases {
		c.change(h)
		if c.restart {
			r = new(HeartbeatReceiver)
		}
		got, resent := sendHeartbeat(t, &s, r, h, c.wantSame)
		if resent != c.wantResend {
			t.Errorf("%s: resent: got %t, want %t", c.name, resent, c.wantResend)
		}
		got.EntriesDigest = 0
		if !reflect.DeepEqual(got, roundTrip(t, h)) {
			t.Errorf("%s: got %+v, want %+v", c.name, got, h)
		}
	}
}

// sendHeartbeat sends h to r, and sends it a second time if r asks for the whole
// heartbeat. It returns the heartbeat that r restores; wantSame says whether the first
// one sent must leave out the stable part.
func sendHeartbeat(t *testing.T, s *HeartbeatSender, r *HeartbeatReceiver, h *Heartbeat, wantSame bool) (got *Heartbeat, resent bool) {
	t.Helper()
	sent, digest, err := s.Compact("entry", h)
	if err != nil {
		t.Fatal(err)
	}
	if same := sent.UnchangedDigest != 0; same != wantSame {
		t.Errorf("stable part left out: got %t, want %t", same, wantSame)
	}
	got = r.Expand(roundTrip(t, sent))
	if !s.HandleReply("entry", digest, &HeartbeatReply{ResendWhole: got == nil, AcceptsCompact: true}) {
		return got, false
	}
	sent, digest, err = s.Compact("entry", h)
	if err != nil {
		t.Fatal(err)
	}
	got = r.Expand(roundTrip(t, sent))
	if got == nil || s.HandleReply("entry", digest, &HeartbeatReply{AcceptsCompact: true}) {
		t.Fatal("the whole heartbeat was not accepted")
	}
	return got, true
}

// TestEntriesLeftOut checks that an agent goes on using the list of entries that
// an entry leaves out of its reply because the agent has it already.
func TestEntriesLeftOut(t *testing.T) {
	var s HeartbeatSender
	h := testHeartbeat()
	list := []string{"a", "b"}
	sent, digest, err := s.Compact("entry", h)
	if err != nil || sent.EntriesDigest != 0 {
		t.Fatalf("first: got entries digest %d, error %v", sent.EntriesDigest, err)
	}
	s.HandleReply("entry", digest, &HeartbeatReply{Entries: list})
	sent, digest, err = s.Compact("entry", h)
	if err != nil || sent.EntriesDigest != EntriesDigest([]string{"b", "a"}) {
		t.Errorf("second: got entries digest %d, error %v, want that of the list", sent.EntriesDigest, err)
	}
	reply := new(HeartbeatReply)
	s.HandleReply("entry", digest, reply)
	if !reflect.DeepEqual(reply.Entries, list) {
		t.Errorf("list left out: got %v, want %v", reply.Entries, list)
	}
}
