package attendant

import (
	"context"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// answerQuestion forwards a question of the dispatcher to the placement policy
// service and sends the answer back.
func (a *Attendant) answerQuestion(ctx context.Context, q *dispatch.Question) {
	answer := &peer.Advised{Seq: q.Seq}
	advice, err := a.askPolicy(ctx, q)
	if err != nil {
		a.count("questions-failed")
		a.log.Warn().Err(err).Str("step", q.Step.String()).Uint64("question", q.Seq).Msg("placement policy question failed")
		answer.Failed = true
	} else {
		a.count("questions")
		answer.Tickets, answer.ValidMS = advice.Tickets, advice.Valid.Milliseconds()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.Send(&peer.Message{Advised: answer})
	}
}

func (a *Attendant) askPolicy(ctx context.Context, q *dispatch.Question) (*Advice, error) {
	if a.settings.Advise == nil {
		return nil, errNoPolicyService
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return a.settings.Advise(ctx, q.Step, q.Instances)
}
