package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Bounds of the deployment, those of sites/ibikoresho-mesh.toml.
const (
	contact = 3 * time.Second
	drain   = 2 * time.Second
	graceS  = 6
)

const (
	// host is the host of all routes.
	host = "work.example"
	// timeLimit is how long requesters wait, and the time limit of all routes.
	timeLimit = 2 * time.Second
)

// fleet is a small deployment: a store, and machines with one node and one backend each.
type fleet struct {
	record   *recorder
	runs     *runs
	store    *platformStore
	machines []*machine
	folder   string
	network  string // the first three bytes of all addresses
	version  int
	started  []*exec.Cmd
}

// machine has an address of its own on the loopback network.
type machine struct {
	fleet   *fleet
	index   int
	ip      string
	service string
	running atomic.Pointer[backend] // nil before the first one has started
	node    *exec.Cmd
	exited  chan struct{} // closed when the node has exited

	restarting atomic.Bool // the node is being stopped and started
}

// startFleet starts a store and one machine for each service in the list, publishes workRoutes, and returns once all machines
// are in touch.
func startFleet(record *recorder, services ...string) (*fleet, error) {
	folder, err := os.MkdirTemp(os.Getenv("LOGS"), "review") // LOGS names a folder in which the logs of the nodes stay
	if err != nil {
		return nil, err
	}
	f := &fleet{record: record, runs: &runs{}, folder: folder, network: fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), rand.IntN(250))}
	if f.store, err = startStore(f.network + "250:0"); err != nil {
		return nil, err
	}
	for i, service := range services {
		f.machines = append(f.machines, &machine{fleet: f, index: i, ip: fmt.Sprintf("%s%d", f.network, i+1), service: service})
	}
	go f.closeOnSignal()
	f.publish(workRoutes())
	if err := f.startMachines(); err != nil {
		f.close()
		return nil, err
	}
	return f, nil
}

// startMachines starts all nodes and backends, and waits until each machine is in touch.
func (f *fleet) startMachines() error {
	for _, m := range f.machines {
		if err := m.startNode(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(10 * time.Second); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		first := m.newBackend(fmt.Sprintf("i-%d", m.index))
		if err := first.start(); err != nil {
			return err
		}
		m.running.Store(first)
	}
	time.Sleep(contact + time.Second)
	return nil
}

// close kills all processes that were started.
func (f *fleet) close() {
	for _, m := range f.machines {
		if b := m.running.Load(); b != nil {
			b.end()
		}
	}
	for _, p := range f.started {
		_ = p.Process.Signal(syscall.SIGCONT)
		_ = p.Process.Kill()
	}
	if os.Getenv("LOGS") == "" {
		_ = os.RemoveAll(f.folder)
	}
}

// closeOnSignal ends the run, with all processes that it started, when it is told to end.
func (f *fleet) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	f.close()
	os.Exit(notRun)
}

