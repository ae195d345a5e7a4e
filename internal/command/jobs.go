package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"kumquatwing/internal/api"
	"kumquatwing/internal/clock"
	"kumquatwing/internal/fleet"
	"kumquatwing/internal/model"
	"kumquatwing/internal/program"
	"kumquatwing/internal/settings"
	"kumquatwing/internal/verdict"
)

func (a *app) jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, cancel and follow jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job for the workspace of --key", Flags: submitFlags(), Action: a.submitJob,
				Description: "kqctl generates the job's id and uses it for all retries, so that the job is accepted once.",
			},
			{Name: "cancel", Usage: "request the cancellation of all the given jobs, or of none", ArgsUsage: "JOB...", Action: a.cancelJobs},
			{
				Name: "status", Usage: "show a job and its tasks", ArgsUsage: "JOB", Action: a.jobStatus,
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "wait", Usage: "wait until the job has ended"},
					&cli.DurationFlag{Name: "wait-timeout", Usage: "time limit of --wait", Value: defaultWait},
				},
			},
			{
				Name: "list", Usage: "list jobs", Action: a.listJobs,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "finished", Usage: "include finished jobs"}},
			},
		},
	}
}

func submitFlags() []cli.Flag {
	id := &cli.StringFlag{Name: "id", Usage: "`ID` of the job; to repeat a submission that got no response, give its id"}
	return append([]cli.Flag{id}, jobFlags()...)
}

// jobFlags returns the flags that describe a job.
func jobFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "class", Usage: "service, batch, gang or urgent", Value: string(model.ClassBatch)},
		&cli.StringFlag{Name: "workload", Usage: "workload of the job, the settings level below the workspace"},
		&cli.IntFlag{Name: "tasks", Usage: "number of tasks", Value: 1},
		&cli.StringFlag{Name: "cpu", Usage: "cores of each task, such as 2, 0.5 or 500m", Value: "1"},
		&cli.StringFlag{Name: "memory", Usage: "memory of each task, such as 512MiB", Value: "512MiB"},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of each task"},
		&cli.DurationFlag{Name: "run", Usage: "declared run time of each task; not for a service"},
		&cli.BoolFlag{Name: "idempotent", Usage: "allow a task that may have run to be started again"},
		&cli.IntFlag{Name: "min-running", Usage: "tasks of a service that must stay running during a planned move"},
		&cli.StringSliceFlag{Name: "dc", Usage: "data centre in which the job may run; may be repeated"},
		&cli.StringFlag{Name: "payload", Usage: "text that is passed to the worker unchanged"},
	}
}

// parseJobSpec returns the job that the flags describe. The error lists all invalid
// flags.
func parseJobSpec(cmd *cli.Command) (*model.JobSpec, error) {
	var v program.SettingsValidator
	cpu, err := settings.ParseCPU(cmd.String("cpu"))
	v.Check("--cpu", err)
	memory, err := settings.ParseMemory(cmd.String("memory"))
	v.Check("--memory", err)
	if class := model.Class(cmd.String("class")); !class.Valid() {
		v.Add("--class is %q, not service, batch, gang or urgent", class)
	}
	if n := cmd.Int("tasks"); n < 1 || n > fleet.MaxTasks {
		v.Add("--tasks is %d, not 1 to %d", n, fleet.MaxTasks)
	}
	if n := cmd.Int64("accelerators"); n < 0 {
		v.Add("--accelerators is %d, not at least 0", n)
	}
	if n := cmd.Int("min-running"); n < 0 {
		v.Add("--min-running is %d, not at least 0", n)
	}
	if d := cmd.Duration("run"); d < 0 {
		v.Add("--run is %s, not at least 0s", d)
	}
	if err := v.Err(); err != nil {
		return nil, &usageError{err}
	}
	spec := &model.JobSpec{
		ID:         model.JobID(cmd.String("id")),
		Workload:   model.Workload(cmd.String("workload")),
		Class:      model.Class(cmd.String("class")),
		Tasks:      cmd.Int("tasks"),
		Size:       model.Resources{MilliCPU: cpu, MemoryMB: memory, Accelerators: cmd.Int64("accelerators")},
		RunMillis:  cmd.Duration("run").Milliseconds(),
		Idempotent: cmd.Bool("idempotent"),
		MinRunning: cmd.Int("min-running"),
		Payload:    cmd.String("payload"),
	}
	for _, dc := range cmd.StringSlice("dc") {
		spec.DataCentres = append(spec.DataCentres, model.DCID(dc))
	}
	if spec.ID == "" {
		spec.ID = model.JobID(uuid.NewString())
	}
	return spec, nil
}

func (a *app) submitJob(ctx context.Context, cmd *cli.Command) error {
	if _, err := exactArgs(cmd); err != nil {
		return err
	}
	spec, err := parseJobSpec(cmd)
	if err != nil {
		return err
	}
	var response api.JobAnswer
	raw, err := a.send(ctx, apiCall{method: http.MethodPost, path: api.PathJobs, body: spec}, &response)
	if err != nil {
		if verdict.FromError(err).Verdict == verdict.MayHaveRun {
			fmt.Fprintf(a.stderr, "kqctl: send it again with --id %s\n", spec.ID)
		}
		return err
	}
	a.print(raw, string(response.Job))
	return nil
}

