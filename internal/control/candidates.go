package control

import (
	"kumquatwing/internal/clock"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
)

// fleetCandidates returns the processes that may be members of the fleet group: those
// that have announced themselves to this leader, and registered ones that have not. A
// process is unreachable if it was silent for unreachableAfter. Only silence since
// leadingSince, the begin of the leadership, counts: until then processes announced
// themselves to another leader.
func fleetCandidates(announced []receivedAnnouncement, registered []fleet.Member, leadingSince, now clock.Instant) []candidate {
	silent := func(receivedAt clock.Instant) bool { return now.Sub(max(receivedAt, leadingSince)) > unreachableAfter }
	heard := map[model.VMID]bool{}
	var out []candidate
	for _, a := range announced {
		heard[a.VM] = true
		out = append(out, candidate{id: a.ID, vm: a.VM, dc: a.DC, addr: a.WireAddr, disk: a.Disk, unreachable: silent(a.receivedAt)})
	}
	for i := range registered {
		if m := &registered[i]; !heard[m.VM] {
			out = append(out, candidate{
				id: m.Incarnation, vm: m.VM, dc: m.DC, addr: m.WireAddr, disk: m.Disk, unreachable: silent(0), unheard: true,
			})
		}
	}
	return out
}
