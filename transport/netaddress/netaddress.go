// Package netaddress checks addresses that come from other processes. It owns no state.
package netaddress

import (
	"net"
	"net/netip"
	"strconv"
)

var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})

// IsHost reports whether a is the IPv4 address and the port of a single host.
func IsHost(a netip.AddrPort) bool {
	ip := a.Addr()
	return ip.Is4() && a.Port() != 0 && !ip.IsUnspecified() && !ip.IsMulticast() && ip != broadcast
}

// IsHostPort reports whether text is a host and the number of a port.
func IsHostPort(text string) bool {
	host, port, err := net.SplitHostPort(text)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
