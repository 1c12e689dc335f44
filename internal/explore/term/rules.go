package term

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/leadership"
)

// Rules are the rules of the protocol that a test can replace by wrong ones. The zero
// value stands for the product's own rules.
type Rules struct {
	// WorkerLeaseEndsBy returns by when the lease of a worker has expired and all its
	// runs have ended, given when its last answered ping arrived.
	WorkerLeaseEndsBy func(lastContact time.Time) time.Time
	// EarlierLeasesEndBy returns by when the leases that earlier dispatchers extended
	// have expired, so that all runs that they ordered have ended.
	EarlierLeasesEndBy func(p *leadership.Predecessor) time.Time
	// ConfirmsEnd reports whether a lease that expires by expiresBy at the latest has
	// certainly expired. A later dispatcher may have extended the lease; only a write under
	// the dispatcher's own term, sent no earlier than expiresBy, shows that there is no later
	// dispatcher.
	ConfirmsEnd func(l *leadership.LeaderLease, now, expiresBy time.Time) bool
	// LeaderLeaseValid reports whether a dispatcher may still act.
	LeaderLeaseValid func(l *leadership.LeaderLease, now time.Time) bool
	// WorkerLeaseRemaining returns how long a worker lease still lasts.
	WorkerLeaseRemaining func(l *leadership.WorkerLease, now time.Time) time.Duration
	// AckBeforeStore makes the dispatcher acknowledge the ends of runs before it has
	// stored them.
	AckBeforeStore bool
	// SkipFencing makes agents assume that a start whose call was not answered never
	// takes effect.
	SkipFencing bool
	// IgnoreRunnerLife makes agents acknowledge ends and extend leases at a runner that
	// may have restarted since it was last listed.
	IgnoreRunnerLife bool
	// SkipFencingInNewLife makes agents report a restarted runner to the dispatcher
	// without first making sure that starts sent to it before its restart can no longer
	// take effect.
	SkipFencingInNewLife bool
	// SkipStoringWorkers starts tasks on workers whose names are not in the store.
	// SkipWriteUnderTerm starts tasks on a worker after its name was stored, without the
	// write under the term that shows that the term was still the newest by then.
	SkipStoringWorkers, SkipWriteUnderTerm bool
	// TreatAllJobsAsNew treats every job as new. An earlier dispatcher may already have
	// read, and started, a job whose accepting entry did not know of the present term.
	TreatAllJobsAsNew bool
	// DropUnknownJobs makes the dispatcher drop reported runs of jobs that it has not
	// read from the store yet.
	DropUnknownJobs bool
	// SkipNewReport makes the dispatcher answer pings of a worker whose lease has expired
	// instead of making it report again.
	SkipNewReport bool
	LooserRules
}

