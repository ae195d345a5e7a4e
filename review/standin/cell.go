package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports, the same on all machines.
const (
	controlPort = 8180
	callersPort = 8183
	readyPort   = 8184
	firstPort   = 7420
	lastPort    = 7435
	// wireListenPort is the port on which a control process behind a proxy listens for
	// the others; the proxy listens on firstPort.
	wireListenPort = 7440
)

// zones are the zones of the deployment. Each has one core machine and one edge machine.
var zones = []string{"mu-central-a", "mu-central-b", "mu-central-c"}

// process is one program of the system on a machine of its own, which is a loopback
// address.
type process struct {
	binary  string
	name    string
	zone    string
	ip      string
	control bool
	dir     string
	seeds   []string
	// proxied is set if a proxy stands between the process and the others.
	proxied bool

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// settings returns the settings file, with the fields and bounds of the site
// statlantis-yb.
func (p *process) settings(bootstrap bool) string {
	lines := []string{
		"node=" + p.name, "role=" + map[bool]string{true: "control", false: "entry"}[p.control],
		"class=" + map[bool]string{true: "core", false: "edge"}[p.control],
		"ip=" + p.ip, "zone=" + p.zone, "region=mu-central",
		"zones.mu-central-a=mu-central", "zones.mu-central-b=mu-central", "zones.mu-central-c=mu-central",
		fmt.Sprintf("port-range=%d,%d", firstPort, lastPort),
		"seeds=" + strings.Join(p.seeds, ","), fmt.Sprintf("bootstrap=%v", bootstrap),
		fmt.Sprintf("counts-as-loss=%v", p.control),
		"limits.cpu-share=0.8", "limits.cores=1", "limits.memory-mb=280", "limits.max-fds=4096", "limits.link-mbps=1000.0",
		"discovery=registry", "entry=vip", fmt.Sprintf("heartbeat-ms=%d", heartbeatInterval.Milliseconds()),
		"contracts=base,drain,config,cost,recover,sched,tenants,quota,places,advice,upkeep,sharing",
		"tolerate.machines=1", "tolerate.zones=1", "tolerate.regions=0",
		"bounds.seed-lag-s=3", "bounds.reuse-s=2", "bounds.contact-ms=3000", "bounds.ack-ms=4000", "bounds.catchup-s=4",
		"bounds.drain-ms=2000", "bounds.grace-s=6", "bounds.loss-slack-ms=200", "bounds.config-ms=2000",
		"bounds.rollback-slack-ms=250", "bounds.skew-max-ms=5000", "bounds.strict-revoke=false", "bounds.revoke-ms=5000",
		"bounds.quota-window-s=5", "bounds.quota-excess=0.1", "bounds.quota-slack=20", "bounds.cold-over=1.5",
		"bounds.cold-slack=5", "bounds.evacuate-ms=5000", "bounds.recovery-s=12", "bounds.max-hold-ms=10000",
		"bounds.stop-timeout-ms=400", "bounds.gang-timeout-ms=3000", "bounds.cancel_ms=3000", "bounds.visible_ms=3000",
		"bounds.early_ms=250", "bounds.finish_s=14", "bounds.status_s=120", "bounds.spread-factor=2",
		"bounds.checkpoint-s=0.5", "bounds.restore-ms=600", "bounds.notice-ms=4500", "bounds.migrate-s=1.5",
		"bounds.maintenance-s=2", "bounds.fence-check=true", "bounds.lease-ttl-ms=3000", "bounds.thaw-ms=300",
		"bounds.pace-ms=100", "bounds.harm-ms=4000", "config_mode=highest", "orders=rpc",
	}
	if p.control {
		lines = append(lines, "serves=control", fmt.Sprintf("listen.control=%s:%d", p.ip, controlPort),
			"limits.disk-mb=128", "data-dir="+filepath.Join(p.dir, "data"))
	} else {
		lines = append(lines, "serves=edge", fmt.Sprintf("listen.front=%s:%d", p.ip, callersPort),
			fmt.Sprintf("listen.ready=%s:%d", p.ip, readyPort), "limits.disk-mb=0")
	}
	return strings.Join(lines, "\n") + "\n"
}

func (p *process) start(bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(p.dir, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(p.dir, "local.conf")
	if err := os.WriteFile(path, []byte(p.settings(bootstrap)), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(p.binary, "--platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "KUMQUATWING_BOOT=" + path}
	if p.proxied {
		cmd.Env = append(cmd.Env, fmt.Sprintf("KQ_WIRE_LISTEN=%s:%d", p.ip, wireListenPort))
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		log.Close()
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		log.Close()
		close(exited)
	}()
	p.mu.Lock()
	p.cmd, p.exited = cmd, exited
	p.mu.Unlock()
	return nil
}

func (p *process) logFile() string { return filepath.Join(p.dir, "log") }

// end sends a signal and waits until the process is gone.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.cmd = nil
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-exited:
	case <-time.After(7 * time.Second):
		_ = cmd.Process.Kill()
		<-exited
	}
}

// deployment is a small deployment: a control and an entry process in each zone.
type deployment struct {
	prefix   string
	dir      string
	controls []*process
	entries  []*process
	proxies  []*proxy

	mu sync.Mutex
	// links are the links between two machines, by the addresses of both.
	links map[[2]string]*link
}

// link returns the link between two machines.
func (d *deployment) link(a, b string) *link {
	d.mu.Lock()
	defer d.mu.Unlock()
	key := [2]string{min(a, b), max(a, b)}
	if d.links[key] == nil {
		d.links[key] = &link{}
	}
	return d.links[key]
}

// newDeployment starts the programs. The machines are addresses in a random part of the
// loopback range.
func newDeployment(target string, proxied bool) (*deployment, error) {
	dir, err := os.MkdirTemp("", "kq-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, links: map[[2]string]*link{}}
	if d.prefix, err = freePrefix(); err != nil {
		return d, err
	}
	var seeds []string
	for i := range zones {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.prefix, 10+i, controlPort))
	}
	for i, zone := range zones {
		d.controls = append(d.controls, &process{
			binary: filepath.Join(target, "kqcontrol"), name: "core-" + zone + "-1", zone: zone,
			ip: fmt.Sprintf("%s.%d", d.prefix, 10+i), control: true, dir: filepath.Join(dir, "core-"+zone), seeds: seeds,
		})
		d.entries = append(d.entries, &process{
			binary: filepath.Join(target, "kqentry"), name: "edge-" + zone + "-1", zone: zone,
			ip: fmt.Sprintf("%s.%d", d.prefix, 20+i), dir: filepath.Join(dir, "edge-"+zone), seeds: seeds,
		})
	}
	if proxied {
		if err := d.addProxies(); err != nil {
			return d, err
		}
	}
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		if err := p.start(true); err != nil {
			return d, err
		}
	}
	return d, nil
}

