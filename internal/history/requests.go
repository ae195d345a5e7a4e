package history

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"

	"kumquatwing/internal/fake/caller"
	"kumquatwing/internal/model"
	"kumquatwing/internal/verdict"
)

// Executions is how often backend servers ran each request.
type Executions map[model.RequestID]int

// ReadExecutions adds the lines "id count" that a fake backend server wrote.
func (x Executions) ReadExecutions(r io.Reader) error {
	for {
		var id model.RequestID
		var n int
		_, err := fmt.Fscanln(r, &id, &n)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		x[id] += n
	}
}

// ReadTries reads the lines that a fake caller logged.
func ReadTries(r io.Reader) ([]caller.Try, error) {
	var tries []caller.Try
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var t caller.Try
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return nil, err
		}
		tries = append(tries, t)
	}
	return tries, lines.Err()
}

// Requests checks callers' tries against what backend servers ran.
func Requests(tries []caller.Try, ran Executions) []Violation {
	var out []Violation
	out = append(out, ranTwice(tries, ran)...)
	for i := range tries {
		t := &tries[i]
		if t.Wrong {
			out = append(out, Violation{RuleAnswer, fmt.Sprintf("request %d got an answer that was not its own or not whole", t.Request)})
		}
		if t.Once && t.ID != "" && t.Verdict == verdict.NotRun && !t.Answered && ran[t.ID] > 0 {
			out = append(out, Violation{RuleNotRun, fmt.Sprintf(
				"request %s was refused as not-run (%s) and ran %d times", t.ID, t.Reason, ran[t.ID])})
		}
	}
	return out
}

func ranTwice(tries []caller.Try, ran Executions) []Violation {
	var out []Violation
	seen := map[model.RequestID]bool{}
	for i := range tries {
		t := &tries[i]
		if !t.Once || t.ID == "" || seen[t.ID] {
			continue
		}
		seen[t.ID] = true
		if ran[t.ID] > 1 {
			out = append(out, Violation{RuleOnce, fmt.Sprintf("request %s ran %d times", t.ID, ran[t.ID])})
		}
	}
	return out
}

// Withdrawn finds answers to tries that began after a key's withdrawal had to
// be in force.
func Withdrawn(tries []caller.Try, fromMS int64) []Violation {
	var out []Violation
	for i := range tries {
		t := &tries[i]
		if t.Answered && t.StartMS > fromMS {
			out = append(out, Violation{RuleKey, fmt.Sprintf(
				"request %d was taken at %d ms by %s, %d ms after the withdrawal had to be in force",
				t.Request, t.StartMS, t.Entry, t.StartMS-fromMS)})
		}
	}
	return out
}
