package settings

import (
	"fmt"
	"strings"

	"kumquatwing/internal/model"
)

// Difference is one changed value between two sets of declarations.
type Difference struct {
	// Level and Node name the node of the tree that changes.
	Level Level  `json:"level"`
	Node  string `json:"node,omitempty"`
	// Field is the name of the setting, or of another property of the node,
	// such as its region, share or limit.
	Field string `json:"field"`
	// Old and New are the values with their units. Old is empty for an addition,
	// New for a removal.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// Affected describes the scope in which the change takes effect.
	Affected string `json:"for"`
}

// String formats d as one line.
func (d Difference) String() string {
	where := string(d.Level)
	if d.Node != "" {
		where += " " + d.Node
	}
	return fmt.Sprintf("%s: %s: %s -> %s (for %s)", where, d.Field, orNone(d.Old), orNone(d.New), d.Affected)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Diff lists the changes from before to after: data centres, workspaces,
// queues, then settings from the top level down. Both must be valid and sorted.
func Diff(before, after *Declarations) []Difference {
	var list []Difference
	list = append(list, diffDataCentres(before, after)...)
	list = append(list, diffWorkspaces(before, after)...)
	list = append(list, diffQueues(before, after)...)
	return append(list, diffEntries(before, after)...)
}

// pair holds the elements with the same key from two lists. An element is nil
// if its list does not contain the key.
type pair[T any] struct {
	key           string
	before, after *T
}

// mergeByKey matches the elements of two lists that are sorted by less. Each
// key of either list gives one pair, in order.
func mergeByKey[T any](before, after []T, key func(*T) string, less func(a, b *T) bool) []pair[T] {
	var list []pair[T]
	i, j := 0, 0
	for i < len(before) || j < len(after) {
		switch {
		case j == len(after) || i < len(before) && less(&before[i], &after[j]):
			list = append(list, pair[T]{key(&before[i]), &before[i], nil})
			i++
		case i == len(before) || less(&after[j], &before[i]):
			list = append(list, pair[T]{key(&after[j]), nil, &after[j]})
			j++
		default:
			list = append(list, pair[T]{key(&after[j]), &before[i], &after[j]})
			i++
			j++
		}
	}
	return list
}

func diffDataCentres(before, after *Declarations) []Difference {
	key := func(p *DataCentre) string { return string(p.ID) }
	less := func(a, b *DataCentre) bool { return a.ID < b.ID }
	region := func(p *DataCentre) string {
		if p == nil {
			return ""
		}
		return p.Region
	}
	var list []Difference
	for _, p := range mergeByKey(before.DataCentres, after.DataCentres, key, less) {
		d := Difference{
			Level: LevelDataCentre, Node: p.key, Field: "region",
			Old: region(p.before), New: region(p.after), Affected: "data centre " + p.key,
		}
		list = appendChanged(list, d)
	}
	return list
}

// appendChanged appends d unless its old and new value are equal.
func appendChanged(list []Difference, d Difference) []Difference {
	if d.Old == d.New {
		return list
	}
	return append(list, d)
}

func diffWorkspaces(before, after *Declarations) []Difference {
	key := func(ws *model.Workspace) string { return string(ws.ID) }
	less := func(a, b *model.Workspace) bool { return a.ID < b.ID }
	var list []Difference
	for _, p := range mergeByKey(before.Workspaces, after.Workspaces, key, less) {
		d := Difference{Level: LevelWorkspace, Node: p.key, Affected: "workspace " + p.key}
		d.Field, d.Old, d.New = "share", shareText(p.before), shareText(p.after)
		list = appendChanged(list, d)
		d.Field, d.Old, d.New = "limit", limitText(p.before), limitText(p.after)
		list = appendChanged(list, d)
	}
	return list
}

func shareText(ws *model.Workspace) string {
	if ws == nil {
		return ""
	}
	return fmt.Sprint(ws.Share)
}

func limitText(ws *model.Workspace) string {
	if ws == nil {
		return ""
	}
	return ws.Limit.String()
}

func diffQueues(before, after *Declarations) []Difference {
	key := func(q *model.Queue) string { return string(q.Name) }
	less := func(a, b *model.Queue) bool { return a.Name < b.Name }
	var list []Difference
	for _, p := range mergeByKey(before.Queues, after.Queues, key, less) {
		d := Difference{
			Level: LevelFleet, Field: "queue " + p.key,
			Old: queueText(p.before), New: queueText(p.after), Affected: "callers of queue " + p.key,
		}
		list = appendChanged(list, d)
	}
	return list
}

// queueText describes a queue's access and workload; empty for nil.
func queueText(q *model.Queue) string {
	if q == nil {
		return ""
	}
	text := "keyed by workspace " + string(q.Workspace)
	if q.Open {
		text = "open"
	}
	if q.Workload != "" {
		text += ", workload " + string(q.Workload)
	}
	return text
}

func diffEntries(before, after *Declarations) []Difference {
	key := func(e *Entry) string { return string(e.Name) }
	less := func(a, b *Entry) bool { return compareEntries(*a, *b) < 0 }
	var list []Difference
	for _, p := range mergeByKey(before.Settings, after.Settings, key, less) {
		e := p.after
		if e == nil {
			e = p.before
		}
		d := Difference{
			Level: e.Level, Node: e.Node, Field: p.key,
			Old: entryText(p.before), New: entryText(p.after), Affected: after.affected(e),
		}
		list = appendChanged(list, d)
	}
	return list
}

func entryText(e *Entry) string {
	if e == nil {
		return ""
	}
	return FormatValue(definitionByName[e.Name].Type, e.Value.Int)
}

// affected describes the nodes at which the value of e takes effect: the node
// of e and those below it, except where the same setting is overridden.
func (d *Declarations) affected(e *Entry) string {
	scope := string(e.Level) + " " + e.Node
	if e.Level == LevelFleet {
		scope = "the whole fleet"
	}
	var overriding []string
	for _, o := range d.Settings {
		if o.Name == e.Name && d.overrides(o, e) {
			overriding = append(overriding, string(o.Level)+" "+o.Node)
		}
	}
	if len(overriding) == 0 {
		return scope
	}
	return scope + " except " + strings.Join(overriding, ", ")
}

// overrides reports whether o, an entry for the same setting, takes precedence
// over e in some scope: its node is at a lower level and shares a scope with
// the node of e.
func (d *Declarations) overrides(o Entry, e *Entry) bool {
	if levelDepth[o.Level] <= levelDepth[e.Level] {
		return false
	}
	if e.Level == LevelWorkspace {
		return strings.HasPrefix(o.Node, e.Node+"/")
	}
	if e.Level != LevelRegion || o.Level != LevelDataCentre {
		return true
	}
	for _, p := range d.DataCentres {
		if string(p.ID) == o.Node {
			return p.Region == e.Node
		}
	}
	return false
}
