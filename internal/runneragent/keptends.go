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
	a.keptEnds = append(a.keptEnds, dispatch.EndedLife{Life: life, Ends: slices.Clone(ends)})
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
