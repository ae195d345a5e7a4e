package settings

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"kumquatwing/internal/model"
)

const (
	milliPerCore    = 1000
	bytesPerMiB     = int64(1) << 20
	maxCores        = MaxAmount / milliPerCore
	dataCentresPath = "data-centres."
	// fractionDigits is how many digits a thousandth of a core takes.
	fractionDigits = 3
)

var corePattern = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,3})?$`)

// document reads the top level of a file.
func (r *reader) document(body ast.Node) {
	for _, f := range r.fields(body, "") {
		switch f.key {
		case "settings":
			r.settings(f, LevelFleet, "")
		case "regions":
			r.each(f, r.region)
		case "workspaces":
			r.each(f, r.workspace)
		case "queues":
			r.each(f, r.queue)
		default:
			r.unknown(f, "settings, regions, workspaces, queues")
		}
	}
}

func (r *reader) unknown(f field, known string) {
	r.fault(f.value, f.path, "unknown field; known here: %s", known)
}

func (r *reader) each(f field, read func(field)) {
	for _, child := range r.fields(f.value, f.path+".") {
		read(child)
	}
}

func (r *reader) region(f field) {
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "settings":
			r.settings(c, LevelRegion, f.key)
		case "data-centres":
			r.each(c, func(dc field) { r.dataCentre(dc, f.key) })
		default:
			r.unknown(c, "settings, data-centres")
		}
	}
}

func (r *reader) dataCentre(f field, region string) {
	r.d.DataCentres = append(r.d.DataCentres, Place{ID: model.DCID(f.key), Region: region})
	r.places[dataCentresPath+f.key] = r.places[f.path]
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "settings":
			r.settings(c, LevelDataCentre, f.key)
		default:
			r.unknown(c, "settings")
		}
	}
}

func (r *reader) workspace(f field) {
	t := model.Workspace{ID: model.WorkspaceID(f.key), Share: 1}
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "share":
			t.Share = r.integer(c)
		case "limit":
			t.Limit = r.limit(c)
		case "settings":
			r.settings(c, LevelWorkspace, f.key)
		case "workloads":
			r.each(c, func(w field) { r.workload(w, t.ID) })
		default:
			r.unknown(c, "share, limit, settings, workloads")
		}
	}
	r.d.Workspaces = append(r.d.Workspaces, t)
}

func (r *reader) workload(f field, workspace model.WorkspaceID) {
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "settings":
			r.settings(c, LevelWorkload, WorkloadNode(workspace, model.Workload(f.key)))
		default:
			r.unknown(c, "settings")
		}
	}
}

func (r *reader) queue(f field) {
	q := model.Queue{Name: model.QueueName(f.key)}
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "open":
			q.Open = r.flag(c)
		case "workspace":
			text, _ := r.scalar(c)
			q.Workspace = model.WorkspaceID(text)
		case "workload":
			text, _ := r.scalar(c)
			q.Workload = model.Workload(text)
		default:
			r.unknown(c, "open, workspace, workload")
		}
	}
	r.d.Queues = append(r.d.Queues, q)
}

// settings reads the values set at one node.
func (r *reader) settings(f field, level Level, nodeName string) {
	for _, c := range r.fields(f.value, f.path+".") {
		text, ok := r.scalar(c)
		if !ok {
			continue
		}
		def, known := byName[Name(c.key)]
		if !known {
			r.fault(c.value, c.path, "there is no setting %q", c.key)
			continue
		}
		v, err := ParseValue(def, text)
		if err != nil {
			r.fault(c.value, c.path, "%v", err)
			continue
		}
		e := Entry{Level: level, Node: nodeName, Name: def.Name, Value: v}
		r.d.Settings = append(r.d.Settings, e)
		if _, placed := r.places[entryField(e)]; !placed {
			r.places[entryField(e)] = r.places[c.path]
		}
	}
}

func (r *reader) integer(f field) int64 {
	text, ok := r.scalar(f)
	if !ok {
		return 1
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.fault(f.value, f.path, "%q is not a whole number", text)
		return 1
	}
	return n
}

func (r *reader) flag(f field) bool {
	text, ok := r.scalar(f)
	if !ok {
		return false
	}
	n, err := parseBool(text)
	if err != nil {
		r.fault(f.value, f.path, "%v", err)
	}
	return n != 0
}

// limit reads an upper limit: cpu in cores or thousandths ("1500m"), memory as
// a size of whole MiB, accelerators as a count.
func (r *reader) limit(f field) model.Resources {
	var out model.Resources
	for _, c := range r.fields(f.value, f.path+".") {
		var into *int64
		var parse func(string) (int64, error)
		switch c.key {
		case "cpu":
			into, parse = &out.MilliCPU, ParseCPU
		case "memory":
			into, parse = &out.MemoryMB, ParseMemory
		case "accelerators":
			into, parse = &out.Accelerators, func(s string) (int64, error) { return parseTyped(TypeInt, s) }
		default:
			r.unknown(c, "cpu, memory, accelerators")
			continue
		}
		text, ok := r.scalar(c)
		if !ok {
			continue
		}
		n, err := parse(text)
		if err != nil {
			r.fault(c.value, c.path, "%v", err)
		}
		*into = n
	}
	return out
}

// ParseCPU reads cores ("2", "1.5") or thousandths of a core ("1500m") and
// returns thousandths.
func ParseCPU(text string) (int64, error) {
	if digits, ok := strings.CutSuffix(text, "m"); ok {
		n, err := strconv.ParseInt(digits, 10, 64)
		if err == nil && n >= 0 && n <= MaxAmount {
			return n, nil
		}
		return 0, fmt.Errorf("%q is not a number of thousandths of a core, such as 1500m", text)
	}
	if !corePattern.MatchString(text) {
		return 0, fmt.Errorf("%q is not a number of cores, such as 2, 1.5 or 1500m", text)
	}
	whole, fraction, _ := strings.Cut(text, ".")
	cores, err := strconv.ParseInt(whole, 10, 64)
	if err != nil || cores > maxCores {
		return 0, fmt.Errorf("%q is more than %d cores", text, maxCores)
	}
	milli, err := strconv.ParseInt((fraction + "000")[:fractionDigits], 10, 64)
	return cores*milliPerCore + milli, err
}

// ParseMemory reads a size of whole MiB and returns MiB.
func ParseMemory(text string) (int64, error) {
	n, err := ParseBytes(text)
	if err != nil {
		return 0, err
	}
	if n%bytesPerMiB != 0 {
		return 0, fmt.Errorf("%q is not whole MiB", text)
	}
	return n / bytesPerMiB, nil
}