// addProxies puts a proxy before each control process, for the links between machines.
func (d *deployment) addProxies() error {
	for _, c := range d.controls {
		c.proxied = true
		p, err := newProxy(fmt.Sprintf("%s:%d", c.ip, firstPort), fmt.Sprintf("%s:%d", c.ip, wireListenPort),
			func(ip string) *link { return d.link(c.ip, ip) })
		if err != nil {
			return err
		}
		d.proxies = append(d.proxies, p)
	}
	return nil
}

// freePrefix returns the first three parts of an unused range of loopback addresses.
func freePrefix() (string, error) {
	for range 20 {
		prefix := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		l, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", prefix, controlPort))
		if err == nil {
			l.Close()
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no free loopback addresses")
}

// stop ends all processes and removes the temporary folder.
func (d *deployment) stop() {
	var wg sync.WaitGroup
	for _, p := range append(append([]*process{}, d.controls...), d.entries...) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p.end(syscall.SIGKILL)
		}()
	}
	wg.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(d.dir)
	} else {
		fmt.Println("kept", d.dir)
	}
}

// controlAddrs returns the addresses that the operator and the minions call.
func (d *deployment) controlAddrs() []string {
	var out []string
	for _, p := range d.controls {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, controlPort))
	}
	return out
}

// entryAddrs returns the addresses that clients call.
func (d *deployment) entryAddrs() []string {
	var out []string
	for _, p := range d.entries {
		out = append(out, fmt.Sprintf("%s:%d", p.ip, callersPort))
	}
	return out
}

// leader returns the control process whose log says last that it leads. It only steers
// which process a case disturbs.
func (d *deployment) leader() *process {
	var leader *process
	last := ""
	for _, p := range d.controls {
		data, err := os.ReadFile(p.logFile())
		if err != nil {
			continue
		}
		for _, line := range strings.Split(string(data), "\n") {
			if !strings.Contains(line, "scheduler started leading") {
				continue
			}
			_, rest, _ := strings.Cut(line, `"ts":"`)
			if ts, _, _ := strings.Cut(rest, `"`); ts > last {
				last, leader = ts, p
			}
		}
	}
	return leader
}