// publish writes the next manifest as the operator does.
func (f *fleet) publish(routes map[string]any) {
	f.version += 3
	services := map[string]any{}
	for _, m := range f.machines {
		services[m.service] = map[string]any{"healthPath": "/health", "maxConnections": 220, "protocol": "h1", "tls": false}
	}
	document, _ := json.Marshal(map[string]any{
		"version": f.version, "routes": routes, "services": services,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	f.store.put("op/config", document)
	f.record.logf("operator: version %d is acknowledged", f.version)
}

// newBackend returns a backend of the machine that is not started.
func (m *machine) newBackend(id string) *backend {
	return &backend{
		id: id, service: m.service, address: m.ip + ":8301", control: m.ip + ":8306", slots: 6,
		record: m.fleet.record, runs: m.fleet.runs, onCrash: func() {},
	}
}

// outbound returns the address to which requesters on the machine send.
func (m *machine) outbound() string { return m.ip + ":8304" }

func (m *machine) name() string { return fmt.Sprintf("sidecar-a-%d", m.index+1) }

// settings fills in the template of the deploy file.
func (m *machine) settings() ([]byte, error) {
	template, err := os.ReadFile("deploy/node.toml")
	if err != nil {
		return nil, err
	}
	filled := strings.NewReplacer(
		"{{nodeName}}", m.name(), "{{zone}}", "a", "{{region}}", "r", "{{service}}", m.service, "{{appAddr}}", m.ip+":8301",
		"{{heartbeatMs}}", fmt.Sprint(heartbeat.Milliseconds()), "{{listen.outbound}}", m.outbound(), "{{listen.inbound}}", m.ip+":8300",
		"{{ip}}", m.ip, "{{internalPorts.0}}", "7620", "{{listen.control}}", m.ip+":8306", "{{listen.ready}}", m.ip+":8302",
		"{{platform.address}}", m.fleet.store.address, "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.retryBudgetSlack}}", "58",
		"{{limits.memoryMb}}", "284", "{{limits.maxFds}}", "4100", "{{bounds.graceS}}", fmt.Sprint(graceS),
	).Replace(string(template))
	if strings.Contains(filled, "{{") {
		return nil, errors.New("deploy/node.toml has a placeholder that this deployment does not know")
	}
	return []byte(filled), nil
}

// startNode starts the node with the command of the deploy file.
func (m *machine) startNode() error {
	settings, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.fleet.folder, m.name()+".settings")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name()+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	node := exec.Command("target/magnoliawharf", "sidecar", "run")
	node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIAWHARF_BOOT=" + path}
	node.Stdout, node.Stderr = log, log
	if err := node.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.node, m.exited = node, exited
	m.fleet.started = append(m.fleet.started, node)
	m.fleet.record.logf("node %s of service %s starts, process %d", m.name(), m.service, node.Process.Pid)
	go func() {
		_ = node.Wait()
		m.fleet.record.logf("node %s, process %d, has ended: %s", m.name(), node.Process.Pid, node.ProcessState)
		close(exited)
	}()
	return nil
}

func (m *machine) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if response, err := http.Get("http://" + m.ip + ":8302/-/readiness"); err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				m.fleet.record.logf("node %s is ready", m.name())
				return nil
			}
		}
	}
	return fmt.Errorf("node %s is not ready", m.name())
}

// killNode ends the node by SIGKILL, and starts it again after the pause.
func (m *machine) killNode(pause time.Duration) error {
	m.fleet.record.logf("SIGKILL to node %s", m.name())
	_ = m.node.Process.Kill()
	<-m.exited
	time.Sleep(pause)
	return m.startNode()
}

// restartNode stops the node by SIGTERM, by SIGKILL after graceS, and starts it again.
func (m *machine) restartNode() error {
	m.fleet.record.logf("SIGTERM to node %s", m.name())
	_ = m.node.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(graceS * time.Second):
		_ = m.node.Process.Kill()
		<-m.exited
	}
	if err := m.startNode(); err != nil {
		return err
	}
	return m.awaitReady(10 * time.Second)
}

// reply is what a requester has got for one attempt.
type reply struct {
	attempt string
	status  int // 0 without an answer
	seal    string
	sent    time.Time
}

// request sends one requester attempt to the node of the machine on a new connection, and records the answer.
func (m *machine) request(method, path string) reply {
	out := reply{attempt: fmt.Sprintf("%016x", rand.Uint64()), sent: time.Now()}
	request, err := http.NewRequest(method, "http://"+m.outbound()+path, nil)
	if err != nil {
		m.fleet.record.logf("requester cannot send: %v", err)
		return out
	}
	request.Host = host
	request.Header.Set("X-Attempt-Id", out.attempt)
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeLimit.Milliseconds()))
	client := &http.Client{
		Timeout:   timeLimit,
		Transport: &http.Transport{DisableKeepAlives: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
	}
	m.fleet.record.logf("requester on %s sends %s %s %s", m.name(), out.attempt, method, path)
	response, err := client.Do(request)
	if err != nil {
		m.fleet.record.logf("requester gets no answer to %s: %v", out.attempt, err)
		return out
	}
	defer response.Body.Close()
	out.status, out.seal = response.StatusCode, response.Header.Get("X-Response-Seal")
	m.fleet.record.logf("requester gets %d to %s, seal %q", out.status, out.attempt, out.seal)
	return out
}
