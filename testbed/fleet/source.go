package fleet

import (
	"bufio"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
)

// socketInode returns the inode of the socket whose local IPv4 address is
// address, from the kernel's table of TCP sockets, or "".
func socketInode(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Unmap().Is4() {
		return ""
	}
	ip := parsed.Addr().Unmap().As4()
	// The kernel prints the address as a little-endian number.
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], parsed.Port())
	table, err := os.Open("/proc/net/tcp")
	if err != nil {
		return ""
	}
	defer table.Close()
	const localColumn, inodeColumn = 1, 9
	for lines := bufio.NewScanner(table); lines.Scan(); {
		columns := strings.Fields(lines.Text())
		if len(columns) > inodeColumn && columns[localColumn] == local {
			return columns[inodeColumn]
		}
	}
	return ""
}

// ownsSocket reports whether the process has the socket open.
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
