package program

import (
	"bytes"
	"context"
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/urfave/cli/v3"
)

// TestExitCodes checks the exit code and the message on stderr for each kind of
// result.
func TestExitCodes(t *testing.T) {
	cases := []struct {
		name   string
		args   []string
		err    error
		code   int
		stderr string
	}{
		{"done", nil, nil, ExitOK, ""},
		{"failed", nil, errors.New("address in use"), ExitFailed, "kqx: address in use\n"},
		{"error with an exit code", nil, cli.Exit("lost", 7), 7, "kqx: lost\n"},
		{"usage", nil, Usagef("no %s", "folder"), ExitUsage, "kqx: no folder\n"},
		{"settings", nil, &SettingsError{[]string{"--vm is missing", "--dc is missing"}}, ExitUsage, "kqx: bad flags:\n  --vm is missing\n  --dc is missing\n"},
		{"unknown flag", []string{"--nonsense"}, nil, ExitUsage, "kqx: flag provided but not defined: -nonsense\n"},
		{"bad value", []string{"--n", "x"}, nil, ExitUsage, `kqx: invalid value "x" for flag -n: .*\n`},
		{"unexpected argument", []string{"vm=a"}, nil, ExitUsage, "kqx: unexpected argument \"vm=a\"\n"},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) {
			var stdout, stderr bytes.Buffer
			cmd := &cli.Command{
				Name:   "kqx",
				Writer: &stdout,
				Flags:  []cli.Flag{&cli.IntFlag{Name: "n"}},
				Action: func(context.Context, *cli.Command) error { return k.err },
			}
			code := Run(cmd, append([]string{"kqx"}, k.args...), &stderr)
			qt.Assert(t, code, qt.Equals, k.code)
			qt.Assert(t, stderr.String(), qt.Matches, "(?s)"+k.stderr)
			qt.Assert(t, stdout.String(), qt.Equals, "")
		})
	}
}

// TestAddr checks which addresses Addr and AddrOrAnyPort accept.
func TestAddr(t *testing.T) {
	cases := []struct {
		addr    string
		fixed   string
		anyPort string
	}{
		{"127.0.0.1:7100", "", ""},
		{"[::1]:7100", "", ""},
		{"127.0.0.1:0", "a port is needed", ""},
		{"", "is missing", "is missing"},
		{"127.0.0.1", "of the form IP:port", "of the form IP:port"},
		{"127.0.0.1:", "of the form IP:port", "of the form IP:port"},
		{"localhost:7100", "is not an IP address", "is not an IP address"},
		{"127.0.0.1:70000", "is not a port", "is not a port"},
	}
	for _, k := range cases {
		t.Run(k.addr, func(t *testing.T) {
			var fixed, anyPort SettingsValidator
			fixed.Addr("--http", k.addr)
			anyPort.AddrOrAnyPort("--http", k.addr)
			checkError(t, fixed.Err(), k.fixed)
			checkError(t, anyPort.Err(), k.anyPort)
		})
	}
}

func checkError(t *testing.T, err error, want string) {
	t.Helper()
	if want == "" {
		qt.Assert(t, err, qt.IsNil)
		return
	}
	qt.Assert(t, err, qt.ErrorMatches, "(?s).*--http.*"+want+".*")
}
