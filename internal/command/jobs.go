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

func (t *tool) jobCommand() *cli.Command {
	return &cli.Command{
		Name:  "job",
		Usage: "submit, cancel and follow jobs",
		Commands: []*cli.Command{
			{
				Name: "submit", Usage: "submit a job for the workspace of --key", Flags: submitFlags(), Action: t.submitJob,
				Description: "The job's id is made here and kept over all resends, so that the job is taken once.",
			},
			{Name: "cancel", Usage: "ask for the end of jobs, of all or none", ArgsUsage: "JOB...", Action: t.cancelJobs},
			{
				Name: "status", Usage: "show a job and its tasks", ArgsUsage: "JOB", Action: t.jobStatus,
				Flags: []cli.Flag{
					&cli.BoolFlag{Name: "wait", Usage: "return when the job has ended"},
					&cli.DurationFlag{Name: "wait-timeout", Usage: "how long to wait", Value: defaultWait},
				},
			},
			{
				Name: "list", Usage: "list jobs", Action: t.listJobs,
				Flags: []cli.Flag{&cli.BoolFlag{Name: "finished", Usage: "list finished jobs too"}},
			},
		},
	}
}

func submitFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "the job's `ID`; give that of a submission that got no answer to send it again"},
		&cli.StringFlag{Name: "class", Usage: "service, batch, gang or urgent", Value: string(model.ClassBatch)},
		&cli.StringFlag{Name: "workload", Usage: "the settings level below the workspace"},
		&cli.IntFlag{Name: "tasks", Usage: "number of tasks", Value: 1},
		&cli.StringFlag{Name: "cpu", Usage: "cores of each task, such as 2, 0.5 or 500m", Value: "1"},
		&cli.StringFlag{Name: "memory", Usage: "memory of each task, such as 512MiB", Value: "512MiB"},
		&cli.Int64Flag{Name: "accelerators", Usage: "accelerators of each task"},
		&cli.DurationFlag{Name: "run", Usage: "declared run time of each task; none for a service"},
		&cli.BoolFlag{Name: "idempotent", Usage: "a task may be started again after it may have run"},
		&cli.IntFlag{Name: "min-running", Usage: "tasks of a service that a planned move keeps running"},
		&cli.StringSliceFlag{Name: "dc", Usage: "a data centre where the job may run; may be given several times"},
		&cli.StringFlag{Name: "payload", Usage: "text handed to the worker as it is"},
	}
}

// specOf reads a job from the command line. Its error names every fault.
func specOf(cmd *cli.Command) (*model.JobSpec, error) {
	var faults program.Faults
	cpu, err := settings.ParseCPU(cmd.String("cpu"))
	faults.Check("--cpu", err)
	memory, err := settings.ParseMemory(cmd.String("memory"))
	faults.Check("--memory", err)
	if class := model.Class(cmd.String("class")); !class.Valid() {
		faults.Add("--class is %q, not service, batch, gang or urgent", class)
	}
	if n := cmd.Int("tasks"); n < 1 || n > fleet.MaxTasks {
		faults.Add("--tasks is %d, not 1 to %d", n, fleet.MaxTasks)
	}
	if n := cmd.Int64("accelerators"); n < 0 {
		faults.Add("--accelerators is %d, not at least 0", n)
	}
	if n := cmd.Int("min-running"); n < 0 {
		faults.Add("--min-running is %d, not at least 0", n)
	}
	if d := cmd.Duration("run"); d < 0 {
		faults.Add("--run is %s, not at least 0s", d)
	}
	if err := faults.Err(); err != nil {
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

func (t *tool) submitJob(ctx context.Context, cmd *cli.Command) error {
	if _, err := arguments(cmd); err != nil {
		return err
	}
	spec, err := specOf(cmd)
	if err != nil {
		return err
	}
	var answer api.JobAnswer
	raw, err := t.send(ctx, call{method: http.MethodPost, path: api.PathJobs, body: spec}, &answer)
	if err != nil {
		if verdict.From(err).Verdict == verdict.MayHaveRun {
			fmt.Fprintf(t.stderr, "kqctl: send it again with --id %s\n", spec.ID)
		}
		return err
	}
	t.print(raw, string(answer.Job))
	return nil
}

func jobPath(id string) string {
	return strings.Replace(api.PathJob, "{job}", url.PathEscape(id), 1)
}

func (t *tool) cancelJobs(ctx context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return usagef("%s needs the ids of jobs", cmd.FullName())
	}
	body := &api.CancelCall{}
	for _, id := range cmd.Args().Slice() {
		body.Jobs = append(body.Jobs, model.JobID(id))
	}
	raw, err := t.send(ctx, call{method: http.MethodPost, path: api.PathCancelJobs, body: body}, nil)
	if err != nil {
		return err
	}
	t.print(raw, "cancellation of "+strings.Join(cmd.Args().Slice(), ", ")+" is accepted")
	return nil
}

func (t *tool) jobStatus(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, "JOB")
	if err != nil {
		return err
	}
	if !cmd.Bool("wait") {
		status, err := t.readJob(ctx, args[0])
		if err != nil {
			return err
		}
		return t.printJob(ctx, status)
	}
	return t.waitJob(ctx, args[0], cmd.Duration("wait-timeout"))
}

