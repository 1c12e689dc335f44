package batch

import "testing"

func TestPlaceSmall(t *testing.T) {
	got, err := MeasurePlacement(Load{Workers: 11, Running: 100, QueueLength: 200, StartsPerSecond: 20, Seconds: 2})
	if err != nil {
		t.Fatal(err)
	}
	if want := 20; got.Placed < want {
		t.Errorf("got %d tasks placed, want at least %d", got.Placed, want)
	}
}

func BenchmarkPlace1400(b *testing.B) {
	for b.Loop() {
		got, err := MeasurePlacement(Load{Workers: targetWorkers, Running: targetRunning, QueueLength: targetQueueLength, StartsPerSecond: targetStartsPerSecond, Seconds: 3})
		if err != nil {
			b.Fatal(err)
		}
		b.Logf("%+v", got)
	}
}
