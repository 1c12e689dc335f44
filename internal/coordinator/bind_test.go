package coordinator

import (
	"io"
	"net"
	"testing"

	"github.com/phuslu/log"
	gometrics "github.com/rcrowley/go-metrics"

	"savoryhoist.example/savoryhoist/internal/standin"
)

// Peers are told the address of the proxy, not the one behind it.
func TestEntryBindsAnotherAddressThanPeersUse(t *testing.T) {
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	for _, tc := range []struct{ name, listen, bind, want string }{
		{"the same", "127.0.0.6:0", "", "127.0.0.6"},
		{"behind a proxy", "127.0.0.6:7720", "127.0.0.7:0", "127.0.0.7"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, err := New(Settings{Name: "entry-a", Listen: tc.listen, Bind: tc.bind}, new(standin.Store).Client(), logger, gometrics.NewRegistry())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.listener.Close() })
			if got, _, _ := net.SplitHostPort(c.listener.Addr().String()); got != tc.want {
				t.Errorf("bound address: got %s, want %s", got, tc.want)
			}
			if got := c.hello(true).Hello.PeerAddress; got != tc.listen {
				t.Errorf("address for peers: got %s, want %s", got, tc.listen)
			}
		})
	}
}
