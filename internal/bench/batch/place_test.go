package batch

import "testing"

func TestPlaceSmall(t *testing.T) {
	got, err := Place(Load{Workers: 11, Running: 100, Queue: 200, Starts: 20, Seconds: 2})
	if err != nil {
		t.Fatal(err)
	}
	if want := 20; got.Placed < want {
		t.Errorf("got %d tasks placed, want at least %d", got.Placed, want)
	}
}

func BenchmarkPlace1400(b *testing.B) {
	for b.Loop() {
		got, err := Place(Load{Workers: targetWorkers, Running: targetRunning, Queue: targetQueueLength, Starts: targetStartsPerSecond, Seconds: 3})
		if err != nil {
			b.Fatal(err)
		}
		b.Logf("%+v", got)
	}
}
