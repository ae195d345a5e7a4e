// Package settings implements the tree of settings that operators declare, with
// the levels fleet > region > data centre > workspace > workload. A value set at
// a lower level overrides the values above it. Each effective value comes with
// the level and the revision at which it was set.
//
// The package also reads declarations from YAML files, validates them and lists
// the differences between two sets of them.
package settings

import (
	"fmt"
	"time"

	"kumquatwing/internal/model"
)

// Level is a level of the settings tree.
type Level string

// The levels from the top of the tree down. LevelDefault stands for the value in
// the schema, which applies if no level sets one.
const (
	LevelDefault    Level = "default"
	LevelFleet      Level = "fleet"
	LevelRegion     Level = "region"
	LevelDataCentre Level = "data-centre"
	LevelWorkspace  Level = "workspace"
	LevelWorkload   Level = "workload"
)

// Scope identifies the nodes of the tree that a lookup considers, one for each
// level. A level whose field is empty is skipped; a workload needs its workspace.
type Scope struct {
	Region    string
	DC        model.DCID
	Workspace model.WorkspaceID
	Workload  model.Workload
}

// EffectiveValue is the value of a setting that applies in a scope, with its
// origin: the node and the revision at which it was set.
type EffectiveValue struct {
	Name  Name  `msgpack:"n" json:"name"`
	Value Value `msgpack:"v" json:"value"`
	Level Level `msgpack:"l" json:"level"`
	// Node is the name of the region, data centre, workspace or workload; empty
	// for the fleet and the default.
	Node     string `msgpack:"o" json:"node,omitempty"`
	Revision uint64 `msgpack:"r" json:"revision"`
}

// String formats e for messages, for example
// "request.deadline=30s by workspace vets, revision 12".
func (e EffectiveValue) String() string {
	value := e.Value.String()
	if def, ok := definitionByName[e.Name]; ok {
		value = FormatValue(def.Type, e.Value.Int)
	}
	switch e.Level {
	case LevelDefault:
		return fmt.Sprintf("%s=%s by default", e.Name, value)
	case LevelFleet:
		return fmt.Sprintf("%s=%s by fleet, revision %d", e.Name, value, e.Revision)
	}
	return fmt.Sprintf("%s=%s by %s %s, revision %d", e.Name, value, e.Level, e.Node, e.Revision)
}

// Value is the value of a setting. Int holds durations in milliseconds, sizes in
// bytes, booleans as 0 or 1, and other numbers unchanged. No type of setting uses
// Text: Check refuses a value that has one.
type Value struct {
	Int  int64  `msgpack:"i" json:"int"`
	Text string `msgpack:"t,omitempty" json:"text,omitempty"`
}

// String formats v without a unit.
func (v Value) String() string {
	if v.Text != "" {
		return v.Text
	}
	return fmt.Sprint(v.Int)
}

// node holds the values set at one node of the tree.
type node struct {
	Values map[Name]storedValue `msgpack:"v"`
}

// storedValue is a value with the revision at which it was set.
type storedValue struct {
	Value    Value  `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// Tree holds the values set at each node. The zero value is not usable; create a
// tree with NewTree. A Tree is not safe for concurrent use with Set.
type Tree struct {
	nodes map[nodeKey]*node
}

type nodeKey struct {
	level Level
	name  string
}

// NewTree returns an empty tree, in which every setting has its default.
func NewTree() *Tree { return &Tree{nodes: map[nodeKey]*node{}} }

// Set sets the value of a setting at one node. The value must have passed Check.
func (t *Tree) Set(level Level, nodeName string, name Name, v Value, revision uint64) {
	k := nodeKey{level, nodeName}
	n := t.nodes[k]
	if n == nil {
		n = &node{Values: map[Name]storedValue{}}
		t.nodes[k] = n
	}
	n.Values[name] = storedValue{v, revision}
}

// WorkloadNode returns the node name of a workload: "workspace/workload", since
// the names of workloads are unique only within their workspace.
func WorkloadNode(workspace model.WorkspaceID, w model.Workload) string {
	return string(workspace) + "/" + string(w)
}

// Lookup returns the effective value of name in scope s: the one set at the
// lowest level, or the default. It panics if there is no setting called name.
func (t *Tree) Lookup(s Scope, name Name) EffectiveValue {
	for _, k := range s.path() {
		n := t.nodes[k]
		if n == nil {
			continue
		}
		if v, ok := n.Values[name]; ok {
			return EffectiveValue{Name: name, Value: v.Value, Level: k.level, Node: k.name, Revision: v.Revision}
		}
	}
	return EffectiveValue{Name: name, Value: Schema(name).Default, Level: LevelDefault}
}

// path lists the nodes of s from the lowest level up to the fleet.
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

// Duration returns the effective value of a duration setting and its origin.
func (t *Tree) Duration(s Scope, name Name) (time.Duration, EffectiveValue) {
	d := t.Lookup(s, name)
	return time.Duration(d.Value.Int) * time.Millisecond, d
}

// LongestDuration returns the longest value of a duration setting at any node of
// the tree, or the default if that is longer.
func (t *Tree) LongestDuration(name Name) time.Duration {
	longest := Schema(name).Default.Int
	for _, n := range t.nodes {
		if v, ok := n.Values[name]; ok {
			longest = max(longest, v.Value.Int)
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// Int returns the effective value of an integer, size or percentage setting and
// its origin.
func (t *Tree) Int(s Scope, name Name) (int64, EffectiveValue) {
	d := t.Lookup(s, name)
	return d.Value.Int, d
}

// Bool returns the effective value of a boolean setting and its origin.
func (t *Tree) Bool(s Scope, name Name) (bool, EffectiveValue) {
	d := t.Lookup(s, name)
	return d.Value.Int != 0, d
}
