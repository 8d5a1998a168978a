// Package fleetrpc creates the twirp clients for calls to other processes, and
// sets and checks the sender of every message. ClientPool owns the table of clients.
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

// ProtocolVersion is the version of the protocol between processes.
const ProtocolVersion = 1

// maxClients is the maximum size of the table of clients. Clients own no
// connections, so the table is cleared when it is full.
const maxClients = 16_384

// instanceIDLength is the number of characters of an instance identifier, with 5
// random bits each. It is limited to 80 bits because every message carries one.
const instanceIDLength = 16

// NewInstanceID returns a random instance identifier for a process.
func NewInstanceID() string { return rand.Text()[:instanceIDLength] }

// Identity identifies a process to other processes of the fleet.
type Identity struct {
	Fleet string
	// Address is the IP address and port of the fleet listener.
	Address string
	// Instance is the random identifier of the process, different after each start.
	Instance string
	// Zone is the availability zone.
	Zone string
}

// ClientPool holds the twirp clients for calls to other processes. It is safe for
// concurrent use. Its mutex guards clients and local.
type ClientPool struct {
	identity Identity
	config   *configstore.Store
	http     *http.Client
	scheme   string

	mu      sync.Mutex
	clients map[string]*clientSet
	local   Local
}

// Local holds the services that this process serves itself. A service that it
// does not serve is nil.
type Local struct {
	Owner fleetpb.Owner
	Entry fleetpb.Entry
}

// clientSet holds the clients of one process.
type clientSet struct {
	owner   fleetpb.Owner
	entry   fleetpb.Entry
	members fleetpb.Members
	control fleetpb.Control
}

// NewClientPool returns a pool whose clients use hc for all calls; scheme is "http" or "https".
func NewClientPool(identity Identity, config *configstore.Store, hc *http.Client, scheme string) *ClientPool {
	return &ClientPool{
		identity: identity,
		config:   config,
		http:     hc,
		scheme:   scheme,
		clients:  map[string]*clientSet{},
	}
}

// Identity returns the identity of this process.
func (c *ClientPool) Identity() Identity { return c.identity }

// HTTP returns the client that all calls use.
func (c *ClientPool) HTTP() *http.Client { return c.http }

// URL returns the base URL of the process at address.
func (c *ClientPool) URL(address string) string { return c.scheme + "://" + address }

// Sender returns the sender of a message, with the current configuration version.
func (c *ClientPool) Sender() *fleetpb.Sender {
	return &fleetpb.Sender{
		Fleet:         c.identity.Fleet,
		Address:       c.identity.Address,
		Instance:      c.identity.Instance,
		Zone:          c.identity.Zone,
		ConfigVersion: c.config.Version(),
		Protocol:      ProtocolVersion,
	}
}

// ReplySender returns the sender of a reply, with the current configuration
// version. It omits address, instance and zone, which the receiver knows because
// it has called this process.
func (c *ClientPool) ReplySender() *fleetpb.Sender {
	return &fleetpb.Sender{
		Fleet:         c.identity.Fleet,
		ConfigVersion: c.config.Version(),
		Protocol:      ProtocolVersion,
	}
}

// AddressSender returns the sender of a message whose receiver keeps no state
// about this process. It omits instance and zone.
func (c *ClientPool) AddressSender() *fleetpb.Sender {
	s := c.ReplySender()
	s.Address = c.identity.Address
	return s
}

// Check returns a twirp error with code invalid_argument if the sender of a
// request or reply is missing, belongs to another fleet or has an unknown protocol
// version. Otherwise it passes the sender's configuration version to the
// configuration store.
func (c *ClientPool) Check(s *fleetpb.Sender) error {
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

// SetLocal makes Owner and Entry return the services in l for this process's own
// address, so that calls to itself need no connection. It must be called before
// the first call of either.
func (c *ClientPool) SetLocal(l Local) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = l
	delete(c.clients, c.identity.Address)
}

// Owner returns a client of the queue owner at address.
func (c *ClientPool) Owner(address string) fleetpb.Owner { return c.clientsFor(address).owner }

// Entry returns a client of the entry router at address.
func (c *ClientPool) Entry(address string) fleetpb.Entry { return c.clientsFor(address).entry }

// Members returns a client of the membership service at address.
func (c *ClientPool) Members(address string) fleetpb.Members { return c.clientsFor(address).members }

// Control returns a client of the control service at address.
func (c *ClientPool) Control(address string) fleetpb.Control { return c.clientsFor(address).control }

// clientsFor returns the clients of the process at address, creating them if needed.
func (c *ClientPool) clientsFor(address string) *clientSet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing, ok := c.clients[address]; ok {
		return existing
	}
	if len(c.clients) >= maxClients {
		clear(c.clients)
	}
	url := c.URL(address)
	created := &clientSet{
		owner:   fleetpb.NewOwnerProtobufClient(url, c.http),
		entry:   fleetpb.NewEntryProtobufClient(url, c.http),
		members: fleetpb.NewMembersProtobufClient(url, c.http),
		control: fleetpb.NewControlProtobufClient(url, c.http),
	}
	if address == c.identity.Address && c.local.Owner != nil {
		created.owner = c.local.Owner
	}
	if address == c.identity.Address && c.local.Entry != nil {
		created.entry = c.local.Entry
	}
	c.clients[address] = created
	return created
}
