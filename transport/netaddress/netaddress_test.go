package netaddress

import (
	"net/netip"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against addresses that name no single host, no port or no port number.
func TestAddresses(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "10.0.0.1:65535": true, "10.0.0.1:0": false, "0.0.0.0:80": false, "224.0.0.1:80": false,
		"255.255.255.255:80": false, "[::1]:80": false,
	} {
		must.Eq(t, want, IsHost(netip.MustParseAddrPort(text)), must.Sprint(text))
	}
	for text, want := range map[string]bool{
		"host:80": true, "[::1]:80": true, "host:0": false, "host:65536": false, "host:http": false, ":80": false, "host": false, "": false,
	} {
		must.Eq(t, want, IsHostPort(text), must.Sprint(text))
	}
}
