// Package docs holds the pages; its tests compare them with the source, so that
// no reason, event, metric, flag or alarm is missing on the operators' page.
package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/goccy/go-yaml"
)

const operating = "OPERATIONS.md"

// source returns the text of all Go files below the given folders, except tests.
func source(t *testing.T, folders ...string) string {
	t.Helper()
	var text strings.Builder
	for _, folder := range folders {
		err := filepath.WalkDir(filepath.Join("..", folder), func(path string, d os.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			b, err := os.ReadFile(path)
			text.Write(b)
			return err
		})
		qt.Assert(t, err, qt.IsNil)
	}
	return text.String()
}

func page(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(name)
	qt.Assert(t, err, qt.IsNil)
	return string(b)
}

// found returns the first group of all matches, each once.
func found(text, pattern string) []string {
	var out []string
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out = append(out, m[1])
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// TestOperatingPageIsComplete looks for each name that the source defines.
func TestOperatingPageIsComplete(t *testing.T) {
	text := page(t, operating)
	cases := []struct {
		name    string
		folders []string
		pattern string
		prefix  string
		atLeast int
	}{
		{"reasons", []string{"internal"}, `\bReason\w+ +(?:verdict\.)?(?:Reason )?= "([a-z-]+)"`, "", 45},
		{"events", []string{"internal"}, `(?:Kind\w*|vent\w+) +(?:eventlog\.)?(?:Kind )?= "([a-z]+\.[a-z-]+)"`, "", 30},
		{"kqcontrol metrics", []string{"internal/control"}, `"(kq_[a-z_]+)"`, "", 9},
		{"kqentry metrics", []string{"internal/entry"}, `(?:Namespace: namespace, Name: |gauge\()"([a-z_]+)"`, "kqentry_", 8},
		{"flags", []string{"internal/program", "internal/control", "internal/entry"}, `Flag\{Name: "([a-z-]+)"`, "--", 17},
		{"variables", []string{"internal/program", "internal/control", "internal/entry"}, `"(KQ_[A-Z_]+)"`, "", 18},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			names := found(source(t, k.folders...), k.pattern)
			qt.Assert(t, len(names) >= k.atLeast, qt.IsTrue, qt.Commentf("found only %d: %v", len(names), names))
			for _, name := range names {
				qt.Check(t, strings.Contains(text, "`"+k.prefix+name+"`"), qt.IsTrue, qt.Commentf("%s%s is missing", k.prefix, name))
			}
		})
	}
}

// rules is the part of deploy/alerts.yaml that is checked.
type rules struct {
	Groups []struct {
		Rules []struct {
			Alert string `yaml:"alert"`
			Expr  string `yaml:"expr"`
		} `yaml:"rules"`
	} `yaml:"groups"`
}

// TestAlarms checks that each alarm is explained and reads metrics that exist.
func TestAlarms(t *testing.T) {
	var r rules
	qt.Assert(t, yaml.Unmarshal([]byte(page(t, "../deploy/alerts.yaml")), &r), qt.IsNil)
	qt.Assert(t, r.Groups, qt.HasLen, 1)
	text := page(t, operating)
	for _, rule := range r.Groups[0].Rules {
		qt.Check(t, strings.Contains(text, "`"+rule.Alert+"`"), qt.IsTrue, qt.Commentf("%s", rule.Alert))
		metrics := found(rule.Expr, `(kq(?:entry)?_[a-z_]+)`)
		qt.Check(t, len(metrics) > 0, qt.IsTrue, qt.Commentf("%s", rule.Alert))
		for _, m := range metrics {
			m = strings.TrimSuffix(m, "_bucket")
			qt.Check(t, strings.Contains(text, "`"+m+"`"), qt.IsTrue, qt.Commentf("%s reads %s", rule.Alert, m))
		}
	}
	qt.Assert(t, len(r.Groups[0].Rules), qt.Equals, strings.Count(text, "| `Kq"))
}

// TestEnvironmentFiles checks that the examples set only what a binary reads.
func TestEnvironmentFiles(t *testing.T) {
	known := found(source(t, "internal/program", "internal/control", "internal/entry"), `"(KQ_[A-Z_]+)"`)
	files, err := filepath.Glob("../deploy/*.env")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, files, qt.HasLen, 3)
	for _, f := range files {
		for _, name := range found(page(t, f), `(?m)^(KQ_[A-Z_]+)=`) {
			qt.Check(t, slices.Contains(known, name), qt.IsTrue, qt.Commentf("%s sets %s", f, name))
		}
	}
}

// TestLinksLeadSomewhere checks that the links between the pages have targets.
func TestLinksLeadSomewhere(t *testing.T) {
	files, err := filepath.Glob("*.md")
	qt.Assert(t, err, qt.IsNil)
	files = append(files, "../README.md", "../CONTRIBUTING.md")
	for _, f := range files {
		for _, target := range found(page(t, f), `\]\(([^)]+)\)`) {
			if strings.HasPrefix(target, "http") {
				continue
			}
			name, _, _ := strings.Cut(target, "#")
			if name == "" {
				continue
			}
			_, err := os.Stat(filepath.Join(filepath.Dir(f), name))
			qt.Check(t, err, qt.IsNil, qt.Commentf("%s links to %s", f, target))
		}
	}
}
