package runneragent

import (
	"context"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
)

// answerQuestion forwards a question of the dispatcher to the placement policy
// service, and sends the service's answer, or that there is none, to the dispatcher.
func (a *Agent) answerQuestion(ctx context.Context, q *dispatch.Question) {
	answer := &peer.PolicyAnswer{Seq: q.Seq}
	advice, err := a.askPolicy(ctx, q)
	if err != nil {
		a.count("questions-failed")
		a.log.Warn().Err(err).Str("step", q.Step.String()).Uint64("question", q.Seq).Msg("placement policy question failed")
		answer.Failed = true
	} else {
		a.count("questions")
		answer.Tickets, answer.ValidForMS = advice.Tickets, advice.ValidFor.Milliseconds()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.conn != nil {
		a.conn.Send(&peer.Message{PolicyAnswer: answer})
	}
}

// askPolicy asks the placement policy service which runners may run a step, and waits up to the
// question's timeout.
func (a *Agent) askPolicy(ctx context.Context, q *dispatch.Question) (*PolicyAnswer, error) {
	if a.settings.AskPolicy == nil {
		return nil, errNoPolicyService
	}
	ctx, cancel := context.WithTimeout(ctx, q.Timeout)
	defer cancel()
	return a.settings.AskPolicy(ctx, q.Step, q.Instances)
}
