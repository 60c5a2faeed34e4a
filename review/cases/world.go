package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// The ports are the same on all machines of a run.
const (
	portFleet     = "7780"
	portOutbound  = "8365"
	portInbound   = "8366"
	portControl   = "8367"
	portReady     = "8369"
	portServer    = "8363"
	portMetrics   = "9464"
	deployFile    = "deploy/system.toml"
	pathInstances = "/samphiremount/instances/"
	pathConfig    = "/samphiremount/configuration"
	pathReady     = "/samphiremount/readyz"
)

// The bounds of the site showbook-nz that the cases use.
const (
	heartbeatInterval = 1500 * time.Millisecond
	configApply       = 2500 * time.Millisecond
	drainBound        = 2500 * time.Millisecond
	floorFraction     = 0.7
	stabilityWindow   = 3 * time.Second
)

var bounds = map[string]string{
	"floor_fraction": "0.7", "retry_budget_ratio": "0.2", "retry_budget_slack": "62", "budget_window_s": "10",
	"quota_tolerance": "20", "quota_overage": "0.1", "quota_window_s": "5", "grace_period_s": "6",
}

// controls is the number of core machines.
const controls = 3

// world is a small deployment on loopback addresses.
type world struct {
	root    string
	folder  string
	network string
	started time.Time
	// zones holds the zones over which the machines are spread.
	zones []string
	// leader is the address of the core machine that acknowledged the last change.
	leader string
	cores  []*machine
	nodes  []*machine

	mu      sync.Mutex
	record  *os.File
	closed  bool
	servers []*server
}

// machine is an address with one process of the system.
type machine struct {
	name    string
	role    string
	address string
	zone    string
	service string
	command []string
	process *exec.Cmd
	output  *os.File
}

func (m *machine) at(port string) string { return net.JoinHostPort(m.address, port) }

func newWorld(recordPath string) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	w := &world{
		root: root, folder: folder, record: record, started: time.Now(), zones: []string{"akl-a", "akl-b"},
	}
	for range 50 {
		w.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if w.networkIsFree() {
			return w, nil
		}
	}
	return nil, errors.New("no free ports")
}

// networkIsFree reports whether all ports of the first machines are free.
func (w *world) networkIsFree() bool {
	for number := 1; number <= 20; number++ {
		for _, port := range []string{portFleet, portOutbound, portControl, portReady, portServer, portMetrics} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%s", w.network, number, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

// note appends a line to the record, with the seconds since the start of the run.
func (w *world) note(format string, arguments ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		line := strings.ReplaceAll(fmt.Sprintf(format, arguments...), w.folder, "FOLDER")
		fmt.Fprintf(w.record, "%8.3f s  %s\n", time.Since(w.started).Seconds(), line)
	}
}

// close ends all processes and servers that the run started.
func (w *world) close() {
	for _, m := range append(append([]*machine(nil), w.nodes...), w.cores...) {
		w.kill(m)
	}
	for _, s := range w.servers {
		s.stop()
	}
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(w.folder)
	} else {
		fmt.Println("logs:", w.folder)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		w.closed = true
		_ = w.record.Close()
	}
}

// build starts the core machines and a machine for each of services, with a server of that service. It returns once the first
// configuration is acknowledged and each node is ready.
func (w *world) build(configuration map[string]any, services ...string) error {
	zone := func(i int) string { return w.zones[i%len(w.zones)] }
	for i := range controls {
		w.cores = append(w.cores, &machine{
			name: fmt.Sprint("core-", i+1), role: "control", address: fmt.Sprintf("%s.%d", w.network, i+1), zone: zone(i),
		})
	}
	for i, service := range services {
		w.nodes = append(w.nodes, &machine{
			name: fmt.Sprint("sidecar-", i+1), role: "node", address: fmt.Sprintf("%s.%d", w.network, i+11), zone: zone(i), service: service,
		})
	}
	for _, m := range w.cores {
		if err := w.start(m, true); err != nil {
			return err
		}
	}
	// All machines start within 0.3 s of each other, the core machines first.
	time.Sleep(200 * time.Millisecond)
	for _, m := range w.nodes {
		if err := w.start(m, true); err != nil {
			return err
		}
	}
	for _, m := range w.nodes {
		s, err := w.startServer(m)
		if err != nil {
			return err
		}
		s.beat()
	}
	if err := w.operate(http.MethodPut, 0, configuration); err != nil {
		return err
	}
	for _, m := range w.nodes {
		if err := w.awaitReady(m); err != nil {
			return err
		}
	}
	// All nodes and servers have to be known everywhere, and all machines in touch.
	time.Sleep(stabilityWindow + time.Second)
	return nil
}

var (
	roleLine    = regexp.MustCompile(`(?m)^\[roles\.(\w+)\]$`)
	runLine     = regexp.MustCompile(`(?m)^run = "(.*)"$`)
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
)

