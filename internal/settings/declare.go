package settings

import (
	"cmp"
	"slices"
	"strings"

	"kumquatwing/internal/model"
)

// Declarations is the configuration that operators keep in files: data centres,
// workspaces, queues and the values set at each node of the settings tree. It
// is applied as a whole or not at all.
type Declarations struct {
	DataCentres []DataCentre      `json:"data_centres" msgpack:"d"`
	Workspaces  []model.Workspace `json:"workspaces" msgpack:"t"`
	Queues      []model.Queue     `json:"queues" msgpack:"q"`
	Settings    []Entry           `json:"settings" msgpack:"s"`
}

// DataCentre declares one data centre and the region it belongs to.
type DataCentre struct {
	ID     model.DCID `json:"id" msgpack:"i"`
	Region string     `json:"region" msgpack:"r"`
}

// Entry is one value, set for one setting at one node of the tree.
type Entry struct {
	Level Level  `json:"level" msgpack:"l"`
	Node  string `json:"node,omitempty" msgpack:"o"`
	Name  Name   `json:"name" msgpack:"n"`
	Value Value  `json:"value" msgpack:"v"`
}

// Sort puts every list into canonical order, so that equal declarations have
// equal encodings.
func (d *Declarations) Sort() {
	slices.SortFunc(d.DataCentres, func(a, b DataCentre) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Workspaces, func(a, b model.Workspace) int { return cmp.Compare(a.ID, b.ID) })
	slices.SortFunc(d.Queues, func(a, b model.Queue) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Settings, compareEntries)
}

func compareEntries(a, b Entry) int {
	return cmp.Or(
		cmp.Compare(levelDepth[a.Level], levelDepth[b.Level]),
		cmp.Compare(a.Node, b.Node),
		cmp.Compare(a.Name, b.Name),
	)
}

// Tree builds the settings tree for the given revision. A value that is the
// same as in old keeps the revision at which it was set; old may be nil.
func (d *Declarations) Tree(old *Tree, revision uint64) *Tree {
	t := NewTree()
	for _, e := range d.Settings {
		setAt := revision
		if before, ok := old.valueAt(e.Level, e.Node, e.Name); ok && before.Value == e.Value {
			setAt = before.Revision
		}
		t.Set(e.Level, e.Node, e.Name, e.Value, setAt)
	}
	return t
}

// valueAt returns the value of name set at exactly this node, without looking
// at the levels above. It accepts a nil tree.
func (t *Tree) valueAt(level Level, nodeName string, name Name) (storedValue, bool) {
	if t == nil {
		return storedValue{}, false
	}
	n := t.nodes[nodeKey{level, nodeName}]
	if n == nil {
		return storedValue{}, false
	}
	v, ok := n.Values[name]
	return v, ok
}

// Regions returns the sorted names of the declared regions, without duplicates.
func (d *Declarations) Regions() []string {
	var names []string
	for _, p := range d.DataCentres {
		names = append(names, p.Region)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// SplitWorkload splits the node name of a workload, as WorkloadNode builds it,
// into workspace and workload. It reports false if the name has no slash.
func SplitWorkload(nodeName string) (model.WorkspaceID, model.Workload, bool) {
	workspace, workload, ok := strings.Cut(nodeName, "/")
	return model.WorkspaceID(workspace), model.Workload(workload), ok
}
