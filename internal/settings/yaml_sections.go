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
	// milliDigits is the number of decimal places of a thousandth.
	milliDigits = 3
)

var corePattern = regexp.MustCompile(`^[0-9]{1,12}(\.[0-9]{1,3})?$`)

// readDocument reads the top-level mapping of a YAML document.
func (r *reader) readDocument(body ast.Node) {
	for _, f := range r.fields(body, "") {
		switch f.key {
		case "settings":
			r.readSettings(f, LevelFleet, "")
		case "regions":
			r.readEach(f, r.readRegion)
		case "workspaces":
			r.readEach(f, r.readWorkspace)
		case "queues":
			r.readEach(f, r.readQueue)
		default:
			r.addUnknownField(f, "settings, regions, workspaces, queues")
		}
	}
}

// addUnknownField records a fault for a field that is not in the list known.
func (r *reader) addUnknownField(f field, known string) {
	r.addFault(f.value, f.path, "unknown field; expected one of: %s", known)
}

// readEach calls read for every field of the mapping f.
func (r *reader) readEach(f field, read func(field)) {
	for _, child := range r.fields(f.value, f.path+".") {
		read(child)
	}
}

func (r *reader) readRegion(f field) {
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "settings":
			r.readSettings(c, LevelRegion, f.key)
		case "data-centres":
			r.readEach(c, func(dc field) { r.readDataCentre(dc, f.key) })
		default:
			r.addUnknownField(c, "settings, data-centres")
		}
	}
}

// readDataCentre reads a data centre. Its position is also stored under the path
// without the region, since an Entry does not contain the region.
func (r *reader) readDataCentre(f field, region string) {
	r.decls.DataCentres = append(r.decls.DataCentres, DataCentre{ID: model.DCID(f.key), Region: region})
	r.positions[dataCentresPath+f.key] = r.positions[f.path]
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "settings":
			r.readSettings(c, LevelDataCentre, f.key)
		default:
			r.addUnknownField(c, "settings")
		}
	}
}

func (r *reader) readWorkspace(f field) {
	ws := model.Workspace{ID: model.WorkspaceID(f.key), Share: 1}
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "share":
			ws.Share = r.readInteger(c)
		case "limit":
			ws.Limit = r.readLimit(c)
		case "settings":
			r.readSettings(c, LevelWorkspace, f.key)
		case "workloads":
			r.readEach(c, func(w field) { r.readWorkload(w, ws.ID) })
		default:
			r.addUnknownField(c, "share, limit, settings, workloads")
		}
	}
	r.decls.Workspaces = append(r.decls.Workspaces, ws)
}

func (r *reader) readWorkload(f field, workspace model.WorkspaceID) {
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "settings":
			r.readSettings(c, LevelWorkload, WorkloadNode(workspace, model.Workload(f.key)))
		default:
			r.addUnknownField(c, "settings")
		}
	}
}

func (r *reader) readQueue(f field) {
	q := model.Queue{Name: model.QueueName(f.key)}
	for _, c := range r.fields(f.value, f.path+".") {
		switch c.key {
		case "open":
			q.Open = r.readBool(c)
		case "workspace":
			text, _ := r.scalar(c)
			q.Workspace = model.WorkspaceID(text)
		case "workload":
			text, _ := r.scalar(c)
			q.Workload = model.Workload(text)
		default:
			r.addUnknownField(c, "open, workspace, workload")
		}
	}
	r.decls.Queues = append(r.decls.Queues, q)
}

// readSettings reads the values set at one node. A value that can't be read is
// recorded as a fault and left out.
func (r *reader) readSettings(f field, level Level, nodeName string) {
	for _, c := range r.fields(f.value, f.path+".") {
		text, ok := r.scalar(c)
		if !ok {
			continue
		}
		def, known := definitionByName[Name(c.key)]
		if !known {
			r.addFault(c.value, c.path, "there is no setting %q", c.key)
			continue
		}
		v, err := ParseValue(def, text)
		if err != nil {
			r.addFault(c.value, c.path, "%v", err)
			continue
		}
		e := Entry{Level: level, Node: nodeName, Name: def.Name, Value: v}
		r.decls.Settings = append(r.decls.Settings, e)
		if _, placed := r.positions[entryField(e)]; !placed {
			r.positions[entryField(e)] = r.positions[c.path]
		}
	}
}

// readInteger returns the integer in f. If there is none, it records a fault and
// returns 1: a valid share, so that validation adds no second fault.
func (r *reader) readInteger(f field) int64 {
	text, ok := r.scalar(f)
	if !ok {
		return 1
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.addFault(f.value, f.path, "%q is not a whole number", text)
		return 1
	}
	return n
}

// readBool returns the boolean in f. If there is none, it records a fault and
// returns false.
func (r *reader) readBool(f field) bool {
	text, ok := r.scalar(f)
	if !ok {
		return false
	}
	n, err := parseBool(text)
	if err != nil {
		r.addFault(f.value, f.path, "%v", err)
	}
	return n != 0
}

// readLimit reads the resource limit of a workspace: cpu in cores ("1.5") or
// thousandths of a core ("1500m"), memory in whole MiB, accelerators as a count.
func (r *reader) readLimit(f field) model.Resources {
	var out model.Resources
	for _, c := range r.fields(f.value, f.path+".") {
		var amount *int64
		var parse func(string) (int64, error)
		switch c.key {
		case "cpu":
			amount, parse = &out.MilliCPU, ParseCPU
		case "memory":
			amount, parse = &out.MemoryMB, ParseMemory
		case "accelerators":
			amount, parse = &out.Accelerators, func(s string) (int64, error) { return parseTyped(TypeInt, s) }
		default:
			r.addUnknownField(c, "cpu, memory, accelerators")
			continue
		}
		text, ok := r.scalar(c)
		if !ok {
			continue
		}
		n, err := parse(text)
		if err != nil {
			r.addFault(c.value, c.path, "%v", err)
		}
		*amount = n
	}
	return out
}

// ParseCPU parses a number of cores ("2", "1.5") or of thousandths of a core
// ("1500m") and returns thousandths of a core.
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
	milli, err := strconv.ParseInt((fraction + "000")[:milliDigits], 10, 64)
	return cores*milliPerCore + milli, err
}

// ParseMemory parses a size with a unit ("512MiB", "2GiB") and returns MiB. The
// size must be a whole number of MiB.
func ParseMemory(text string) (int64, error) {
	n, err := ParseBytes(text)
	if err != nil {
		return 0, err
	}
	if n%bytesPerMiB != 0 {
		return 0, fmt.Errorf("%q is not a whole number of MiB", text)
	}
	return n / bytesPerMiB, nil
}
