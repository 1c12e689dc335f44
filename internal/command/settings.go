package command

import (
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"savoryhoist.example/savoryhoist/internal/link"
	"savoryhoist.example/savoryhoist/pkg/bundle"
)

// env returns the environment variable of a flag.
func env(flag string) cli.ValueSourceChain {
	return cli.EnvVars("SAVORYHOIST_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func text(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func duration(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

func number(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: env(name)}
}

// processFlags are the settings that entry and agent share.
func processFlags() []cli.Flag {
	return []cli.Flag{
		text("name", "", "name of this process, unique in its data centre"),
		text("data-centre", "", "data centre of this process"),
		text("certificate", "", "certificate for the peer link: PEM text or a file's path"),
		text("key", "", "private key of the certificate: PEM text or a file's path"),
		text("authorities", "", "certificates of the authorities to trust: PEM text or a file's path"),
		text("operators", "", "operators that may sign the first bundle: name=public-key, separated by commas"),
		number("operator-threshold", 1, "number of operators that must sign the first bundle"),
		duration("drain-after", 2*time.Second, "how long to go on answering after saying that this process leaves"),
		text("log-level", "info", "least level of log lines: debug, info, warn or error"),
	}
}

// checker gathers everything that is wrong with the settings of one run.
type checker struct {
	cmd *cli.Command
	err error
}

func (c *checker) wrong(flag, rule string) {
	c.err = errors.Join(c.err, errors.Mark(errors.Newf("--%s: %s", flag, rule), ErrUsage))
}

func (c *checker) required(flag string) string {
	v := c.cmd.String(flag)
	if v == "" {
		c.wrong(flag, "must be set")
	}
	return v
}

// address reads an IP and port.
func (c *checker) address(flag string) string {
	v := c.cmd.String(flag)
	if !validAddress(v) {
		c.wrong(flag, "want an IP number and a port, such as 127.0.0.1:8080")
	}
	return v
}

func validAddress(v string) bool {
	host, _, err := net.SplitHostPort(v)
	return err == nil && net.ParseIP(host) != nil
}

func (c *checker) addresses(flag string) []string {
	var out []string
	for _, v := range strings.Split(c.cmd.String(flag), ",") {
		v = strings.TrimSpace(v)
		if !validAddress(v) {
			c.wrong(flag, "want IP numbers and ports, separated by commas")
			return nil
		}
		out = append(out, v)
	}
	return out
}

func (c *checker) url(flag string) string {
	v := c.cmd.String(flag)
	if !validURL(v) {
		c.wrong(flag, "want a URL, such as http://127.0.0.1:9000")
	}
	return strings.TrimSuffix(v, "/")
}

func validURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

func (c *checker) positive(flag string) time.Duration {
	v := c.cmd.Duration(flag)
	if v <= 0 {
		c.wrong(flag, "must be longer than 0")
	}
	return v
}

func (c *checker) count(flag string) int {
	v := c.cmd.Int(flag)
	if v < 1 {
		c.wrong(flag, "must be at least 1")
	}
	return v
}

func (c *checker) operators() bundle.Operators {
	o, err := bundle.ParseRoots(c.cmd.String("operators"), c.cmd.Int("operator-threshold"))
	if err != nil {
		c.wrong("operators", err.Error())
	}
	return o
}

func (c *checker) pem(flag string) []byte {
	v := c.required(flag)
	if v == "" {
		return nil
	}
	data, err := link.ReadPEM(v)
	if err != nil {
		c.wrong(flag, err.Error())
	}
	return data
}

func (c *checker) identity(role link.Role) *link.Identity {
	certificate, key, authorities := c.pem("certificate"), c.pem("key"), c.pem("authorities")
	id := new(link.Identity)
	if certificate == nil || key == nil || authorities == nil {
		return id
	}
	if err := id.Load(certificate, key, authorities); err != nil {
		c.wrong("certificate", err.Error())
		return id
	}
	want := link.NewPeer(role, c.cmd.String("data-centre"), c.cmd.String("name"))
	if id.Peer() != want {
		c.wrong("certificate", "was issued to another role, data centre or name")
	}
	return id
}

func (c *checker) logger() *log.Logger {
	return newLogger(c.level("log-level"), c.cmd.String("name"))
}

func (c *checker) level(flag string) log.Level {
	level := c.cmd.String(flag)
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.wrong(flag, "want debug, info, warn or error")
	}
	return log.ParseLevel(level)
}

func newLogger(level log.Level, name string) *log.Logger {
	return &log.Logger{
		Level:      level,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("process", name).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// peers reads arguments of the form role/data-centre/name.
func (c *checker) peers() []link.Peer {
	var out []link.Peer
	for _, a := range c.cmd.Args().Slice() {
		parts := strings.Split(a, "/")
		if len(parts) != 3 || (parts[0] != string(link.RoleEntry) && parts[0] != string(link.RoleAgent)) {
			c.err = errors.Join(c.err, errors.Wrapf(ErrUsage, "%q: want entry/data-centre/name or agent/data-centre/name", a))
			continue
		}
		out = append(out, link.NewPeer(link.Role(parts[0]), parts[1], parts[2]))
	}
	if len(out) == 0 && c.err == nil {
		c.err = errors.Wrap(ErrUsage, "want at least one role/data-centre/name")
	}
	return out
}
