package fleet

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// socketInode returns the inode of the TCP socket with the given IPv4 addresses
// from /proc/net/tcp, or "" if there is none. Both addresses are needed because
// the kernel can use one local port for connections to several remote addresses.
func socketInode(local, remote net.Addr) string {
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	// The local and the remote address are adjacent columns. The table can have
	// tens of thousands of lines, so only the matching line is split.
	wantLocal := procNetAddress(local)
	start := bytes.Index(table, []byte(wantLocal+" "+procNetAddress(remote)+" "))
	if wantLocal == "" || start < 0 {
		return ""
	}
	line, _, _ := bytes.Cut(table[start:], []byte("\n"))
	const inodeColumn = 8
	columns := strings.Fields(string(line))
	if len(columns) <= inodeColumn {
		return ""
	}
	return columns[inodeColumn]
}

// procNetAddress formats an IPv4 address and port as in /proc/net/tcp, with the
// address as a little-endian number. It returns "" for other addresses.
func procNetAddress(address net.Addr) string {
	parsed, err := netip.ParseAddrPort(address.String())
	if err != nil || !parsed.Addr().Unmap().Is4() {
		return ""
	}
	ip := parsed.Addr().Unmap().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port())
}

// ownsSocket reports whether the process has the socket with this inode open.
func (p *Process) ownsSocket(inode string) bool {
	e := p.current()
	if e == nil {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", e.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return false
	}
	for _, entry := range entries {
		if target, err := os.Readlink(filepath.Join(dir, entry.Name())); err == nil && target == "socket:["+inode+"]" {
			return true
		}
	}
	return false
}
