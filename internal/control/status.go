package control

import (
	"context"
	"fmt"
	"net/http"

	"kumquatwing/internal/httpx"
	"kumquatwing/internal/model"
	"kumquatwing/internal/replica"
)

// topicStatus requests the status of one process.
const topicStatus = "member.info"

// ProcessStatus is the status of one kqcontrol process.
type ProcessStatus struct {
	VM       model.VMID `json:"vm" msgpack:"v"`
	DC       model.DCID `json:"dc" msgpack:"d"`
	Revision uint64     `json:"revision" msgpack:"r"`
	// LeaseMillis is the remaining time of its settings lease.
	LeaseMillis int64       `json:"settings_lease_ms" msgpack:"l"`
	Fleet       GroupStatus `json:"fleet_group" msgpack:"f"`
	DataCentre  GroupStatus `json:"data_centre_group" msgpack:"c"`
	Workers     int         `json:"workers,omitempty" msgpack:"w"`
	Running     int         `json:"running,omitempty" msgpack:"n"`
	Pending     int         `json:"pending,omitempty" msgpack:"p"`
	Rebuilding  bool        `json:"rebuilding,omitempty" msgpack:"b"`
	Stopping    bool        `json:"stopping,omitempty" msgpack:"s"`
}

// GroupStatus is the status of one member of a group.
type GroupStatus struct {
	Generation uint64 `json:"generation,omitempty" msgpack:"g"`
	Term       uint64 `json:"term" msgpack:"t"`
	Leader     string `json:"leader" msgpack:"l"`
	Leads      bool   `json:"leads" msgpack:"s"`
	Voters     int    `json:"voters" msgpack:"v"`
	Learners   int    `json:"learners" msgpack:"n"`
	Applied    uint64 `json:"applied" msgpack:"a"`
}

// StatusResponse is the response to a GET of api.PathStatus.
type StatusResponse struct {
	Lines     []string        `json:"lines"`
	Processes []ProcessStatus `json:"processes"`
	// Unreachable lists the VMs whose processes did not answer.
	Unreachable []model.VMID `json:"silent,omitempty"`
}

func groupStatus(st replica.Status, generation uint64) GroupStatus {
	g := GroupStatus{Generation: generation, Term: st.Term, Leads: st.IsLeader(), Applied: st.Applied}
	if m, ok := st.LeaderMember(); ok {
		g.Leader = m.VM
	}
	g.Voters = countVoters(st.Members)
	g.Learners = len(st.Members) - g.Voters
	return g
}

func (s *Server) handleStatus(context.Context, *struct{}) (*ProcessStatus, error) {
	info := &ProcessStatus{
		VM:          s.cfg.VM,
		DC:          s.cfg.DC,
		Revision:    s.fleetView().revision,
		LeaseMillis: s.leases.ownLease.Remaining(s.clock.Now()).Milliseconds(),
		Fleet:       groupStatus(s.fleetStatus(), 0),
		Stopping:    s.isStopping(),
	}
	node, state, generation := s.dc.current()
	if node == nil {
		return info, nil
	}
	node.View(func(st replicaStatus) {
		info.DataCentre = groupStatus(st, generation)
		info.Rebuilding = state.Work.Rebuilding()
		info.Workers = len(state.Work.Workers())
		for _, j := range state.Work.Jobs() {
			info.Running += j.ActiveTasks()
			info.Pending += j.Pending()
		}
	})
	return info, nil
}

// status writes the status of every process in the fleet's state.
func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	self, _ := s.handleStatus(r.Context(), nil)
	response := &StatusResponse{Processes: []ProcessStatus{*self}}
	for _, m := range callAll[struct{}, ProcessStatus](r.Context(), s, s.otherMembers(), topicStatus, &struct{}{}) {
		if m.err != nil {
			response.Unreachable = append(response.Unreachable, m.vm)
			continue
		}
		response.Processes = append(response.Processes, *m.reply)
	}
	response.Lines = statusLines(response)
	httpx.WriteJSON(w, http.StatusOK, response)
}

func statusLines(r *StatusResponse) []string {
	var lines []string
	for i := range r.Processes {
		lines = append(lines, r.Processes[i].line())
	}
	for _, vm := range r.Unreachable {
		lines = append(lines, fmt.Sprintf("%-10s does not answer", vm))
	}
	return lines
}

// line describes the process in one line, including what it can't do at present.
func (p *ProcessStatus) line() string {
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
