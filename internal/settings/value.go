package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// byteUnits lists the units of sizes, largest first. "B" must come last: it is a
// suffix of the others.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"GiB", 1 << 30},
	{"MiB", 1 << 20},
	{"KiB", 1 << 10},
	{"B", 1},
}

// maxBytes is the largest size that is parsed, far above the bounds of any
// setting.
const maxBytes = int64(1) << 60

// ParseValue parses a value written with its unit and checks its bounds.
func ParseValue(def Definition, text string) (Value, error) {
	n, err := parseTyped(def.Type, text)
	if err != nil {
		return Value{}, err
	}
	v := Value{Int: n}
	return v, Check(def, v)
}

// Check reports whether v is within the bounds of def.
func Check(def Definition, v Value) error {
	if v.Text != "" {
		return fmt.Errorf("text is not a %s", def.Type)
	}
	if v.Int < def.Min || v.Int > def.Max {
		return fmt.Errorf("%s is out of bounds: %s to %s", FormatValue(def.Type, v.Int),
			FormatValue(def.Type, def.Min), FormatValue(def.Type, def.Max))
	}
	return nil
}

// FormatValue formats a value with its unit, in the form that ParseValue parses.
func FormatValue(t Type, n int64) string {
	switch t {
	case TypeDuration:
		return formatDuration(time.Duration(n) * time.Millisecond)
	case TypeBytes:
		return formatBytes(n)
	case TypePercent:
		return strconv.FormatInt(n, 10) + "%"
	case TypeBool:
		return strconv.FormatBool(n != 0)
	}
	return strconv.FormatInt(n, 10)
}

// parseTyped parses text as a value of type t, without checking bounds.
func parseTyped(t Type, text string) (int64, error) {
	switch t {
	case TypeDuration:
		return parseDuration(text)
	case TypeBytes:
		return ParseBytes(text)
	case TypePercent:
		return parsePercent(text)
	case TypeBool:
		return parseBool(text)
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%q is not a whole number", text)
	}
	return n, nil
}

// parseDuration returns milliseconds. Unlike time.ParseDuration it refuses "0",
// which has no unit.
func parseDuration(text string) (int64, error) {
	d, err := time.ParseDuration(text)
	if err != nil || text == "0" {
		return 0, fmt.Errorf("%q is not a duration with a unit, such as 500ms, 3s or 2m", text)
	}
	if d%time.Millisecond != 0 {
		return 0, fmt.Errorf("%q is not a whole number of milliseconds", text)
	}
	return d.Milliseconds(), nil
}

// ParseBytes parses a size such as 64KiB and returns bytes.
func ParseBytes(text string) (int64, error) {
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(text, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(digits, 10, 64)
		if err != nil || n < 0 || n > maxBytes/u.bytes {
			break
		}
		return n * u.bytes, nil
	}
	return 0, fmt.Errorf("%q is not a size with a unit, such as 512B, 64KiB, 16MiB or 2GiB", text)
}

func parsePercent(text string) (int64, error) {
	digits, ok := strings.CutSuffix(text, "%")
	n, err := strconv.ParseInt(digits, 10, 64)
	if !ok || err != nil {
		return 0, fmt.Errorf("%q is not a whole percentage, such as 20%%", text)
	}
	return n, nil
}

func parseBool(text string) (int64, error) {
	switch text {
	case "true":
		return 1, nil
	case "false":
		return 0, nil
	}
	return 0, fmt.Errorf("%q is neither true nor false", text)
}

// formatDuration formats d in the largest unit of which it is a whole multiple,
// for example 2h where time.Duration gives 2h0m0s.
func formatDuration(d time.Duration) string {
	units := []struct {
		suffix string
		size   time.Duration
	}{{"h", time.Hour}, {"m", time.Minute}, {"s", time.Second}}
	for _, u := range units {
		if d != 0 && d%u.size == 0 {
			return fmt.Sprintf("%d%s", d/u.size, u.suffix)
		}
	}
	return fmt.Sprintf("%dms", d.Milliseconds())
}

// formatBytes formats n in the largest unit of which it is a whole multiple.
func formatBytes(n int64) string {
	for _, u := range byteUnits {
		if n != 0 && n%u.bytes == 0 {
			return fmt.Sprintf("%d%s", n/u.bytes, u.suffix)
		}
	}
	return "0B"
}
