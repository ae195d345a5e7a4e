package control

import (
	"context"
	"fmt"
	"net/http"

	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

// topicInfo asks a process for its standing.
const topicInfo = "member.info"

// ProcessInfo is the standing of one kqcontrol.
type ProcessInfo struct {
	VM       model.VMID `json:"vm" msgpack:"v"`
	DC       model.DCID `json:"dc" msgpack:"d"`
	Revision uint64     `json:"revision" msgpack:"r"`
	// LeaseMillis is what is left of its settings lease.
	LeaseMillis int64     `json:"settings_lease_ms" msgpack:"l"`
	Fleet       GroupInfo `json:"fleet_group" msgpack:"f"`
	DataCentre  GroupInfo `json:"data_centre_group" msgpack:"c"`
	Workers     int       `json:"workers,omitempty" msgpack:"w"`
	Running     int       `json:"running,omitempty" msgpack:"n"`
	Pending     int       `json:"pending,omitempty" msgpack:"p"`
	Rebuilding  bool      `json:"rebuilding,omitempty" msgpack:"b"`
	Stopping    bool      `json:"stopping,omitempty" msgpack:"s"`
}

// GroupInfo is a member's standing in one group.
type GroupInfo struct {
	Generation uint64 `json:"generation,omitempty" msgpack:"g"`
	Term       uint64 `json:"term" msgpack:"t"`
	Leader     string `json:"leader" msgpack:"l"`
	Leads      bool   `json:"leads" msgpack:"s"`
	Voters     int    `json:"voters" msgpack:"v"`
	Learners   int    `json:"learners" msgpack:"n"`
	Applied    uint64 `json:"applied" msgpack:"a"`
}

// StatusAnswer answers PathStatus.
type StatusAnswer struct {
	Lines     []string      `json:"lines"`
	Processes []ProcessInfo `json:"processes"`
	// Silent lists the VMs that did not answer.
	Silent []model.VMID `json:"silent,omitempty"`
}

func groupInfo(st replica.Status, generation uint64) GroupInfo {
	g := GroupInfo{Generation: generation, Term: st.Term, Leads: st.IsLeader(), Applied: st.Applied}
	if m, ok := st.LeaderMember(); ok {
		g.Leader = m.VM
	}
	g.Voters = countVoters(st.Members)
	g.Learners = len(st.Members) - g.Voters
	return g
}

func (s *Server) handleInfo(context.Context, *struct{}) (*ProcessInfo, error) {
	info := &ProcessInfo{
		VM:          s.cfg.VM,
		DC:          s.cfg.DC,
		Revision:    s.fleetView().revision,
		LeaseMillis: s.leases.held.Left(s.clock.Now()).Milliseconds(),
		Fleet:       groupInfo(s.fleetStatus(), 0),
		Stopping:    s.isStopping(),
	}
	node, state, generation := s.dc.member()
	if node == nil {
		return info, nil
	}
	node.View(func(st replicaStatus) {
		info.DataCentre = groupInfo(st, generation)
		info.Rebuilding = state.Work.Rebuilding()
		info.Workers = len(state.Work.Workers())
		for _, j := range state.Work.Jobs() {
			info.Running += j.Held()
			info.Pending += j.Pending()
		}
	})
	return info, nil
}

// status shows every process that the fleet knows.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	self, _ := s.handleInfo(r.Context(), nil)
	answer := &StatusAnswer{Processes: []ProcessInfo{*self}}
	for _, m := range askMembers[struct{}, ProcessInfo](r.Context(), s, s.otherMembers(), topicInfo, &struct{}{}) {
		if m.err != nil {
			answer.Silent = append(answer.Silent, m.vm)
			continue
		}
		answer.Processes = append(answer.Processes, *m.reply)
	}
	answer.Lines = statusLines(answer)
	httpx.WriteJSON(w, http.StatusOK, answer)
}

func statusLines(a *StatusAnswer) []string {
	var lines []string
	for i := range a.Processes {
		lines = append(lines, a.Processes[i].line())
	}
	for _, vm := range a.Silent {
		lines = append(lines, fmt.Sprintf("%-10s does not answer", vm))
	}
	return lines
}

// line says in one line what a process does and what it can't do.
func (p *ProcessInfo) line() string {
	line := fmt.Sprintf("%-10s %-6s revision %d, settings lease %d ms, fleet leader %s, data centre leader %s",
		p.VM, p.DC, p.Revision, p.LeaseMillis, orNone(p.Fleet.Leader), orNone(p.DataCentre.Leader))
	if p.Fleet.Leads {
		line += "; leads the fleet"
	}
	if p.DataCentre.Leads {
		line += fmt.Sprintf("; leads its data centre: %d workers, %d running, %d pending", p.Workers, p.Running, p.Pending)
	}
	switch {
	case p.Stopping:
		line += "; stopping"
	case p.Fleet.Voters == 0:
		line += "; in no fleet group: waits to be taken in, or for kqctl init on one VM of a new fleet"
	case p.Rebuilding:
		line += "; rebuilding from workers' reports, starts nothing"
	case p.DataCentre.Leader == "":
		line += "; data centre without leader: no starts, no records, slots run out"
	case p.LeaseMillis == 0:
		line += "; without settings lease: takes no keyed work and starts no task, goes on with the rest"
	}
	return line
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}
