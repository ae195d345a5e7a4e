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
	// MaxAmount is the largest amount in a dimension of a limit.
	MaxAmount = int64(1) << 40
	// MaxNodes bounds the data centres, workspaces and queues, each.
	MaxNodes = 4096
	// MaxEntries bounds the values that are set.
	MaxEntries = 65_536
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9_.-]{0,62}$`)

// ValidName reports whether s can name a node: small letters, digits, dots,
// dashes and underscores, at most 63, the first a letter or digit.
func ValidName(s string) bool { return namePattern.MatchString(s) }

// Field paths of declarations, as in the files.
func workspaceField(id model.WorkspaceID) string { return "workspaces." + string(id) }

func placeField(p Place) string {
	return "regions." + p.Region + ".data-centres." + string(p.ID)
}

func queueField(name model.QueueName) string { return "queues." + string(name) }

func entryField(e Entry) string {
	return nodeField(e.Level, e.Node) + "settings." + string(e.Name)
}

func nodeField(level Level, nodeName string) string {
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

// validator collects the faults of declarations.
type validator struct {
	d          *Declarations
	faults     Faults
	regions    map[string]bool
	dcs        map[model.DCID]bool
	workspaces map[model.WorkspaceID]bool
}

// Validate checks names, bounds and references and returns all faults.
func (d *Declarations) Validate() Faults {
	v := &validator{
		d:          d,
		regions:    map[string]bool{},
		dcs:        map[model.DCID]bool{},
		workspaces: map[model.WorkspaceID]bool{},
	}
	v.sizes()
	v.places()
	v.checkWorkspaces()
	v.queues()
	v.entries()
	return v.faults
}

func (v *validator) fault(field, format string, args ...any) {
	v.faults = append(v.faults, Fault{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (v *validator) sizes() {
	counts := []struct {
		field    string
		n, bound int
	}{
		{"regions", len(v.d.DataCentres), MaxNodes},
		{"workspaces", len(v.d.Workspaces), MaxNodes},
		{"queues", len(v.d.Queues), MaxNodes},
		{"settings", len(v.d.Settings), MaxEntries},
	}
	for _, c := range counts {
		if c.n > c.bound {
			v.fault(c.field, "%d is over the bound of %d", c.n, c.bound)
		}
	}
}

func (v *validator) name(field, name string) {
	if !ValidName(name) {
		v.fault(field, "%q is not a name of small letters, digits, '.', '-' and '_'", name)
	}
}

func (v *validator) places() {
	for _, p := range v.d.DataCentres {
		v.name(placeField(p), string(p.ID))
		v.name("regions."+p.Region, p.Region)
		if v.dcs[p.ID] {
			v.fault(placeField(p), "data centre %q is declared twice", p.ID)
		}
		v.dcs[p.ID] = true
		v.regions[p.Region] = true
	}
}

func (v *validator) checkWorkspaces() {
	for _, t := range v.d.Workspaces {
		field := workspaceField(t.ID)
		v.name(field, string(t.ID))
		if v.workspaces[t.ID] {
			v.fault(field, "workspace %q is declared twice", t.ID)
		}
		v.workspaces[t.ID] = true
		if t.Share < 1 || t.Share > MaxShare {
			v.fault(field+".share", "%d is out of bounds: 1 to %d", t.Share, MaxShare)
		}
		v.limit(field+".limit", t.Limit)
	}
}

func (v *validator) limit(field string, r model.Resources) {
	for i, dimension := range model.Dimensions {
		if r.At(i) < 0 || r.At(i) > MaxAmount {
			v.fault(field, "%s is out of bounds: 0 to %d", dimension, MaxAmount)
		}
	}
	if r.IsZero() {
		v.fault(field, "nothing is allowed; leave out the workspace instead")
	}
}

func (v *validator) queues() {
	seen := map[model.QueueName]bool{}
	for _, q := range v.d.Queues {
		field := queueField(q.Name)
		v.name(field, string(q.Name))
		if seen[q.Name] {
			v.fault(field, "queue %q is declared twice", q.Name)
		}
		seen[q.Name] = true
		if !q.Open && q.Workspace == "" {
			v.fault(field, "a queue is either open or has a workspace")
		}
		if q.Open && q.Workspace != "" {
			v.fault(field+".workspace", "an open queue has no workspace")
		}
		if q.Workspace != "" && !v.workspaces[q.Workspace] {
			v.fault(field+".workspace", "workspace %q is not declared", q.Workspace)
		}
		if q.Workload != "" {
			v.name(field+".workload", string(q.Workload))
		}
	}
}

func (v *validator) entries() {
	type key struct {
		node nodeKey
		name Name
	}
	seen := map[key]bool{}
	for _, e := range v.d.Settings {
		k := key{nodeKey{e.Level, e.Node}, e.Name}
		if seen[k] {
			v.fault(entryField(e), "set twice")
		}
		seen[k] = true
		v.entry(e)
	}
}

func (v *validator) entry(e Entry) {
	field := entryField(e)
	def, ok := byName[e.Name]
	if !ok {
		v.fault(field, "there is no setting %q", e.Name)
		return
	}
	if err := Check(def, e.Value); err != nil {
		v.fault(field, "%v", err)
	}
	if !v.known(e) {
		v.fault(field, "%s %q is not declared", e.Level, e.Node)
		return
	}
	if depth[e.Level] > depth[def.Lowest] {
		v.fault(field, "%s can't be set below level %s", e.Name, def.Lowest)
	}
}

// known reports whether the node of e is declared.
func (v *validator) known(e Entry) bool {
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
