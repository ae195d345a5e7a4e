// Package settings is the tree of operators' settings: fleet > region > data
// centre > workspace > workload. A value set at a lower level overrides the ones
// above it, and every effective value tells the level and the revision that
// decided it.
package settings

import (
	"fmt"
	"time"

	"kumquatwing/internal/model"
)

// Level is a depth of the tree.
type Level string

// The levels from the top down, with the default below all of them.
const (
	LevelDefault    Level = "default"
	LevelFleet      Level = "fleet"
	LevelRegion     Level = "region"
	LevelDataCentre Level = "data-centre"
	LevelWorkspace  Level = "workspace"
	LevelWorkload   Level = "workload"
)

// Scope says for whom a setting is looked up. Empty fields skip their level.
type Scope struct {
	Region    string
	DC        model.DCID
	Workspace model.WorkspaceID
	Workload  model.Workload
}

// Decision names what decided a value.
type Decision struct {
	Name  Name  `msgpack:"n" json:"name"`
	Value Value `msgpack:"v" json:"value"`
	Level Level `msgpack:"l" json:"level"`
	// Node is the name of the region, data centre, workspace or workload.
	Node     string `msgpack:"o" json:"node,omitempty"`
	Revision uint64 `msgpack:"r" json:"revision"`
}

// String formats d for refusals, for example "workspace vets, revision 12".
func (d Decision) String() string {
	value := d.Value.String()
	if def, ok := byName[d.Name]; ok {
		value = FormatValue(def.Type, d.Value.Int)
	}
	switch d.Level {
	case LevelDefault:
		return fmt.Sprintf("%s=%s by default", d.Name, value)
	case LevelFleet:
		return fmt.Sprintf("%s=%s by fleet, revision %d", d.Name, value, d.Revision)
	}
	return fmt.Sprintf("%s=%s by %s %s, revision %d", d.Name, value, d.Level, d.Node, d.Revision)
}

// Value is a setting's value: durations in milliseconds, sizes in bytes, flags
// as 0 or 1, other numbers as they are, and text.
type Value struct {
	Int  int64  `msgpack:"i" json:"int"`
	Text string `msgpack:"t,omitempty" json:"text,omitempty"`
}

// String formats v.
func (v Value) String() string {
	if v.Text != "" {
		return v.Text
	}
	return fmt.Sprint(v.Int)
}

// node holds the values set at one node of the tree.
type node struct {
	Values map[Name]setValue `msgpack:"v"`
}

type setValue struct {
	Value    Value  `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// Tree holds every value that was set. The zero value is not usable; see NewTree.
type Tree struct {
	nodes map[nodeKey]*node
}

type nodeKey struct {
	level Level
	name  string
}

// NewTree returns a tree in which every value is the default.
func NewTree() *Tree { return &Tree{nodes: map[nodeKey]*node{}} }

// Set stores a value at one node. The value must have passed Check.
func (t *Tree) Set(level Level, nodeName string, name Name, v Value, revision uint64) {
	k := nodeKey{level, nodeName}
	n := t.nodes[k]
	if n == nil {
		n = &node{Values: map[Name]setValue{}}
		t.nodes[k] = n
	}
	n.Values[name] = setValue{v, revision}
}

// WorkloadNode names a workload's node: workloads belong to a workspace.
func WorkloadNode(workspace model.WorkspaceID, w model.Workload) string {
	return string(workspace) + "/" + string(w)
}

// Lookup returns the effective value of name for s, from the lowest level that
// sets it.
func (t *Tree) Lookup(s Scope, name Name) Decision {
	for _, k := range s.path() {
		n := t.nodes[k]
		if n == nil {
			continue
		}
		if v, ok := n.Values[name]; ok {
			return Decision{Name: name, Value: v.Value, Level: k.level, Node: k.name, Revision: v.Revision}
		}
	}
	return Decision{Name: name, Value: Schema(name).Default, Level: LevelDefault}
}

// path lists the nodes of s from the lowest level up.
func (s Scope) path() []nodeKey {
	p := make([]nodeKey, 0, 5)
	if s.Workload != "" && s.Workspace != "" {
		p = append(p, nodeKey{LevelWorkload, WorkloadNode(s.Workspace, s.Workload)})
	}
	if s.Workspace != "" {
		p = append(p, nodeKey{LevelWorkspace, string(s.Workspace)})
	}
	if s.DC != "" {
		p = append(p, nodeKey{LevelDataCentre, string(s.DC)})
	}
	if s.Region != "" {
		p = append(p, nodeKey{LevelRegion, s.Region})
	}
	return append(p, nodeKey{LevelFleet, ""})
}

// Duration returns a duration setting with its decision.
func (t *Tree) Duration(s Scope, name Name) (time.Duration, Decision) {
	d := t.Lookup(s, name)
	return time.Duration(d.Value.Int) * time.Millisecond, d
}

// LongestDuration returns the longest value of a duration setting at any node,
// the default included.
func (t *Tree) LongestDuration(name Name) time.Duration {
	longest := Schema(name).Default.Int
	for _, n := range t.nodes {
		if v, ok := n.Values[name]; ok {
			longest = max(longest, v.Value.Int)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// Int returns a number or size setting with its decision.
func (t *Tree) Int(s Scope, name Name) (int64, Decision) {
	d := t.Lookup(s, name)
	return d.Value.Int, d
}

// Bool returns a flag setting with its decision.
func (t *Tree) Bool(s Scope, name Name) (bool, Decision) {
	d := t.Lookup(s, name)
	return d.Value.Int != 0, d
}
