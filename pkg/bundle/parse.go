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

// ErrInvalid means that a bundle's document cannot be parsed or fails a check.
var ErrInvalid = errors.New("the bundle is not valid")

// Limits on the fields of a document.
const (
	maxNameLength = 63
	maxPriority   = 9
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]*[a-z0-9])?$`)

// Parse parses a document and checks every field. The error names each wrong field
// and its line.
func Parse(data []byte) (*Document, error) {
	var d Document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return nil, errors.Mark(errors.Newf("%s", yaml.FormatError(err, false, true)), ErrInvalid)
	}
	c := checker{lineOf: lineFinder(data)}
	c.document(&d)
	if c.err != nil {
		return nil, c.err
	}
	return &d, nil
}

// lineFinder returns a function that returns the line of a field, or 0 if the field is
// not found. It returns nil if the document cannot be parsed.
func lineFinder(data []byte) func(field string) int {
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

// Format formats a document as Parse reads it.
func Format(d *Document) ([]byte, error) { return yaml.Marshal(d) }

// Check checks every field. The error names each wrong field.
func (d *Document) Check() error {
	var c checker
	c.document(d)
	return c.err
}

func (c *checker) document(d *Document) {
	c.require(d.Version > 0, "version", "must be at least 1")
	c.require((d.Version == 1) == (d.Parent == ""), "parent", "must be set from version 2 on and empty in version 1")
	c.operators(&d.Operators)
	seen := names{}
	for i := range d.DataCentres {
		c.name(fmt.Sprintf("data-centres[%d]", i), d.DataCentres[i].Name, seen)
	}
	seen = names{}
	for i := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		c.name(path, d.Services[i].Name, seen)
		c.service(path, &d.Services[i])
	}
	seen = names{}
	for i := range d.BatchClasses {
		path := fmt.Sprintf("batch-classes[%d]", i)
		c.name(path, d.BatchClasses[i].Name, seen)
		c.batchClass(path, &d.BatchClasses[i])
	}
	seen = names{}
	for i := range d.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		c.name(path, d.Teams[i].Name, seen)
		c.require(d.Teams[i].Quota.Valid(), path+".quota", "must not be negative")
	}
}

// names is a set of names or keys that were used already.
type names map[string]bool

type checker struct {
	// err joins the errors of all failed checks.
	err error
	// lineOf returns the line of a field, or 0 if unknown; it is nil if no line is known.
	lineOf func(field string) int
}

// require adds an error for the field, with the rule that it breaks, unless ok is set.
func (c *checker) require(ok bool, field, rule string) {
	if ok {
		return
	}
	place := field
	if c.lineOf != nil {
		if n := c.lineOf(field); n > 0 {
			place = fmt.Sprintf("line %d: %s", n, field)
		}
	}
	c.err = errors.Join(c.err, errors.Mark(errors.Newf("%s: %s", place, rule), ErrInvalid))
}

// name checks the name of the item at a path, which must not be among those seen, and
// adds the name to them.
func (c *checker) name(path, name string, seen names) {
	c.require(len(name) <= maxNameLength && namePattern.MatchString(name), path+".name",
		"must be 1 to 63 lower-case letters, digits and hyphens")
	c.require(!seen[name], path+".name", fmt.Sprintf("%q is used twice", name))
	seen[name] = true
}

func (c *checker) operators(o *Operators) {
	c.require(o.Threshold >= 1 && o.Threshold <= len(o.Keys), "operators.threshold",
		"must be from 1 to the number of keys")
	seen := names{}
	keys := names{}
	for i, k := range o.Keys {
		path := fmt.Sprintf("operators.keys[%d]", i)
		c.name(path, k.Name, seen)
		raw, err := base64.StdEncoding.DecodeString(k.PublicKey)
		c.require(err == nil && len(raw) == ed25519.PublicKeySize, path+".public-key",
			"must be an ed25519 public key in base64")
		c.require(!keys[k.PublicKey], path+".public-key", "is used twice")
		keys[k.PublicKey] = true
	}
}

func (c *checker) service(path string, s *Service) {
	c.require(len(s.Classes) > 0, path+".classes", "must name at least one class")
	c.require(s.Slots > 0, path+".slots", "must be at least 1")
	c.require(s.MaxConnections >= s.Slots, path+".connections", "must be at least slots")
	c.require(s.MaxBodyBytes > 0, path+".body-limit", "must be at least 1 byte")
	c.require(s.LatencyObjective > 0, path+".objective", "must be longer than 0")
	seen := names{}
	for i := range s.Classes {
		class := &s.Classes[i]
		classPath := fmt.Sprintf("%s.classes[%d]", path, i)
		c.name(classPath, class.Name, seen)
		c.priority(classPath, class.Priority)
		c.require(class.Deadline > 0, classPath+".deadline", "must be longer than 0")
		c.require(class.ExpectedServiceTime > 0, classPath+".expected", "must be longer than 0")
	}
}

func (c *checker) batchClass(path string, b *BatchClass) {
	c.priority(path, b.Priority)
	c.require(b.TakeoverAfter > 0, path+".takeover-after", "must be longer than 0")
	c.require(b.MaxFailures > 0, path+".max-attempts", "must be at least 1")
	c.require(b.Size.Valid(), path+".size", "must not be negative")
}

func (c *checker) priority(path string, priority int) {
	c.require(priority >= 0 && priority <= maxPriority, path+".priority", "must be from 0 to 9")
}

// ParseTemplate parses a document without operators, sets its operators and checks
// every field.
func ParseTemplate(data []byte, operators Operators) (*Document, error) {
	var d Document
	if err := yaml.UnmarshalWithOptions(data, &d, yaml.Strict()); err != nil {
		return nil, errors.Mark(err, ErrInvalid)
	}
	d.Operators = operators
	return &d, d.Check()
}
