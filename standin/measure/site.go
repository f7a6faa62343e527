package measure

import (
	"fmt"
	"net/netip"
	"time"

	"cornelwall"
)

// Site is the size of an installation and its one-way network delays.
type Site struct {
	Name        string
	Centres     []string // data centres
	Entries     int
	Executors   int
	Slots       int           // of each executor
	LocalDelay  time.Duration // within a data centre
	RemoteDelay time.Duration // between data centres
	ClientDelay time.Duration // between clients and entries
}

// Ewaoko returns the site of Ewaoko's booking service.
func Ewaoko() Site {
	return Site{Name: "ewaoko", Centres: []string{"ikeja", "lekki", "abeokuta"}, Entries: 7, Executors: 50, Slots: 8,
		LocalDelay: 100 * time.Microsecond, RemoteDelay: 1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond}
}

// Tokachi returns the site of Tokachi's order desk service.
func Tokachi() Site {
	return Site{Name: "tokachi", Centres: []string{"obihiro", "kushiro", "kitami", "nemuro"}, Entries: 8, Executors: 50, Slots: 8,
		LocalDelay: 100 * time.Microsecond, RemoteDelay: time.Millisecond, ClientDelay: time.Millisecond}
}

// Sites returns the sites of both users.
func Sites() []Site { return []Site{Ewaoko(), Tokachi()} }

// centre returns the data centre of machine i. Machines are assigned round robin.
func (s *Site) centre(i int) string { return s.Centres[i%len(s.Centres)] }

// delay returns the one-way delay between two data centres.
func (s *Site) delay(from, to string) time.Duration {
	if from == to {
		return s.LocalDelay
	}
	return s.RemoteDelay
}

// entries returns the entry VMs.
func (s *Site) entries() []cornelwall.VM {
	var vms []cornelwall.VM
	for i := range s.Entries {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, 0, byte(i + 1)}), 7001)
		vms = append(vms, cornelwall.VM{Name: fmt.Sprintf("entry-%d", i), Kind: cornelwall.Entry, DataCentre: s.centre(i), Addr: addr})
	}
	return vms
}

// executors returns the executor VMs.
func (s *Site) executors() []cornelwall.VM {
	var vms []cornelwall.VM
	for i := range s.Executors {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 2, 0, byte(i + 1)}), 80)
		vms = append(vms, cornelwall.VM{Name: fmt.Sprintf("executor-%d", i), Kind: cornelwall.Executor,
			DataCentre: s.centre(i), Addr: addr, Slots: s.Slots, Conns: 64})
	}
	return vms
}
