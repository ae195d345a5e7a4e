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

// Executions is the number of times that backend servers executed each request.
type Executions map[model.RequestID]int

// ReadExecutions adds the counts that a fake backend server wrote, in lines of the
// form "id count".
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

// ReadAttempts reads the log of a fake caller, which has one JSON object per line.
func ReadAttempts(r io.Reader) ([]caller.Attempt, error) {
	var attempts []caller.Attempt
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		var t caller.Attempt
		if err := json.Unmarshal(lines.Bytes(), &t); err != nil {
			return nil, err
		}
		attempts = append(attempts, t)
	}
	return attempts, lines.Err()
}

// CheckRequests reports wrong responses, requests that were refused as not-run but
// were executed, and requests that are not idempotent but were executed more than
// once.
func CheckRequests(attempts []caller.Attempt, executions Executions) []Violation {
	var out []Violation
	out = append(out, executedTwice(attempts, executions)...)
	for i := range attempts {
		t := &attempts[i]
		if t.Wrong {
			out = append(out, Violation{RuleResponse, fmt.Sprintf("the response to request %d belongs to another request or is incomplete", t.Request)})
		}
		if t.Once && t.ID != "" && t.Verdict == verdict.NotRun && !t.Answered && executions[t.ID] > 0 {
			out = append(out, Violation{RuleNotRun, fmt.Sprintf(
				"request %s was refused as not-run (%s) but executed %d times", t.ID, t.Reason, executions[t.ID])})
		}
	}
	return out
}

// executedTwice reports requests that are not idempotent but were executed more than
// once.
func executedTwice(attempts []caller.Attempt, executions Executions) []Violation {
	var out []Violation
	seen := map[model.RequestID]bool{}
	for i := range attempts {
		t := &attempts[i]
		if !t.Once || t.ID == "" || seen[t.ID] {
			continue
		}
		seen[t.ID] = true
		if executions[t.ID] > 1 {
			out = append(out, Violation{RuleAtMostOnce, fmt.Sprintf("request %s was executed %d times", t.ID, executions[t.ID])})
		}
	}
	return out
}

// AcceptedWithRevokedKey reports attempts with a revoked key that began after
// fromMS, when the revocation had to be in force, and got a response of a backend
// server.
func AcceptedWithRevokedKey(attempts []caller.Attempt, fromMS int64) []Violation {
	var out []Violation
	for i := range attempts {
		t := &attempts[i]
		if t.Answered && t.StartMS > fromMS {
			out = append(out, Violation{RuleRevokedKey, fmt.Sprintf(
				"request %d was accepted at %d ms by %s, %d ms after the revocation of its key had to be in force",
				t.Request, t.StartMS, t.Entry, t.StartMS-fromMS)})
		}
	}
	return out
}
