package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports of each machine. Every machine has a loopback address of its own.
const (
	portApp      = 8363
	portOutbound = 8365
	portControl  = 8367
	portReady    = 8369
	portFleet    = 7780

	heartbeatPeriod = 1500 * time.Millisecond
	stability       = 3 * time.Second
)

// bounds are those of a small deployment.
var bounds = map[string]string{
	"floor_fraction": "0.7", "retry_budget_ratio": "0.2", "retry_budget_slack": "62", "budget_window_s": "10", "quota_tolerance": "20",
	"quota_overage": "0.1", "quota_window_s": "5", "grace_period_s": "6",
}

// errCannotRun marks a case that could not run.
var errCannotRun = errors.New("the case could not run")

// machine is one machine with its process.
type machine struct {
	name, zone, service, ip string
	core                    bool
	command                 *exec.Cmd
	log                     *os.File
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

// fleet is the machines of a small deployment, with what the case has recorded.
type fleet struct {
	folder  string
	network string
	started time.Time
	cores   []*machine
	nodes   []*machine
	record  *record
	run     map[string]string
	first   bool
}

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func (r *record) write(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// newFleet prepares a fleet whose record is written to recordPath.
func newFleet(recordPath string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	run, err := readDeployFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	now := time.Now()
	f := &fleet{folder: folder, started: now, record: &record{file: file, started: now}, run: run, first: true}
	for i := range 200 {
		f.network = fmt.Sprintf("127.%d.%d.", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		if listener, err := net.Listen("tcp", f.network+"1:"+strconv.Itoa(portFleet)); err == nil {
			_ = listener.Close()
			return f, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// readDeployFile returns the command of each role.
func readDeployFile(path string) (map[string]string, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	run, role := make(map[string]string), ""
	for line := range strings.SplitSeq(string(content), "\n") {
		if name, ok := strings.CutPrefix(line, "[roles."); ok {
			role = strings.TrimSuffix(name, "]")
		}
		if text, ok := strings.CutPrefix(line, "run = "); ok {
			if run[role], err = strconv.Unquote(text); err != nil {
				return nil, err
			}
		}
	}
	return run, nil
}

// addCores adds core machines, one in each zone by turns.
func (f *fleet) addCores(number int, zones ...string) {
	for i := range number {
		f.cores = append(f.cores, &machine{
			name: fmt.Sprintf("core-%d", i+1), zone: zones[i%len(zones)], ip: f.network + strconv.Itoa(1+i), core: true,
		})
	}
}

// addNode adds a machine for a server of service.
func (f *fleet) addNode(zone, service string) *machine {
	m := &machine{
		name: fmt.Sprintf("sidecar-%d", len(f.nodes)+1), zone: zone, service: service, ip: f.network + strconv.Itoa(20+len(f.nodes)),
	}
	f.nodes = append(f.nodes, m)
	return m
}

var placeholder = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`)

// arguments fills in the command of the deploy file for m.
func (f *fleet) arguments(m *machine) []string {
	var seeds []string
	for _, core := range f.cores[:min(3, len(f.cores))] {
		seeds = append(seeds, core.address(portControl))
	}
	values := map[string]string{
		"node_name": m.name, "region": "r1", "zone": m.zone, "service": m.service, "ip_address": m.ip,
		"listen_addresses.outbound": m.address(portOutbound), "listen_addresses.ready": m.address(portReady),
		"listen_addresses.control_plane": m.address(portControl), "internal_port_range.0": strconv.Itoa(portFleet),
		"seed_nodes": strings.Join(seeds, ","), "is_bootstrap": strconv.FormatBool(f.first),
		"data_directory":   filepath.Join(f.folder, m.name+".data"),
		"active_contracts": "base,drain,config,cost,retry,recover,health,tenants,quota", "heartbeat_interval_s": "1.5",
		"limits.memory_mb": "284", "limits.link_mbps": "1000.0",
	}
	role := "node"
	if m.core {
		role = "control"
	}
	var filled []string
	for word := range strings.FieldsSeq(f.run[role]) {
		filled = append(filled, placeholder.ReplaceAllStringFunc(word, func(text string) string {
			name := strings.Trim(text, "{}")
			if bound, ok := strings.CutPrefix(name, "bounds."); ok {
				return bounds[bound]
			}
			return values[name]
		}))
	}
	return filled
}

// start starts the process of m.
func (f *fleet) start(m *machine) error {
	arguments := f.arguments(m)
	if m.core {
		if err := os.MkdirAll(filepath.Join(f.folder, m.name+".data"), 0o755); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(f.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	m.log = log
	m.command = exec.Command(arguments[0], arguments[1:]...)
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	f.record.write("%s starts, process %d", m.name, m.command.Process.Pid)
	return nil
}

// startAll starts all processes and waits until each node is ready.
func (f *fleet) startAll() error {
	for _, m := range append(append([]*machine(nil), f.cores...), f.nodes...) {
		if err := f.start(m); err != nil {
			return err
		}
	}
	f.first = false
	return nil
}

// signal sends a signal to the process of m.
func (f *fleet) signal(m *machine, signal syscall.Signal) {
	f.record.write("%s gets signal %s", m.name, signal)
	_ = m.command.Process.Signal(signal)
}

// kill ends the process of m and waits for its end.
func (f *fleet) kill(m *machine) {
	f.signal(m, syscall.SIGKILL)
	_, _ = m.command.Process.Wait()
	_ = m.log.Close()
}

// awaitReady waits until each node answers 200 to the question whether it is ready.
func (f *fleet) awaitReady(nodes []*machine, limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, m := range nodes {
		for {
			response, err := client.Get("http://" + m.address(portReady) + "/samphiremount/readyz")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	f.record.write("all nodes are ready")
	return nil
}

// stop ends all processes and removes the temporary folder.
func (f *fleet) stop() {
	for _, m := range append(append([]*machine(nil), f.cores...), f.nodes...) {
		if m.command != nil && m.command.ProcessState == nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			_, _ = m.command.Process.Wait()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs are kept in", f.folder)
	}
	_ = f.record.file.Close()
}

// order sends a change of the configuration to one core machine after another until it gets a clear answer, which it returns.
func (f *fleet) order(method string, match int, body any, limit time.Duration) (int, error) {
	content, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Timeout: 2 * time.Second}
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		core := f.cores[i%len(f.cores)]
		request, err := http.NewRequest(method, "http://"+core.address(portControl)+"/samphiremount/configuration", bytes.NewReader(content))
		if err != nil {
			return 0, err
		}
		request.Header.Set("If-Match", strconv.Itoa(match))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode < http.StatusInternalServerError {
			f.record.write("order %s on version %d at %s: %d %s", method, match, core.name, response.StatusCode, bytes.TrimSpace(text))
			return response.StatusCode, nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return 0, fmt.Errorf("%w: no clear answer to an order", errCannotRun)
}

// request is a client's request, written as it stands.
type request struct {
	method, path, id, key string
	deadline              time.Duration
	body                  string
	chunked               bool
	extra                 string
}

// answer is what a client got.
type answer struct {
	status int
	stamp  string
	body   string
	err    error
}

func (a answer) String() string {
	if a.err != nil {
		return "no whole answer: " + a.err.Error()
	}
	return fmt.Sprintf("%d, signature %q, %d bytes", a.status, a.stamp, len(a.body))
}

const host = "booking.example"

func (r request) text() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\n", r.method, r.path, host, r.id, r.deadline.Milliseconds())
	if r.key != "" {
		_, _ = fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", r.key)
	}
	_, _ = b.WriteString(r.extra)
	switch {
	case r.chunked:
		_, _ = fmt.Fprintf(&b, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(r.body), r.body)
	case r.body != "" || r.method == http.MethodPost:
		_, _ = fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(r.body), r.body)
	default:
		_, _ = b.WriteString("\r\n")
	}
	return b.String()
}

// send sends r to the node of m on a new connection and returns the answer.
func send(m *machine, r request) answer {
	conn, err := net.DialTimeout("tcp", m.address(portOutbound), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(conn, r.text()); err != nil {
		return answer{err: err}
	}
	return receive(conn, r.method)
}

func receive(conn net.Conn, method string) answer {
	response, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, stamp: response.Header.Get("Instance-Stamp"), body: string(body), err: err}
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
