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

// envSource returns the environment variable that sets a flag: SAVORYHOIST_ and
// the flag's name in capitals, with underscores in place of hyphens.
func envSource(flag string) cli.ValueSourceChain {
	return cli.EnvVars("SAVORYHOIST_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

// stringFlag returns a flag that an environment variable can set too; value is the default.
func stringFlag(name, value, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

// durationFlag is like stringFlag.
func durationFlag(name string, value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

// intFlag is like stringFlag.
func intFlag(name string, value int, usage string) cli.Flag {
	return &cli.IntFlag{Name: name, Value: value, Usage: usage, Sources: envSource(name)}
}

// processFlags returns the flags that entries and agents have in common.
func processFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("name", "", "name of this process, unique in its data centre"),
		stringFlag("data-centre", "", "data centre of this process"),
		stringFlag("certificate", "", "certificate for the links between entries and agents: PEM text or the path of a file"),
		stringFlag("key", "", "private key of the certificate: PEM text or the path of a file"),
		stringFlag("authorities", "", "certificates of the trusted authorities: PEM text or the path of a file"),
		stringFlag("operators", "", "operators that may sign the first bundle: name=public-key, separated by commas"),
		intFlag("operator-threshold", 1, "number of operators that must sign the first bundle"),
		durationFlag("drain-after", 2*time.Second, "how long to keep answering after announcing that this process is shutting down"),
		stringFlag("log-level", "info", "lowest level of log lines that are written: debug, info, warn or error"),
	}
}

// flagReader reads and checks the values of flags. It collects all errors in
// err, so that one run of the program reports every invalid flag.
type flagReader struct {
	cmd *cli.Command
	err error
}

// addError adds an error for a flag; rule says what its value must be.
func (c *flagReader) addError(flag, rule string) {
	c.err = errors.Join(c.err, errors.Mark(errors.Newf("--%s: %s", flag, rule), ErrUsage))
}

// required returns the value of a flag that must not be empty.
func (c *flagReader) required(flag string) string {
	v := c.cmd.String(flag)
	if v == "" {
		c.addError(flag, "must be set")
	}
	return v
}

// address returns the IP and port that a flag holds.
func (c *flagReader) address(flag string) string {
	v := c.cmd.String(flag)
	if !validAddress(v) {
		c.addError(flag, "want an IP number and a port, such as 127.0.0.1:8080")
	}
	return v
}

// validAddress reports whether v is an IP and port.
func validAddress(v string) bool {
	host, _, err := net.SplitHostPort(v)
	return err == nil && net.ParseIP(host) != nil
}

// addresses returns the IPs and ports of a flag that holds a list separated by commas.
func (c *flagReader) addresses(flag string) []string {
	var out []string
	for _, v := range strings.Split(c.cmd.String(flag), ",") {
		v = strings.TrimSpace(v)
		if !validAddress(v) {
			c.addError(flag, "want IP numbers and ports, separated by commas")
			return nil
		}
		out = append(out, v)
	}
	return out
}

// url returns the URL that a flag holds, without a slash at its end.
func (c *flagReader) url(flag string) string {
	v := c.cmd.String(flag)
	if !validURL(v) {
		c.addError(flag, "want a URL, such as http://127.0.0.1:9000")
	}
	return strings.TrimSuffix(v, "/")
}

func validURL(v string) bool {
	u, err := url.Parse(v)
	return err == nil && u.Host != "" && (u.Scheme == "http" || u.Scheme == "https")
}

func (c *flagReader) positiveDuration(flag string) time.Duration {
	v := c.cmd.Duration(flag)
	if v <= 0 {
		c.addError(flag, "must be longer than 0")
	}
	return v
}

func (c *flagReader) positiveInt(flag string) int {
	v := c.cmd.Int(flag)
	if v < 1 {
		c.addError(flag, "must be at least 1")
	}
	return v
}

func (c *flagReader) operators() bundle.Operators {
	o, err := bundle.ParseRoots(c.cmd.String("operators"), c.cmd.Int("operator-threshold"))
	if err != nil {
		c.addError("operators", err.Error())
	}
	return o
}

// pem returns the PEM text that a flag holds or names the file of.
func (c *flagReader) pem(flag string) []byte {
	v := c.required(flag)
	if v == "" {
		return nil
	}
	data, err := link.ReadPEM(v)
	if err != nil {
		c.addError(flag, err.Error())
	}
	return data
}

// identity returns the identity in the certificate flags, which must be that of this process in
// the given role.
func (c *flagReader) identity(role link.Role) *link.Identity {
	certificate, key, authorities := c.pem("certificate"), c.pem("key"), c.pem("authorities")
	id := new(link.Identity)
	if certificate == nil || key == nil || authorities == nil {
		return id
	}
	if err := id.Load(certificate, key, authorities); err != nil {
		c.addError("certificate", err.Error())
		return id
	}
	want := link.NewPeer(role, c.cmd.String("data-centre"), c.cmd.String("name"))
	if id.Peer() != want {
		c.addError("certificate", "was issued for a different role, data centre or name")
	}
	return id
}

func (c *flagReader) logger() *log.Logger {
	return newLogger(c.level("log-level"), c.cmd.String("name"))
}

func (c *flagReader) level(flag string) log.Level {
	level := c.cmd.String(flag)
	switch level {
	case "debug", "info", "warn", "error":
	default:
		c.addError(flag, "want debug, info, warn or error")
	}
	return log.ParseLevel(level)
}

// newLogger returns a logger to standard error whose lines carry the process's name.
func newLogger(level log.Level, name string) *log.Logger {
	return &log.Logger{
		Level:      level,
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("process", name).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// peerArguments returns the peers that the command's arguments name, each in the form
// role/data-centre/name.
func (c *flagReader) peerArguments() []link.Peer {
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