// LooserRules are wrong rules that have a meaning only with a set of kinds.
type LooserRules struct {
	// TrustNewestClaim takes the maker of the claim before for the only earlier dispatcher. The simulation's own
	// rule is stricter than the product's: it takes no earlier dispatcher for stopped, but waits until all leases
	// that it may have renewed have expired.
	TrustNewestClaim bool
	// TrustRefusal takes the maker of the claim before for stopped while its address refuses connections. The basic
	// simulation of a cut lets calls fail without an answer, which shows nothing of the process.
	TrustRefusal bool
	// TakeToldForNew makes the dispatcher take a job of which an entry has told it for new, rather than read the
	// job records first.
	TakeToldForNew bool
	// JoinAnyTerm lets an agent that has just started serve a dispatcher of any term. By the simulation's own rule
	// it learns the newest claim first; the product's dispatcher holds its report until a write confirms the term.
	JoinAnyTerm bool
	// ApplyInAnyOrder makes an entry apply a record that is older than one of the same key that it has read.
	ApplyInAnyOrder bool
	// RenewFromRepetition renews the leadership lease from the sending of the attempt of an append that was
	// answered, rather than of the first one.
	RenewFromRepetition bool
	// DeleteNamesAtOnce deletes the names of lost workers by unconditional appends, without marks.
	DeleteNamesAtOnce bool
	// KeepRegistration gives new agent processes tasks under the registration that an earlier process had.
	KeepRegistration bool
	// KeepRegistrationInLife does so only for a runner that is still in the life that it had in the term.
	KeepRegistrationInLife bool
	// RenewUnregistered renews the lease of a worker although its registration is not stored.
	RenewUnregistered bool
	// TrustStopAtOnce takes the runs that a stopped agent has left over for ended at once.
	TrustStopAtOnce bool
	// TrustDepartureAtOnce makes a dispatcher stop waiting for a worker that has left before a write confirms its term.
	TrustDepartureAtOnce bool
	// DropEndsOfEndedLives makes agents drop the run ends of a life of the runner that has ended.
	DropEndsOfEndedLives bool
	// TrustAnyRefusal makes agents conclude from a refused poll that the runner has ended while earlier polls are open.
	TrustAnyRefusal bool
	// DeleteProgressFirst deletes the records of a job whose retention has expired at once: first those of its progress.
	DeleteProgressFirst bool
	// TrustAllOrders makes agents send all starts to their runners without asking what their orders prove, and
	// StayWithDispatcher makes them stay with a dispatcher that the store does not answer.
	TrustAllOrders, StayWithDispatcher bool
	// IgnoreStoreContact lets starts take effect although the store has not answered the dispatcher for long, and
	// IgnoreConfirmation as long as it has, although a later term may have begun.
	IgnoreStoreContact, IgnoreConfirmation bool
	// TrustLateSecondRuns lets second runs start although their orders have been under way for long.
	TrustLateSecondRuns bool
	// TrustAnyAnswer takes each answer of the store for one that the cancellations known to the dispatcher go with.
	TrustAnyAnswer bool
	// IgnoreFollowers lets a dispatcher act for its whole leadership lease without hearing its followers.
	IgnoreFollowers bool
	// TrustUnknownDispatchers takes each earlier dispatcher for one that counts the entry among its followers.
	TrustUnknownDispatchers bool
	// TrustFirstClaim takes the first of the claims that a process has made for the one that it may serve.
	TrustFirstClaim bool
	// TrustLatePings takes the pings of followers for new, although a cut may have held them back.
	TrustLatePings bool
	// DenyUnknownJobs acknowledges the cancellation of a job that is not in the store without storing it, and
	// DeleteCancellationsAtOnce deletes cancellations without a submission as soon as they are read.
	DenyUnknownJobs, DeleteCancellationsAtOnce bool
	// TrustNewAgents applies the reports of agents that know no term before a write confirms the dispatcher's.
	TrustNewAgents bool
}

// setDefaults replaces the functions that are nil by the product's functions.
func (r *Rules) setDefaults() {
	if r.WorkerLeaseEndsBy == nil {
		r.WorkerLeaseEndsBy = leadership.WorkerLeaseEndsBy
	}
	if r.EarlierLeasesEndBy == nil {
		r.EarlierLeasesEndBy = func(p *leadership.Predecessor) time.Time { return p.LeasesEndBy() }
	}
	if r.ConfirmsEnd == nil {
		r.ConfirmsEnd = func(l *leadership.LeaderLease, now, expiresBy time.Time) bool {
			ended, _ := l.ConfirmsEnd(now, expiresBy)
			return ended
		}
	}
	if r.IgnoreFollowers {
		r.LeaderLeaseValid = func(l *leadership.LeaderLease, now time.Time) bool {
			return now.Sub(l.LastRenewal()) < leadership.LeaderLeaseDuration
		}
	}
	if r.LeaderLeaseValid == nil {
		r.LeaderLeaseValid = func(l *leadership.LeaderLease, now time.Time) bool { return l.Valid(now) }
	}
	if r.WorkerLeaseRemaining == nil {
		r.WorkerLeaseRemaining = func(l *leadership.WorkerLease, now time.Time) time.Duration { return l.Remaining(now) }
	}
}
