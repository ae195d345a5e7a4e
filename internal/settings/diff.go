package settings

import (
	"fmt"
	"strings"

	"kumquatwing/internal/model"
)

// Difference is one change between two sets of declarations.
type Difference struct {
	// Level and Node say where the change is made.
	Level Level  `json:"level"`
	Node  string `json:"node,omitempty"`
	// Field is the setting's name, or what else changes of the node.
	Field string `json:"field"`
	// Old and New are formatted with units; empty where there is none.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
	// For says who is affected.
	For string `json:"for"`
}

// String formats d as one line.
func (d Difference) String() string {
	where := string(d.Level)
	if d.Node != "" {
		where += " " + d.Node
	}
	return fmt.Sprintf("%s: %s: %s -> %s (for %s)", where, d.Field, orNone(d.Old), orNone(d.New), d.For)
}

func orNone(s string) string {
	if s == "" {
		return "none"
	}
	return s
}

// Diff lists what changes from before to after, top level first. Both must be
// valid and sorted.
func Diff(before, after *Declarations) []Difference {
	var list []Difference
	list = append(list, diffPlaces(before, after)...)
	list = append(list, diffWorkspaces(before, after)...)
	list = append(list, diffQueues(before, after)...)
	return append(list, diffEntries(before, after)...)
}

// pair joins what two sorted lists hold under one key; a side that lacks it
// has no value.
type pair[T any] struct {
	key           string
	before, after *T
}

// pairs merges two lists sorted by key.
func pairs[T any](before, after []T, key func(*T) string, less func(a, b *T) bool) []pair[T] {
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

func diffPlaces(before, after *Declarations) []Difference {
	key := func(p *Place) string { return string(p.ID) }
	less := func(a, b *Place) bool { return a.ID < b.ID }
	region := func(p *Place) string {
		if p == nil {
			return ""
		}
		return p.Region
	}
	var list []Difference
	for _, p := range pairs(before.DataCentres, after.DataCentres, key, less) {
		d := Difference{
			Level: LevelDataCentre, Node: p.key, Field: "region",
			Old: region(p.before), New: region(p.after), For: "data centre " + p.key,
		}
		list = appendChanged(list, d)
	}
	return list
}

func appendChanged(list []Difference, d Difference) []Difference {
	if d.Old == d.New {
		return list
	}
	return append(list, d)
}

func diffWorkspaces(before, after *Declarations) []Difference {
	key := func(t *model.Workspace) string { return string(t.ID) }
	less := func(a, b *model.Workspace) bool { return a.ID < b.ID }
	var list []Difference
	for _, p := range pairs(before.Workspaces, after.Workspaces, key, less) {
		d := Difference{Level: LevelWorkspace, Node: p.key, For: "workspace " + p.key}
		d.Field, d.Old, d.New = "share", share(p.before), share(p.after)
		list = appendChanged(list, d)
		d.Field, d.Old, d.New = "limit", limit(p.before), limit(p.after)
		list = appendChanged(list, d)
	}
	return list
}

func share(t *model.Workspace) string {
	if t == nil {
		return ""
	}
	return fmt.Sprint(t.Share)
}

func limit(t *model.Workspace) string {
	if t == nil {
		return ""
	}
	return t.Limit.String()
}

func diffQueues(before, after *Declarations) []Difference {
	key := func(q *model.Queue) string { return string(q.Name) }
	less := func(a, b *model.Queue) bool { return a.Name < b.Name }
	var list []Difference
	for _, p := range pairs(before.Queues, after.Queues, key, less) {
		d := Difference{
			Level: LevelFleet, Field: "queue " + p.key,
			Old: queueText(p.before), New: queueText(p.after), For: "callers of queue " + p.key,
		}
		list = appendChanged(list, d)
	}
	return list
}

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
	for _, p := range pairs(before.Settings, after.Settings, key, less) {
		e := p.after
		if e == nil {
			e = p.before
		}
		d := Difference{
			Level: e.Level, Node: e.Node, Field: p.key,
			Old: entryText(p.before), New: entryText(p.after), For: after.affected(e),
		}
		list = appendChanged(list, d)
	}
	return list
}

func entryText(e *Entry) string {
	if e == nil {
		return ""
	}
	return FormatValue(byName[e.Name].Type, e.Value.Int)
}

// affected says for whom a value counts: the node and all below it, but for
// those that set the same name themselves.
func (d *Declarations) affected(e *Entry) string {
	who := string(e.Level) + " " + e.Node
	if e.Level == LevelFleet {
		who = "the whole fleet"
	}
	var except []string
	for _, o := range d.Settings {
		if o.Name == e.Name && d.below(o, e) {
			except = append(except, string(o.Level)+" "+o.Node)
		}
	}
	if len(except) == 0 {
		return who
	}
	return who + " except " + strings.Join(except, ", ")
}

// below reports whether o's node overrides e's for somebody.
func (d *Declarations) below(o Entry, e *Entry) bool {
	if depth[o.Level] <= depth[e.Level] {
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
