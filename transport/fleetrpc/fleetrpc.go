// Package fleetrpc makes the twirp clients of other processes and fills in and
// checks the sender that travels on every message. Caller owns the table of
// clients.
package fleetrpc

import (
	"crypto/rand"
	"fmt"
	"net/http"
	"sync"

	"github.com/twitchtv/twirp"

	"github.com/acaciaspar/acaciaspar/protocol/fleetpb"
	"github.com/acaciaspar/acaciaspar/state/configstore"
)

// ProtocolVersion is the version of the messages between processes.
const ProtocolVersion = 1

// maxClients bounds the table of clients. A client holds no connection of its
// own, so the table is simply emptied when it is full.
const maxClients = 16_384

// instanceLength is the number of characters of an instance, 5 random bits
// each. Every message carries one, so it isn't longer than needed: 80 bits.
const instanceLength = 16

// NewInstance returns the random identifier of a process.
func NewInstance() string { return rand.Text()[:instanceLength] }

// Identity tells other processes who sends.
type Identity struct {
	Fleet string
	// Address is the IP address and port of the fleet listener.
	Address string
	// Instance is random and new at every start.
	Instance string
	// Zone is the availability zone.
	Zone string
}

// Caller is safe for use by several goroutines. Its mutex guards only the table of clients.
type Caller struct {
	identity Identity
	config   *configstore.Store
	http     *http.Client
	scheme   string

	mu      sync.Mutex
	clients map[string]*clients
	local   Local
}

// Local holds the services that this process serves itself.
type Local struct {
	Owner fleetpb.Owner
	Entry fleetpb.Entry
}

type clients struct {
	owner   fleetpb.Owner
	entry   fleetpb.Entry
	members fleetpb.Members
	control fleetpb.Control
}

// NewCaller returns a caller that uses hc for all calls; scheme is "http" or "https".
func NewCaller(identity Identity, config *configstore.Store, hc *http.Client, scheme string) *Caller {
	return &Caller{
		identity: identity,
		config:   config,
		http:     hc,
		scheme:   scheme,
		clients:  map[string]*clients{},
	}
}

// Identity returns the identity of this process.
func (c *Caller) Identity() Identity { return c.identity }

// HTTP returns the client that all calls use.
func (c *Caller) HTTP() *http.Client { return c.http }

// URL returns the base URL of the process at address.
func (c *Caller) URL(address string) string { return c.scheme + "://" + address }

// Sender returns the sender of a message that leaves now.
func (c *Caller) Sender() *fleetpb.Sender {
	return &fleetpb.Sender{
		Fleet:         c.identity.Fleet,
		Address:       c.identity.Address,
		Instance:      c.identity.Instance,
		Zone:          c.identity.Zone,
		ConfigVersion: c.config.Version(),
		Protocol:      ProtocolVersion,
	}
}

// ReplySender returns the sender of a reply that leaves now. The receiver has
// called this process, so it knows the rest.
func (c *Caller) ReplySender() *fleetpb.Sender {
	return &fleetpb.Sender{
		Fleet:         c.identity.Fleet,
		ConfigVersion: c.config.Version(),
		Protocol:      ProtocolVersion,
	}
}

// AddressSender returns the sender of a message whose receiver keeps no state
// about this process.
func (c *Caller) AddressSender() *fleetpb.Sender {
	s := c.ReplySender()
	s.Address = c.identity.Address
	return s
}

// Check refuses a message or reply of another fleet or of an unknown protocol
// version, and notes the sender's configuration version. The error is a twirp
// error with code invalid_argument.
func (c *Caller) Check(s *fleetpb.Sender) error {
	if s == nil {
		return twirp.InvalidArgumentError("sender", "is missing")
	}
	if s.Fleet != c.identity.Fleet {
		return twirp.InvalidArgumentError("fleet", fmt.Sprintf("is %q, not %q", s.Fleet, c.identity.Fleet))
	}
	if s.Protocol != ProtocolVersion {
		return twirp.InvalidArgumentError("protocol", fmt.Sprintf("version %d is not known", s.Protocol))
	}
	c.config.Observe(s.ConfigVersion)
	return nil
}

// SetLocal makes Owner and Entry return this process's own services for its own
// address, so that calls to itself need no connection. It must come before the
// first of them.
func (c *Caller) SetLocal(l Local) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = l
	delete(c.clients, c.identity.Address)
}

// Owner returns a client of the queue owner at address.
func (c *Caller) Owner(address string) fleetpb.Owner { return c.get(address).owner }

// Entry returns a client of the entry router at address.
func (c *Caller) Entry(address string) fleetpb.Entry { return c.get(address).entry }

// Members returns a client of the membership service at address.
func (c *Caller) Members(address string) fleetpb.Members { return c.get(address).members }

// Control returns a client of the control service at address.
func (c *Caller) Control(address string) fleetpb.Control { return c.get(address).control }

func (c *Caller) get(address string) *clients {
	c.mu.Lock()
	defer c.mu.Unlock()
	if found, ok := c.clients[address]; ok {
		return found
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	url := c.URL(address)
	made := &clients{
		owner:   fleetpb.NewOwnerProtobufClient(url, c.http),
		entry:   fleetpb.NewEntryProtobufClient(url, c.http),
		members: fleetpb.NewMembersProtobufClient(url, c.http),
		control: fleetpb.NewControlProtobufClient(url, c.http),
	}
	if address == c.identity.Address && c.local.Owner != nil {
		made.owner = c.local.Owner
	}
	if address == c.identity.Address && c.local.Entry != nil {
		made.entry = c.local.Entry
	}
	c.clients[address] = made
	return made
}
