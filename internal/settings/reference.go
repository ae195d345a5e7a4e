package settings

import (
	"fmt"
	"strings"
)

// Reference returns the reference page of all settings in Markdown, generated
// from the schema.
func Reference() string {
	var b strings.Builder
	b.WriteString(referenceHead)
	b.WriteString("| setting | type | default | from | to | lowest level | what it is |\n")
	b.WriteString("| --- | --- | --- | --- | --- | --- | --- |\n")
	for _, d := range definitions {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s | %s |\n", d.Name, d.Type,
			FormatValue(d.Type, d.Default.Int), FormatValue(d.Type, d.Min), FormatValue(d.Type, d.Max),
			d.Lowest, d.Doc)
	}
	return b.String()
}

const referenceHead = `# Settings

Made by ` + "`kqctl settings reference`" + ` from the schema; don't edit it by hand.

A setting can be set at the levels fleet, region, data centre, workspace and
workload, down to the lowest level that its row names. The lowest level that
sets it decides. Durations, sizes and percentages are written with their unit:
` + "`500ms`, `3s`, `2m`, `64KiB`, `16MiB`, `20%`" + `.

`
