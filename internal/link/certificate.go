// Package link connects the processes of the system, entries and agents, by HTTP
// over QUIC and over TCP, both with mutual TLS. It holds the messages that they
// exchange.
package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors returned when certificates are read or checked.
var (
	// ErrCertificate means that a certificate, key or authority could not be parsed.
	ErrCertificate = errors.New("the certificate is not valid")
	// ErrPeerRejected means that a peer has no certificate, or one that is not valid or
	// names a role that is not accepted.
	ErrPeerRejected = errors.New("the peer's certificate is not accepted")
)

// Role is the role of a process in the system.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Peer is the identity of a process, as its certificate names it.
type Peer struct {
	role       Role
	dataCentre string
	name       string
}

// NewPeer returns the identity of the given role, data centre and name.
func NewPeer(role Role, dataCentre, name string) Peer {
	return Peer{role: role, dataCentre: dataCentre, name: name}
}

// Role returns the peer's role.
func (p Peer) Role() Role { return p.role }

// DataCentre returns the peer's data centre.
func (p Peer) DataCentre() string { return p.dataCentre }

// Name returns the peer's name.
func (p Peer) Name() string { return p.name }

// String returns the form role/data-centre/name.
func (p Peer) String() string { return string(p.role) + "/" + p.dataCentre + "/" + p.name }

// uriScheme is the scheme of the URI in a certificate that names the process.
const uriScheme = "savoryhoist"

func (p Peer) uri() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: p.dataCentre, Path: "/" + string(p.role) + "/" + p.name}
}

// PeerOf returns the identity that a certificate's savoryhoist URI names.
func PeerOf(c *x509.Certificate) (Peer, error) {
	for _, u := range c.URIs {
		role, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		if u.Scheme == uriScheme && ok {
			return NewPeer(Role(role), u.Host, name), nil
		}
	}
	return Peer{}, errors.Wrap(ErrPeerRejected, "no savoryhoist URI in the certificate")
}

// Identity holds a process's certificate and the certificate authorities that the
// process trusts. Load can replace them while they are in use.
type Identity struct {
	state     atomic.Pointer[identityState]
	onRefused atomic.Pointer[func(error)]
}

// OnRefused sets the function that is called with the reason when this process
// refuses a peer.
func (i *Identity) OnRefused(fn func(error)) { i.onRefused.Store(&fn) }

type identityState struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	peer        Peer
}

// Load parses a certificate, its key and the authorities in PEM and puts all three
// in use. On an error the previous ones stay in use. A certificate of another
// role, data centre or name than the one in use is an error.
func (i *Identity) Load(certificate, key, authorities []byte) error {
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "certificate and key"), ErrCertificate)
	}
	peer, err := PeerOf(pair.Leaf)
	if err != nil {
		return err
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authorities) {
		return errors.Wrap(ErrCertificate, "authorities: no certificate found")
	}
	if old := i.state.Load(); old != nil && old.peer != peer {
		return errors.Wrapf(ErrPeerRejected, "the new certificate is for %s, but this process is %s", peer, old.peer)
	}
	i.state.Store(&identityState{certificate: pair, roots: roots, peer: peer})
	return nil
}

// Expires returns when the certificate in use expires.
func (i *Identity) Expires() time.Time { return i.state.Load().certificate.Leaf.NotAfter }

// Peer returns the identity of this process.
func (i *Identity) Peer() Peer { return i.state.Load().peer }

// ReadPEM returns s if it is PEM text, otherwise the content of the file named s.
func ReadPEM(s string) ([]byte, error) {
	if strings.Contains(s, "-----BEGIN ") {
		return []byte(s), nil
	}
	return os.ReadFile(s)
}

// verify checks a peer as check does, and passes the reason of a refusal to the
// function that OnRefused has set.
func (i *Identity) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	err := i.check(cs, usage, roles)
	if fn := i.onRefused.Load(); err != nil && fn != nil {
		(*fn)(err)
	}
	return err
}

// check verifies a peer's certificate chain against the authorities in use, and
// checks that the peer has one of roles.
func (i *Identity) check(cs tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.Wrap(ErrPeerRejected, "no certificate")
	}
	leaf := cs.PeerCertificates[0]
	pool := x509.NewCertPool()
	for _, c := range cs.PeerCertificates[1:] {
		pool.AddCert(c)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: i.state.Load().roots, Intermediates: pool, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "certificate of %q", leaf.Subject.CommonName), ErrPeerRejected)
	}
	peer, err := PeerOf(leaf)
	if err != nil {
		return err
	}
	for _, r := range roles {
		if peer.role == r {
			return nil
		}
	}
	return errors.Wrapf(ErrPeerRejected, "%s: role %q is not accepted on this connection", peer, peer.role)
}

// serverTLS returns the configuration of a server that accepts peers with one of roles;
// protocols are those of ALPN.
func (i *Identity) serverTLS(protocols []string, roles []Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		ClientAuth: tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &i.state.Load().certificate, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return i.verify(cs, x509.ExtKeyUsageClientAuth, roles)
		},
	}
}

// clientTLS is like serverTLS, for a client.
func (i *Identity) clientTLS(protocols []string, roles []Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// VerifyConnection checks the chain and the role. Peers are addressed by
		// IP, so there is no host name to verify.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &i.state.Load().certificate, nil
		},
		VerifyConnection: func(cs tls.ConnectionState) error {
			return i.verify(cs, x509.ExtKeyUsageServerAuth, roles)
		},
	}
}

// Authority issues certificates for small sites and tests.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority returns an authority with a self-signed certificate that is valid
// from now for the duration validity.
func NewAuthority(now time.Time, validity time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(), Subject: pkix.Name{CommonName: "savoryhoist authority"},
		NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, err
}

// maxClockSkew is how far the clocks of peers may be behind the issuer's clock:
// a certificate is valid from this long before it is issued.
const maxClockSkew = 5 * time.Minute

// PEM returns the authority's certificate in PEM.
func (a *Authority) PEM() []byte { return pemBlock("CERTIFICATE", a.certificate.Raw) }

// KeyPEM returns the authority's private key in PEM.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	return pemBlock("PRIVATE KEY", der), err
}

// Issue returns a certificate for peer, valid from now for the duration validity,
// and its private key, both in PEM.
func (a *Authority) Issue(now time.Time, validity time.Duration, peer Peer) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(), Subject: pkix.Name{CommonName: peer.name},
		NotBefore: now.Add(-maxClockSkew), NotAfter: now.Add(validity),
		URIs: []*url.URL{peer.uri()}, KeyUsage: x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, k.Public(), a.key)
	if err != nil {
		return nil, nil, err
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(k)
	return pemBlock("CERTIFICATE", der), pemBlock("PRIVATE KEY", keyDER), err
}

func pemBlock(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}

// serialBits is the number of random bits in a certificate's serial number.
const serialBits = 120

func newSerialNumber() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand.Reader never returns an error
	}
	return n
}
