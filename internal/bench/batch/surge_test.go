package batch

import "testing"

func TestGuardHoldsTailWithFewEvictions(t *testing.T) {
	var got [3]SurgeResult
	for _, p := range []Policy{PolicyNone, PolicyGuard, PolicyEvict} {
		s, err := RunSurge(p, 1)
		if err != nil {
			t.Fatal(err)
		}
		got[p] = s
		t.Logf("policy %d: %+v work %.0f lost %.0f", p, s, s.SavedWork.Hours(), s.LostWork.Hours())
	}
	guard, none, evict := got[PolicyGuard], got[PolicyNone], got[PolicyEvict]
	if guard.AboveObjective >= none.AboveObjective {
		t.Errorf("got %.3f of the requests past the objective, want less than %.3f without a guard", guard.AboveObjective, none.AboveObjective)
	}
	if guard.Evictions*10 > evict.Evictions {
		t.Errorf("got %d evictions, want at most a tenth of %d", guard.Evictions, evict.Evictions)
	}
	if guard.SavedWork < evict.SavedWork {
		t.Errorf("got work %v, want at least %v of evicting at once", guard.SavedWork, evict.SavedWork)
	}
}

func TestUrgentStartsAfterEntryDeath(t *testing.T) {
	for _, full := range []bool{false, true} {
		got, err := measureUrgentStart(1, full)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("full %v: %v", full, got)
		if want := urgentTarget; got > want {
			t.Errorf("got a start after %v with full workers %v, want at most %v", got, full, want)
		}
	}
}