func jobPath(id string) string {
	return strings.Replace(api.PathJob, "{job}", url.PathEscape(id), 1)
}

func (a *app) cancelJobs(ctx context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return usagef("%s needs the ids of jobs", cmd.FullName())
	}
	body := &api.CancelCall{}
	for _, id := range cmd.Args().Slice() {
		body.Jobs = append(body.Jobs, model.JobID(id))
	}
	raw, err := a.send(ctx, apiCall{method: http.MethodPost, path: api.PathCancelJobs, body: body}, nil)
	if err != nil {
		return err
	}
	a.print(raw, "cancellation of "+strings.Join(cmd.Args().Slice(), ", ")+" is accepted")
	return nil
}

func (a *app) jobStatus(ctx context.Context, cmd *cli.Command) error {
	args, err := exactArgs(cmd, "JOB")
	if err != nil {
		return err
	}
	if !cmd.Bool("wait") {
		status, err := a.readJob(ctx, args[0])
		if err != nil {
			return err
		}
		return a.printJob(ctx, status)
	}
	return a.waitJob(ctx, args[0], cmd.Duration("wait-timeout"))
}

func (a *app) readJob(ctx context.Context, id string) (*api.JobStatus, error) {
	var status api.JobStatus
	_, err := a.send(ctx, apiCall{method: http.MethodGet, path: jobPath(id)}, &status)
	return &status, err
}

// waitJob polls the status of a job until the job has ended, and prints it. After
// wait it returns a pendingError.
func (a *app) waitJob(ctx context.Context, id string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := a.readJob(ctx, id)
		if err == nil && status.Outcome != model.OutcomeNone {
			return a.printJob(ctx, status)
		}
		if err != nil && !retryable(verdict.FromError(err)) {
			return err
		}
		if !clock.Sleep(ctx, pollInterval) {
			return &pendingError{fmt.Sprintf("job %s has not ended", id)}
		}
	}
}

// tasksResponse is the response to a call for the tasks of a job.
type tasksResponse struct {
	Tasks []model.Task `json:"tasks"`
	// Silent lists the data centres that did not respond; their tasks are missing.
	Silent []model.DCID `json:"silent"`
}

// printJob prints a job with its tasks. It requests the tasks once; if the request
// fails, it prints the job with the error instead of the tasks.
func (a *app) printJob(ctx context.Context, status *api.JobStatus) error {
	var tasks tasksResponse
	path := strings.Replace(api.PathJobTasks, "{job}", url.PathEscape(string(status.Spec.ID)), 1)
	_, err := a.send(ctx, apiCall{method: http.MethodGet, path: path, noRetry: true}, &tasks)
	status.Tasks = tasks.Tasks
	lines := jobLines(status)
	if err != nil {
		lines = append(lines, "  tasks are unknown: "+err.Error())
	}
	for _, dc := range tasks.Silent {
		lines = append(lines, "  tasks in data centre "+string(dc)+" are unknown")
	}
	raw, err := encodeBody(status)
	if err != nil {
		return err
	}
	a.print(append(raw, '\n'), lines...)
	return nil
}

func jobLines(s *api.JobStatus) []string {
	lines := []string{jobLine(s)}
	for _, task := range s.Tasks {
		line := fmt.Sprintf("  %s %s", task.ID, task.State)
		if task.Worker != "" {
			line += " on " + string(task.Worker)
		}
		if task.Outcome != "" {
			line += " " + string(task.Outcome)
		}
		if task.Reason != "" {
			line += ": " + task.Reason
		}
		lines = append(lines, line)
	}
	return lines
}

func jobLine(s *api.JobStatus) string {
	outcome := "unfinished"
	if s.Outcome != "" {
		outcome = string(s.Outcome)
	}
	line := fmt.Sprintf("%s %s workspace %s, %d tasks of %s, %s", s.Spec.ID, s.Spec.Class, s.Spec.Workspace,
		s.Spec.Tasks, s.Spec.Size, outcome)
	if s.Reason != "" {
		line += ": " + s.Reason
	}
	return line
}

func (a *app) listJobs(ctx context.Context, cmd *cli.Command) error {
	path := api.PathJobs
	if cmd.Bool("finished") {
		path += "?finished=true"
	}
	var response api.JobsAnswer
	raw, err := a.send(ctx, apiCall{method: http.MethodGet, path: path}, &response)
	if err != nil {
		return err
	}
	var lines []string
	for i := range response.Jobs {
		lines = append(lines, jobLine(&response.Jobs[i]))
	}
	if response.Left > 0 {
		lines = append(lines, fmt.Sprintf("and %d older jobs", response.Left))
	}
	a.print(raw, lines...)
	return nil
}