func (t *tool) readJob(ctx context.Context, id string) (*api.JobStatus, error) {
	var status api.JobStatus
	_, err := t.send(ctx, call{method: http.MethodGet, path: jobPath(id)}, &status)
	return &status, err
}

// waitJob polls until a job has ended.
func (t *tool) waitJob(ctx context.Context, id string, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		status, err := t.readJob(ctx, id)
		if err == nil && status.Outcome != model.OutcomeNone {
			return t.printJob(ctx, status)
		}
		if err != nil && !elsewhere(verdict.From(err)) {
			return err
		}
		if !clock.Sleep(ctx, pollPause) {
			return &pendingError{fmt.Sprintf("job %s has not ended", id)}
		}
	}
}

// tasksAnswer is the answer to a call for a job's tasks.
type tasksAnswer struct {
	Tasks []model.Task `json:"tasks"`
	// Silent lists the data centres that could not be asked.
	Silent []model.DCID `json:"silent"`
}

// printJob writes a job with its tasks. The job stands also without them: they
// are asked for once, and what can't be told is said.
func (t *tool) printJob(ctx context.Context, status *api.JobStatus) error {
	var tasks tasksAnswer
	path := strings.Replace(api.PathJobTasks, "{job}", url.PathEscape(string(status.Spec.ID)), 1)
	_, err := t.send(ctx, call{method: http.MethodGet, path: path, once: true}, &tasks)
	status.Tasks = tasks.Tasks
	lines := jobLines(status)
	if err != nil {
		lines = append(lines, "  tasks can't be told: "+err.Error())
	}
	for _, dc := range tasks.Silent {
		lines = append(lines, "  tasks in data centre "+string(dc)+" can't be told")
	}
	raw, err := encodeBody(status)
	if err != nil {
		return err
	}
	t.print(append(raw, '\n'), lines...)
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

func (t *tool) listJobs(ctx context.Context, cmd *cli.Command) error {
	path := api.PathJobs
	if cmd.Bool("finished") {
		path += "?finished=true"
	}
	var answer api.JobsAnswer
	raw, err := t.send(ctx, call{method: http.MethodGet, path: path}, &answer)
	if err != nil {
		return err
	}
	var lines []string
	for i := range answer.Jobs {
		lines = append(lines, jobLine(&answer.Jobs[i]))
	}
	if answer.Left > 0 {
		lines = append(lines, fmt.Sprintf("and %d older jobs", answer.Left))
	}
	t.print(raw, lines...)
	return nil
}
