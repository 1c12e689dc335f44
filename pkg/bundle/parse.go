package bundle

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"
	"regexp"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/parser"
)

// ErrInvalid means that a bundle failed its checks.
var ErrInvalid = errors.New("the bundle is not valid")

// Limits on a bundle's content.
const (
	maxNameLength = 63
	maxPriority   = 9
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Parse reads a document and checks every field. The error names each wrong
// field and its place.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return nil, errors.Mark(errors.Newf("%s", yaml.FormatError(err, false, true)), ErrInvalid)
	}
	c := checker{line: lines(data)}
	c.document(&d)
	if c.err != nil {
		return nil, c.err
	}
	return &d, nil
}

// lines returns a function that finds the line of a field, or 0.
func lines(data []byte) func(field string) int {
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		return nil
	}
	return func(field string) int {
		path, err := yaml.PathString("$." + field)
		if err != nil {
			return 0
		}
		node, err := path.FilterFile(file)
		if err != nil || node == nil || node.GetToken() == nil {
			return 0
		}
		return node.GetToken().Position.Line
	}
}

// Format writes a document in the form that Parse reads.
func Format(d *Document) ([]byte, error) { return yaml.Marshal(d) }

// Check returns an error that names every field with a wrong value.
func (d *Document) Check() error {
	var c checker
	c.document(d)
	return c.err
}

func (c *checker) document(d *Document) {
	c.want(d.Version > 0, "version", "must be at least 1")
	c.want((d.Version == 1) == (d.Parent == ""), "parent", "must be given from version 2 on, and only then")
	c.operators(&d.Operators)
	seen := names{}
	for i := range d.DataCentres {
		c.name(fmt.Sprintf("data-centres[%d]", i), d.DataCentres[i].Name, seen)
	}
	seen = names{}
	for i := range d.Services {
		at := fmt.Sprintf("services[%d]", i)
		c.name(at, d.Services[i].Name, seen)
		c.service(at, &d.Services[i])
	}
	seen = names{}
	for i := range d.BatchClasses {
		at := fmt.Sprintf("batch-classes[%d]", i)
		c.name(at, d.BatchClasses[i].Name, seen)
		c.batchClass(at, &d.BatchClasses[i])
	}
	seen = names{}
	for i := range d.Teams {
		at := fmt.Sprintf("teams[%d]", i)
		c.name(at, d.Teams[i].Name, seen)
		c.want(d.Teams[i].Quota.Valid(), at+".quota", "must not be negative")
	}
}

type names map[string]bool

type checker struct {
	err error
	// line, if set, returns the line of a field, or 0.
	line func(field string) int
}

func (c *checker) want(ok bool, field, rule string) {
	if ok {
		return
	}
	place := field
	if c.line != nil {
		if n := c.line(field); n > 0 {
			place = fmt.Sprintf("line %d: %s", n, field)
		}
	}
	c.err = errors.Join(c.err, errors.Mark(errors.Newf("%s: %s", place, rule), ErrInvalid))
}

func (c *checker) name(at, name string, seen names) {
	c.want(len(name) <= maxNameLength && namePattern.MatchString(name), at+".name",
		"must be 1 to 63 lower-case letters, digits and hyphens")
	c.want(!seen[name], at+".name", fmt.Sprintf("%q is used twice", name))
	seen[name] = true
}

func (c *checker) operators(o *Operators) {
	c.want(o.Threshold >= 1 && o.Threshold <= len(o.Keys), "operators.threshold",
		"must be from 1 to the number of keys")
	seen := names{}
	keys := names{}
	for i, k := range o.Keys {
		at := fmt.Sprintf("operators.keys[%d]", i)
		c.name(at, k.Name, seen)
		raw, err := base64.StdEncoding.DecodeString(k.Public)
		c.want(err == nil && len(raw) == ed25519.PublicKeySize, at+".public-key",
			"must be an ed25519 public key in base64")
		c.want(!keys[k.Public], at+".public-key", "is used twice")
		keys[k.Public] = true
	}
}

func (c *checker) service(at string, s *Service) {
	c.want(len(s.Classes) > 0, at+".classes", "must name at least one class")
	c.want(s.Slots > 0, at+".slots", "must be at least 1")
	c.want(s.Connections >= s.Slots, at+".connections", "must be at least slots")
	c.want(s.BodyLimit > 0, at+".body-limit", "must be at least 1 byte")
	c.want(s.Objective > 0, at+".objective", "must be longer than 0")
	seen := names{}
	for i := range s.Classes {
		class := &s.Classes[i]
		in := fmt.Sprintf("%s.classes[%d]", at, i)
		c.name(in, class.Name, seen)
		c.priority(in, class.Priority)
		c.want(class.Deadline > 0, in+".deadline", "must be longer than 0")
		c.want(class.Expected > 0, in+".expected", "must be longer than 0")
	}
}

func (c *checker) batchClass(at string, b *BatchClass) {
	c.priority(at, b.Priority)
	c.want(b.TakeoverAfter > 0, at+".takeover-after", "must be longer than 0")
	c.want(b.MaxAttempts > 0, at+".max-attempts", "must be at least 1")
	c.want(b.Size.Valid(), at+".size", "must not be negative")
}

func (c *checker) priority(at string, p int) {
	c.want(p >= 0 && p <= maxPriority, at+".priority", "must be from 0 to 9")
}

// ParseTemplate reads a document without operators and puts operators in.
func ParseTemplate(data []byte, operators Operators) (*Document, error) {
	var d Document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	d.Operators = operators
	return &d, d.Check()
}
