package settings

import (
	"cmp"
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

// Declarations is everything that operators keep in files: data centres,
// workspaces, queues and the settings of each node. It is applied as a whole.
type Declarations struct {
	DataCentres []Place           `json:"data_centres" msgpack:"d"`
	Workspaces  []model.Workspace `json:"workspaces" msgpack:"t"`
	Queues      []model.Queue     `json:"queues" msgpack:"q"`
	Settings    []Entry           `json:"settings" msgpack:"s"`
}

// Place declares a data centre and its region.
type Place struct {
	ID     model.DCID `json:"id" msgpack:"i"`
	Region string     `json:"region" msgpack:"r"`
}

// Entry is a value set at one node of the tree.
type Entry struct {
	Level Level  `json:"level" msgpack:"l"`
	Node  string `json:"node,omitempty" msgpack:"o"`
	Name  Name   `json:"name" msgpack:"n"`
	Value Value  `json:"value" msgpack:"v"`
}

// Sort puts every list in its one order, so that equal declarations have equal
// encodings.
func (d *Declarations) Sort() {
	slices.SortFunc(d.DataCentres, func(a, b Place) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Workspaces, func(a, b model.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Queues, func(a, b model.Queue) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Settings, compareEntries)
}

func compareEntries(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(depth[a.Level], depth[b.Level]),
		cmp.Compare(a.Node, b.Node),
		cmp.Compare(a.Name, b.Name),
	)
}

// Tree builds the tree at a revision. A value that old had already keeps the
// revision that decided it.
func (d *Declarations) Tree(old *Tree, revision uint64) *Tree {
	t := NewTree()
	for _, e := range d.Settings {
		decided := revision
		if before, ok := old.get(e.Level, e.Node, e.Name); ok && before.Value == e.Value {
			decided = before.Revision
		}
		t.Set(e.Level, e.Node, e.Name, e.Value, decided)
	}
	return t
}

// get returns the value set at one node itself.
func (t *Tree) get(level Level, nodeName string, name Name) (setValue, bool) {
	if t == nil {
		return setValue{}, false
	}
	n := t.nodes[nodeKey{level, nodeName}]
	if n == nil {
		return setValue{}, false
	}
	v, ok := n.Values[name]
	return v, ok
}

// Regions returns the names of the declared regions, sorted.
func (d *Declarations) Regions() []string {
	var names []string
	for _, p := range d.DataCentres {
		names = append(names, p.Region)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SplitWorkload takes a workload's node name apart.
func SplitWorkload(nodeName string) (model.WorkspaceID, model.Workload, bool) {
	workspace, workload, ok := strings.Cut(nodeName, "/")
	return model.WorkspaceID(workspace), model.Workload(workload), ok
}
