package runneragent

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"savoryhoist.example/savoryhoist/internal/peer"
	"savoryhoist.example/savoryhoist/pkg/dispatch"
	"savoryhoist.example/savoryhoist/pkg/workflow"
)

func TestQuestionsAreAnswered(t *testing.T) {
	type advise = func(context.Context, workflow.StepID, []string) (*PolicyAnswer, error)
	for _, tc := range []struct {
		name   string
		advise advise
		failed bool
		ticket string
	}{
		{"answered", func(_ context.Context, step workflow.StepID, instances []string) (*PolicyAnswer, error) {
			return &PolicyAnswer{Tickets: map[string]string{instances[0]: step.String()}, ValidFor: time.Second}, nil
		}, false, "a.0.1"},
		{"refused", func(context.Context, workflow.StepID, []string) (*PolicyAnswer, error) {
			return nil, errors.New("too many")
		}, true, ""},
		{"not answered", func(ctx context.Context, _ workflow.StepID, _ []string) (*PolicyAnswer, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, true, ""},
		{"no policy service", nil, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newFixture(t)
			s.agent.settings.AskPolicy = tc.advise
			q := dispatch.Question{Seq: 4, Step: workflow.StepID{Job: "a", Step: 1}, Instances: []string{"i-1"}, Timeout: 10 * time.Millisecond}
			s.agent.handleOrders(context.Background(), &peer.Orders{Term: 3, PolicyQuestions: []dispatch.Question{q}})
			m := s.next(t, func(m *peer.Message) bool { return m.PolicyAnswer != nil }).PolicyAnswer
			if m.Seq != 4 || m.Failed != tc.failed || m.Tickets["i-1"] != tc.ticket {
				t.Errorf("got %+v, want answer 4, failed %v, ticket %q", m, tc.failed, tc.ticket)
			}
		})
	}
}