// commandOf returns the command that the deploy file gives for the role of m, with its placeholders filled in.
func (w *world) commandOf(m *machine, bootstrap bool) ([]string, error) {
	text, err := os.ReadFile(deployFile)
	if err != nil {
		return nil, err
	}
	for _, found := range roleLine.FindAllSubmatchIndex(text, -1) {
		if string(text[found[2]:found[3]]) != m.role {
			continue
		}
		run := runLine.FindSubmatch(text[found[1]:])
		if run == nil {
			break
		}
		values := w.settings(m, bootstrap)
		line := placeholder.ReplaceAllStringFunc(string(run[1]), func(name string) string { return values[name[2:len(name)-2]] })
		return strings.Fields(line), nil
	}
	return nil, fmt.Errorf("the deploy file has no role %s", m.role)
}

func (w *world) settings(m *machine, bootstrap bool) map[string]string {
	var seeds []string
	for _, core := range w.cores {
		seeds = append(seeds, core.at(portControl))
	}
	region, _, _ := strings.Cut(m.zone, "-")
	values := map[string]string{
		"node_name": m.name, "region": region, "zone": m.zone, "service": m.service, "ip_address": m.address,
		"listen_addresses.outbound": m.at(portOutbound), "listen_addresses.inbound": m.at(portInbound),
		"listen_addresses.ready": m.at(portReady), "listen_addresses.control_plane": m.at(portControl),
		"internal_port_range.0": portFleet, "internal_port_range.1": "7795", "seed_nodes": strings.Join(seeds, ","),
		"is_bootstrap": fmt.Sprint(bootstrap), "data_directory": filepath.Join(w.folder, m.name), "heartbeat_interval_s": "1.5",
		"active_contracts": "base,drain,config,cost,retry,recover,health,tenants,quota", "limits.memory_mb": "284",
	}
	for name, value := range bounds {
		values["bounds."+name] = value
	}
	return values
}

// start starts the process of m.
func (w *world) start(m *machine, bootstrap bool) error {
	command, err := w.commandOf(m, bootstrap)
	if err != nil {
		return err
	}
	m.output, err = os.OpenFile(filepath.Join(w.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.process = exec.Command(command[0], command[1:]...)
	m.process.Stdout, m.process.Stderr = m.output, m.output
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.note("start %s: %s", m.name, strings.Join(command, " "))
	return m.process.Start()
}

// restart stops the process of m as the platform does and starts it again.
func (w *world) restart(m *machine) error {
	w.note("SIGTERM to %s", m.name)
	began := time.Now()
	if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	if err := m.process.Wait(); err != nil {
		return err
	}
	w.note("%s ended after %.3f s", m.name, time.Since(began).Seconds())
	_ = m.output.Close()
	time.Sleep(300 * time.Millisecond)
	return w.start(m, false)
}

// kill ends the process of m at once.
func (w *world) kill(m *machine) {
	if m.process == nil || m.process.Process == nil {
		return
	}
	_ = m.process.Process.Kill()
	_ = m.process.Wait()
	_ = m.output.Close()
	m.process = nil
}

// awaitReady waits until the node on m says that it is ready.
func (w *world) awaitReady(m *machine) error {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if got, err := exchange(http.MethodGet, "http://"+m.at(portReady)+pathReady, nil, nil); err == nil && got.status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s does not get ready", m.name)
}

// operate sends a change of the configuration to the core machines in turn until one acknowledges it.
func (w *world) operate(method string, match int, change map[string]any) error {
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	w.note("operator: %s If-Match %d %s", method, match, body)
	header := map[string]string{"If-Match": fmt.Sprint(match), "Content-Type": "application/json"}
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		for _, core := range w.cores {
			got, err := exchange(method, "http://"+core.at(portControl)+pathConfig, body, header)
			if err != nil {
				continue
			}
			if got.status == http.StatusOK {
				w.leader = got.from
				w.note("operator: acknowledged by %s, by way of %s", w.leader, core.name)
				return nil
			}
			if got.status < http.StatusInternalServerError {
				return fmt.Errorf("the change was refused: %d %s", got.status, got.body)
			}
		}
	}
	return errors.New("the change was not acknowledged")
}

// reply is an answer with its body. from is the address of the machine that gave it, after redirects.
type reply struct {
	from   string
	status int
	stamp  string
	body   string
}

// exchange sends one request on a new connection.
func exchange(method, url string, body []byte, header map[string]string) (reply, error) {
	return exchangeWithin(10*time.Second, method, url, body, header)
}

// exchangeWithin is exchange with a bound on its time.
func exchangeWithin(limit time.Duration, method, url string, body []byte, header map[string]string) (reply, error) {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	if host, ok := header["Host"]; ok {
		request.Host = host
	}
	client := &http.Client{Timeout: limit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return reply{response.Request.URL.Hostname(), response.StatusCode, response.Header.Get("Instance-Stamp"), string(content)}, err
}
