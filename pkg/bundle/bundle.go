// Package bundle defines the configuration bundle: its format and checks, the
// operators' signatures, and the rules by which a bundle replaces its parent.
package bundle

import (
	"time"

	"savoryhoist.example/savoryhoist/pkg/worker"
)

// Document is the content of a bundle.
type Document struct {
	// Version is higher than that of the parent; the first bundle has version 1.
	Version uint64 `yaml:"version" json:"version"`
	// Parent is the digest of the bundle that this one replaces; empty for the first.
	Parent    string    `yaml:"parent,omitempty" json:"parent,omitempty"`
	Operators Operators `yaml:"operators"        json:"operators"`
	// DataCentres lists the data centres that share work; empty if there is only one.
	DataCentres  []DataCentre `yaml:"data-centres,omitempty" json:"data-centres,omitempty"`
	Services     []Service    `yaml:"services"         json:"services"`
	BatchClasses []BatchClass `yaml:"batch-classes"    json:"batch-classes"`
	Teams        []Team       `yaml:"teams"            json:"teams"`
}

// DataCentre is a data centre with its own entries, workers and stream of jobs.
type DataCentre struct {
	Name   string `yaml:"name"             json:"name"`
	Region string `yaml:"region,omitempty" json:"region,omitempty"`
}

// Operators says who may sign the next bundle.
type Operators struct {
	// Threshold is the number of distinct operators that must sign.
	Threshold int   `yaml:"threshold" json:"threshold"`
	Keys      []Key `yaml:"keys"      json:"keys"`
}

// Key is an operator's ed25519 public key.
type Key struct {
	Name string `yaml:"name" json:"name"`
	// PublicKey is the key in standard base64.
	PublicKey string `yaml:"public-key" json:"public-key"`
}

// Service is a latency-critical service.
type Service struct {
	Name    string         `yaml:"name"    json:"name"`
	Classes []RequestClass `yaml:"classes" json:"classes"`
	// Slots is the number of requests that an endpoint processes at a time.
	Slots int `yaml:"slots" json:"slots"`
	// MaxConnections is the maximum number of connections that an endpoint accepts.
	MaxConnections int `yaml:"connections" json:"connections"`
	// MaxBodyBytes is the maximum size of a request body in bytes.
	MaxBodyBytes int64 `yaml:"body-limit" json:"body-limit"`
	// LatencyObjective is the latency that the service should meet at the 99th
	// percentile.
	LatencyObjective Duration `yaml:"objective" json:"objective"`
}

// RequestClass is a class of requests of one service.
type RequestClass struct {
	Name string `yaml:"name" json:"name"`
	// Priority is from 0 to 9; requests of the lowest priority are shed first.
	Priority int `yaml:"priority" json:"priority"`
	// Deadline is the default time limit for requests that have none.
	Deadline Duration `yaml:"deadline" json:"deadline"`
	// ExpectedServiceTime is the declared service time of a request.
	ExpectedServiceTime Duration `yaml:"expected" json:"expected"`
}

// BatchClass is a class of jobs.
type BatchClass struct {
	Name string `yaml:"name"     json:"name"`
	// Priority is from 0 to 9; tasks of the highest priority are due first.
	Priority int `yaml:"priority" json:"priority"`
	// TakeoverAfter is how long a lost worker's task is left alone before it is
	// started elsewhere.
	TakeoverAfter Duration `yaml:"takeover-after" json:"takeover-after"`
	// MaxFailures is the number of failed runs after which a task fails for good.
	MaxFailures int `yaml:"max-attempts" json:"max-attempts"`
	// Size is the default for the resources of a task.
	Size worker.Resources `yaml:"size,omitempty" json:"size,omitzero"`
	// Urgent means that jobs of this class are placed before all others.
	Urgent bool `yaml:"urgent,omitempty" json:"urgent,omitempty"`
}

// Team is a team that sends requests and submits jobs, with its share of the
// workers.
type Team struct {
	Name  string           `yaml:"name"  json:"name"`
	Quota worker.Resources `yaml:"quota" json:"quota"`
	// TokenDigests are the SHA-256 digests of the team's bearer tokens in hex.
	TokenDigests []string `yaml:"token-digests,omitempty" json:"token-digests,omitempty"`
}

// Duration is a time.Duration in text form, such as "250ms" or "2m".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalText writes d in the form of time.Duration.String.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}

// Service returns the service with the given name.
func (d *Document) Service(name string) (*Service, bool) {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i], true
		}
	}
	return nil, false
}

// BatchClass returns the batch class with the given name.
func (d *Document) BatchClass(name string) (*BatchClass, bool) {
	for i := range d.BatchClasses {
		if d.BatchClasses[i].Name == name {
			return &d.BatchClasses[i], true
		}
	}
	return nil, false
}

// Team returns the team with the given name.
func (d *Document) Team(name string) (*Team, bool) {
	for i := range d.Teams {
		if d.Teams[i].Name == name {
			return &d.Teams[i], true
		}
	}
	return nil, false
}

// TeamByTokenDigest returns the team that has a token with the given digest.
func (d *Document) TeamByTokenDigest(digest string) (*Team, bool) {
	for i := range d.Teams {
		for _, t := range d.Teams[i].TokenDigests {
			if t == digest {
				return &d.Teams[i], true
			}
		}
	}
	return nil, false
}

// Class returns the request class with the given name, or the first class if the
// name is empty.
func (s *Service) Class(name string) (*RequestClass, bool) {
	for i := range s.Classes {
		if name == "" || s.Classes[i].Name == name {
			return &s.Classes[i], true
		}
	}
	return nil, false
}
