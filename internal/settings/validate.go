package settings

import (
	"fmt"
	"regexp"

	"kumquatwing/internal/model"
)

// Bounds of declarations.
const (
	// MaxShare is the largest share of a workspace.
	MaxShare = 1_000_000
	// MaxAmount is the largest amount in each dimension of a limit.
	MaxAmount = int64(1) << 40
	// MaxNodes is the largest number of data centres, of workspaces and of queues.
	MaxNodes = 4096
	// MaxEntries is the largest number of values set in the whole tree.
	MaxEntries = 65_536
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// ValidName reports whether s is a valid name of a node: 1 to 63 lower-case
// letters, digits, dots, dashes and underscores, the first a letter or digit.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// workspaceField and the functions below return the paths of fields in the files
// of declarations; see Fault.Field.
func workspaceField(id model.WorkspaceID) string { return "workspaces." + string(id) }

func dataCentreField(p DataCentre) string {
	return "regions." + p.Region + ".data-centres." + string(p.ID)
}

func queueField(name model.QueueName) string { return "queues." + string(name) }

func entryField(e Entry) string {
	return nodeFieldPrefix(e.Level, e.Node) + "settings." + string(e.Name)
}

func nodeFieldPrefix(level Level, nodeName string) string {
	switch level {
	case LevelRegion:
		return "regions." + nodeName + "."
	case LevelDataCentre:
		return "data-centres." + nodeName + "."
	case LevelWorkspace:
		return "workspaces." + nodeName + "."
	case LevelWorkload:
		workspace, workload, _ := SplitWorkload(nodeName)
		return "workspaces." + string(workspace) + ".workloads." + string(workload) + "."
	}
	return ""
}

// validator collects the faults of declarations and the names declared so far, to
// find duplicates and unknown references.
type validator struct {
	decls      *Declarations
	faults     Faults
	regions    map[string]bool
	dcs        map[model.DCID]bool
	workspaces map[model.WorkspaceID]bool
}

// Validate checks the names, bounds and references of d and returns all faults.
func (d *Declarations) Validate() Faults {
	v := &validator{
		decls:      d,
		regions:    map[string]bool{},
		dcs:        map[model.DCID]bool{},
		workspaces: map[model.WorkspaceID]bool{},
	}
	v.checkCounts()
	v.checkDataCentres()
	v.checkWorkspaces()
	v.checkQueues()
	v.checkEntries()
	return v.faults
}

func (v *validator) addFault(field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) checkCounts() {
	counts := []struct {
		field    string
		n, limit int
	}{
		{"regions", len(v.decls.DataCentres), MaxNodes},
		{"workspaces", len(v.decls.Workspaces), MaxNodes},
		{"queues", len(v.decls.Queues), MaxNodes},
		{"settings", len(v.decls.Settings), MaxEntries},
	}
	for _, c := range counts {
		if c.n > c.limit {
			v.addFault(c.field, "%d is over the bound of %d", c.n, c.limit)
		}
	}
}

func (v *validator) checkName(field, name string) {
	if !ValidName(name) {
		v.addFault(field, "%q is not a name of small letters, digits, '.', '-' and '_'", name)
	}
}

func (v *validator) checkDataCentres() {
	for _, p := range v.decls.DataCentres {
		v.checkName(dataCentreField(p), string(p.ID))
		v.checkName("regions."+p.Region, p.Region)
		if v.dcs[p.ID] {
			v.addFault(dataCentreField(p), "data centre %q is declared twice", p.ID)
		}
		v.dcs[p.ID] = true
		v.regions[p.Region] = true
	}
}

func (v *validator) checkWorkspaces() {
	for _, ws := range v.decls.Workspaces {
		field := workspaceField(ws.ID)
		v.checkName(field, string(ws.ID))
		if v.workspaces[ws.ID] {
			v.addFault(field, "workspace %q is declared twice", ws.ID)
		}
		v.workspaces[ws.ID] = true
		if ws.Share < 1 || ws.Share > MaxShare {
			v.addFault(field+".share", "%d is out of bounds: 1 to %d", ws.Share, MaxShare)
		}
		v.checkLimit(field+".limit", ws.Limit)
	}
}

func (v *validator) checkLimit(field string, r model.Resources) {
	for i, dimension := range model.Dimensions {
		if r.At(i) < 0 || r.At(i) > MaxAmount {
			v.addFault(field, "%s is out of bounds: 0 to %d", dimension, MaxAmount)
		}
	}
	if r.IsZero() {
		v.addFault(field, "nothing is allowed; leave out the workspace instead")
	}
}

func (v *validator) checkQueues() {
	seen := map[model.QueueName]bool{}
	for _, q := range v.decls.Queues {
		field := queueField(q.Name)
		v.checkName(field, string(q.Name))
		if seen[q.Name] {
			v.addFault(field, "queue %q is declared twice", q.Name)
		}
		seen[q.Name] = true
		if !q.Open && q.Workspace == "" {
			v.addFault(field, "a queue is either open or has a workspace")
		}
		if q.Open && q.Workspace != "" {
			v.addFault(field+".workspace", "an open queue has no workspace")
		}
		if q.Workspace != "" && !v.workspaces[q.Workspace] {
			v.addFault(field+".workspace", "workspace %q is not declared", q.Workspace)
		}
		if q.Workload != "" {
			v.checkName(field+".workload", string(q.Workload))
		}
	}
}

func (v *validator) checkEntries() {
	type key struct {
		node nodeKey
		name Name
	}
	seen := map[key]bool{}
	for _, e := range v.decls.Settings {
		k := key{nodeKey{e.Level, e.Node}, e.Name}
		if seen[k] {
			v.addFault(entryField(e), "set twice")
		}
		seen[k] = true
		v.checkEntry(e)
	}
}

func (v *validator) checkEntry(e Entry) {
	field := entryField(e)
	def, ok := definitionByName[e.Name]
	if !ok {
		v.addFault(field, "there is no setting %q", e.Name)
		return
	}
	if err := Check(def, e.Value); err != nil {
		v.addFault(field, "%v", err)
	}
	if !v.nodeDeclared(e) {
		v.addFault(field, "%s %q is not declared", e.Level, e.Node)
		return
	}
	if levelDepth[e.Level] > levelDepth[def.Lowest] {
		v.addFault(field, "%s can't be set below level %s", e.Name, def.Lowest)
	}
}

// nodeDeclared reports whether the node of e is declared. Workloads are not
// declared themselves: their workspace must be.
func (v *validator) nodeDeclared(e Entry) bool {
	switch e.Level {
	case LevelFleet:
		return e.Node == ""
	case LevelRegion:
		return v.regions[e.Node]
	case LevelDataCentre:
		return v.dcs[model.DCID(e.Node)]
	case LevelWorkspace:
		return v.workspaces[model.WorkspaceID(e.Node)]
	case LevelWorkload:
		workspace, workload, ok := SplitWorkload(e.Node)
		return ok && v.workspaces[workspace] && ValidName(string(workload))
	}
	return false
}
