package runneragent

import (
	"slices"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// maxKeptEnds bounds the run ends that are kept of ended lives of the runner. A listing has 500 at most.
const maxKeptEnds = 2000

// keepEnds keeps run ends of a life of the runner that has ended until a dispatcher has acknowledged them. If there are too
// many, those of the oldest lives are dropped. The caller holds mu.
func (a *Agent) keepEnds(life uint64, ends []dispatch.RunEnd) {
	if len(ends) == 0 {
		return
	}
	i := slices.IndexFunc(a.keptEnds, func(l dispatch.EndedLife) bool { return l.Life == life })
	if i < 0 {
		i = len(a.keptEnds)
		a.keptEnds = append(a.keptEnds, dispatch.EndedLife{Life: life})
	}
	kept := slices.Clone(a.keptEnds[i].Ends)
	for _, e := range ends {
		if !slices.ContainsFunc(kept, func(k dispatch.RunEnd) bool { return k.Number == e.Number }) {
			kept = append(kept, e)
		}
	}
	a.keptEnds[i].Ends = kept
	total := 0
	for i := range a.keptEnds {
		total += len(a.keptEnds[i].Ends)
	}
	for ; total > maxKeptEnds; a.keptEnds = slices.Delete(a.keptEnds, 0, 1) {
		dropped := &a.keptEnds[0]
		total -= len(dropped.Ends)
		a.count("kept-ends-dropped")
		a.log.Warn().Uint64("life", dropped.Life).Int("ends", len(dropped.Ends)).Msg("dropped run ends of an ended life that no dispatcher has acknowledged: too many are kept")
	}
}

// keepLateEnds keeps and reports the run ends of a listing of another life that was handled after the present one was
// known. The caller holds mu.
func (a *Agent) keepLateEnds(l *Listing) {
	a.keepEnds(l.StartedAtMS, l.RunEnds)
	if len(l.RunEnds) == 0 {
		return
	}
	a.count("late-ends")
	a.log.Warn().Uint64("life", a.life).Uint64("listed", l.StartedAtMS).Int("ends", len(l.RunEnds)).Msg("listing of another life came late; its run ends are reported")
	if !a.reportedEmpty {
		a.sendReport()
	}
}

// unackedEnds returns the run ends of the latest listing that are not acknowledged. The caller holds mu.
func (a *Agent) unackedEnds() []dispatch.RunEnd {
	return slices.DeleteFunc(slices.Clone(a.runEnds), func(e dispatch.RunEnd) bool { return e.Number <= a.lastAckedEnd })
}

// endedLives returns the ended lives of the runner with run ends that are not acknowledged. The present life is one
// of them if presentEnded is set. The caller holds mu.
func (a *Agent) endedLives(presentEnded bool) []dispatch.EndedLife {
	out := slices.Clone(a.keptEnds)
	if ends := a.unackedEnds(); presentEnded && len(ends) > 0 {
		out = append(out, dispatch.EndedLife{Life: a.life, Ends: ends})
	}
	return out
}

// dropKeptEnds drops the kept run ends that an acknowledgement names. The caller holds mu.
func (a *Agent) dropKeptEnds(ack *peer.RunEndsAck) {
	for i := range a.keptEnds {
		if l := &a.keptEnds[i]; l.Life == ack.Life {
			l.Ends = slices.DeleteFunc(slices.Clone(l.Ends), func(e dispatch.RunEnd) bool { return e.Number <= ack.LastAckedEnd })
		}
	}
	a.keptEnds = slices.DeleteFunc(a.keptEnds, func(l dispatch.EndedLife) bool { return len(l.Ends) == 0 })
}
