// Package link connects the system's own processes: HTTP over QUIC and over
// TCP, both with mutual TLS.
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
	// ErrCertificate means that a certificate or key could not be read.
	ErrCertificate = errors.New("the certificate is not valid")
	// ErrPeer means that a peer's certificate names the wrong role.
	ErrPeer = errors.New("the peer's certificate is not accepted")
)

// Role is the part that a process plays.
type Role string

// The roles of processes.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Peer is who a certificate says its holder is.
type Peer struct {
	role       Role
	dataCentre string
	name       string
}

// NewPeer returns the peer of the given role, data centre and name.
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

const uriScheme = "savoryhoist"

func (p Peer) uri() *url.URL {
	return &url.URL{Scheme: uriScheme, Host: p.dataCentre, Path: "/" + string(p.role) + "/" + p.name}
}

// PeerOf returns who a certificate belongs to.
func PeerOf(c *x509.Certificate) (Peer, error) {
	for _, u := range c.URIs {
		role, name, ok := strings.Cut(strings.TrimPrefix(u.Path, "/"), "/")
		if u.Scheme == uriScheme && ok {
			return NewPeer(Role(role), u.Host, name), nil
		}
	}
	return Peer{}, errors.Wrap(ErrPeer, "no savoryhoist URI in the certificate")
}

// Identity is a process's certificate and the authorities that it trusts. It
// can be replaced while in use.
type Identity struct {
	state   atomic.Pointer[identityState]
	refused atomic.Pointer[func(error)]
}

// OnRefused sets what is called with the reason when a peer is refused.
func (i *Identity) OnRefused(fn func(error)) { i.refused.Store(&fn) }

type identityState struct {
	certificate tls.Certificate
	roots       *x509.CertPool
	peer        Peer
}

// Load reads PEM texts and puts them in use. On an error the old ones stay. A
// certificate of another role, data centre or name than the one in use is refused.
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
		return errors.Wrapf(ErrPeer, "the new certificate is of %s, this process is %s", peer, old.peer)
	}
	i.state.Store(&identityState{certificate: pair, roots: roots, peer: peer})
	return nil
}

// Expires returns when the certificate in use ends.
func (i *Identity) Expires() time.Time { return i.state.Load().certificate.Leaf.NotAfter }

// Peer returns who this process is.
func (i *Identity) Peer() Peer { return i.state.Load().peer }

// Text returns s itself if it is PEM text, else the content of the file called s.
func Text(s string) ([]byte, error) {
	if strings.Contains(s, "-----BEGIN ") {
		return []byte(s), nil
	}
	return os.ReadFile(s)
}

// verify checks a peer and reports a refusal.
func (i *Identity) verify(cs tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	err := i.check(cs, usage, roles)
	if fn := i.refused.Load(); err != nil && fn != nil {
		(*fn)(err)
	}
	return err
}

// check compares a peer's chain with the authorities in use, and its role.
func (i *Identity) check(cs tls.ConnectionState, usage x509.ExtKeyUsage, roles []Role) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.Wrap(ErrPeer, "no certificate")
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
		return errors.Mark(errors.Wrapf(err, "certificate of %q", leaf.Subject.CommonName), ErrPeer)
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
	return errors.Wrapf(ErrPeer, "%s: role %q is not wanted here", peer, peer.role)
}

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

func (i *Identity) clientTLS(protocols []string, roles []Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		// The chain and the role are checked by VerifyConnection; peers are
		// addressed by IP, so there is no host name to compare.
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

// NewAuthority returns a self-signed authority valid from now for the given time.
func NewAuthority(now time.Time, valid time.Duration) (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "savoryhoist authority"},
		NotBefore: now.Add(-clockSlack), NotAfter: now.Add(valid),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, err
}

// clockSlack is how far peers' clocks may lag behind the issuer's.
const clockSlack = 5 * time.Minute

// PEM returns the authority's certificate.
func (a *Authority) PEM() []byte { return pemBlock("CERTIFICATE", a.certificate.Raw) }

// KeyPEM returns the authority's private key.
func (a *Authority) KeyPEM() ([]byte, error) {
	der, err := x509.MarshalPKCS8PrivateKey(a.key)
	return pemBlock("PRIVATE KEY", der), err
}

// Issue returns a certificate and key in PEM for peer.
func (a *Authority) Issue(now time.Time, valid time.Duration, peer Peer) (certificate, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: peer.name},
		NotBefore: now.Add(-clockSlack), NotAfter: now.Add(valid),
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

// serialBits is the size of a certificate's serial number.
const serialBits = 120

func serial() *big.Int {
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // the system's source of randomness never fails
	}
	return n
}
