package log

import (
	"net"
	"testing"
	"time"
)

// TestUDPProxyCountsBothWays checks that the proxy forwards datagrams in both
// directions and counts them with their headers.
func TestUDPProxyCountsBothWays(t *testing.T) {
	server, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	r, err := newUDPProxy()
	if err != nil {
		t.Fatal(err)
	}
	defer r.close()
	if err := r.setServer(server.LocalAddr().String()); err != nil {
		t.Fatal(err)
	}
	r.faults.Store(&linkFaults{delay: time.Millisecond})
	client, err := net.Dial("udp", r.address())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	if _, err := client.Write([]byte("question")); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, maxDatagramBytes)
	n, source, err := server.ReadFromUDP(buffer)
	if err != nil || string(buffer[:n]) != "question" {
		t.Fatalf("server: got %q, error %v", buffer[:n], err)
	}
	if _, err := server.WriteToUDP([]byte("answer"), source); err != nil {
		t.Fatal(err)
	}
	n, err = client.Read(buffer)
	if err != nil || string(buffer[:n]) != "answer" {
		t.Fatalf("client: got %q, error %v", buffer[:n], err)
	}
	if got, want := r.bytes.Load(), int64(len("question")+len("answer")+2*headerBytes); got != want {
		t.Errorf("bytes counted: got %d, want %d", got, want)
	}
}
