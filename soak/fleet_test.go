package soak

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/magnoliawharf/magnoliawharf/platform/standin"
	"github.com/magnoliawharf/magnoliawharf/platform/wire"
	"github.com/magnoliawharf/magnoliawharf/standin/process"
)

const (
	machineCount = 6
	zoneCount    = 3
	slots        = 8
	maxAttempts  = 2
	grace        = 6 * time.Second
	// nodeMemory is the memory that a node may use, in MiB.
	nodeMemory    = 128
	announceEvery = 500 * time.Millisecond
	// reuseAfter is the least time before a back end of another service may start at the same address.
	reuseAfter = 2 * time.Second
	readyLimit = 20 * time.Second
	// crashTime is the time from a crash caused by a request to the restart of the back end.
	crashTime = time.Second
	host      = "shop.example"
	// retryRatio and retryAllowance are the operator's retry budget. A reload may lower the ratio.
	retryRatio     = 0.2
	retryAllowance = 60
	// startLimit limits the wait until a started node listens. Before that, a signal terminates it.
	startLimit = 5 * time.Second
)

// services are the deployed services. Each has half of the machines.
var services = [2]string{"catalogue", "reservations"}

func serviceOf(machine int) string { return services[machine*len(services)/machineCount] }

// Ports of each machine and its proxies.
const (
	callersPort      = 8300
	peersPort        = 8301
	registrationPort = 8302
	readyPort        = 8303
	backendPort      = 8310
	peersProxyPort   = 8401
	backendProxyPort = 8410
	storeProxyPort   = 8409
	datagramsPort    = 7620
	metricsPort      = 9464
)

// networks numbers the runs of this process, so that each uses its own loopback addresses.
var networks atomic.Uint32

// fleet is the deployment under test: a store, an operator, and machines with a node and a back end each.
type fleet struct {
	t        testing.TB
	folder   string
	oracle   *oracle
	parts    parts
	store    *standin.Store
	server   *storeServer
	machines []*machine
	operator *operator
	crashing atomic.Int64 // number of crashing requests sent

	// storeFaults is held for reading while calls to the store may fail or their effects be lost, and for writing while the store alone
	// knows of something.
	storeFaults sync.RWMutex
}

// machine is one node, the back end beside it, and the proxies on the node's connections.
type machine struct {
	fleet   *fleet
	index   int
	ip      string
	links   map[string]*proxy // by remote end: store, backend, peers
	log     *os.File
	running atomic.Bool // whether the node is expected to run

	nodeMu sync.Mutex // held while the node's process or settings change
	proc   atomic.Pointer[process.Process]

	backendMu sync.Mutex // held while the back end is replaced or its faults are set
	backend   *standin.Backend
	started   int // number of back ends started so far
}

func newFleet(t testing.TB, folder string, o *oracle, drawn parts) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: folder, oracle: o, parts: drawn, store: standin.NewStore()}
	network := uint32(os.Getpid())<<3 + networks.Add(1)
	prefix := fmt.Sprintf("127.%d.%d.", 16+network>>8%200, network%256)
	var err error
	f.server, err = startStoreServer(f.store, prefix+"1:8309")
	assert.NilError(t, err)
	f.operator = newOperator(f)
	f.operator.publish()
	for i := range machineCount {
		f.machines = append(f.machines, f.newMachine(i, prefix+strconv.Itoa(10+i), f.server.address))
	}
	for _, m := range f.machines {
		m.startNode()
		m.startBackend(serviceOf(m.index))
	}
	return f
}

func (f *fleet) newMachine(index int, ip, store string) *machine {
	f.t.Helper()
	m := &machine{fleet: f, index: index, ip: ip, links: make(map[string]*proxy)}
	for name, link := range map[string]struct {
		port   int
		target string
	}{
		"store": {storeProxyPort, store}, "backend": {backendProxyPort, m.address(backendPort)}, "peers": {peersProxyPort, m.address(peersPort)},
	} {
		var err error
		m.links[name], err = startProxy(m.address(link.port), link.target)
		assert.NilError(f.t, err)
	}
	var err error
	m.log, err = os.Create(m.path("log"))
	assert.NilError(f.t, err)
	m.writeSettings(retryRatio)
	return m
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (m *machine) path(suffix string) string {
	return filepath.Join(m.fleet.folder, fmt.Sprintf("m%d.%s", m.index, suffix))
}

func (m *machine) writeSettings(ratio float64) {
	text := fmt.Sprintf(`node = "m%d"
zone = "z%d"
region = "r"
[upstream]
service = %q
address = %q
announce_every = %q
[listen]
callers = %q
peers = %q
advertised = %q
datagrams = %q
registration = %q
ready = %q
metrics = %q
[store]
address = %q
[retries]
ratio = %g
allowance = %d
[runtime]
memory = "%dMiB"
grace = %q
`, m.index, m.index%zoneCount, serviceOf(m.index), m.address(backendProxyPort), announceEvery, m.address(callersPort), m.address(peersPort),
		m.address(peersProxyPort), m.address(datagramsPort), m.address(registrationPort), m.address(readyPort), m.address(metricsPort),
		m.address(storeProxyPort), ratio, retryAllowance, nodeMemory, grace)
	if m.fleet.parts.tenants > 0 {
		text += fmt.Sprintf("[revocation]\nstrict = true\nbound = %q\n", revocationBound)
	}
	if err := os.WriteFile(m.path("toml"), []byte(text), 0o600); err != nil {
		m.fleet.t.Errorf("settings of m%d: %v", m.index, err)
	}
}

// startNode starts the node's process, waits until it listens and reports an unexpected exit.
func (m *machine) startNode() {
	m.fleet.oracle.recordStart(m.index, time.Now())
	from := time.Now()
	p, err := program.Start(process.Options{
		Name: fmt.Sprintf("m%d", m.index), Args: []string{"sidecar", "run", "--settings", m.path("toml")}, Stdout: m.log, Stderr: m.log,
	})
	if err != nil {
		m.fleet.t.Errorf("node m%d: %v", m.index, err)
		return
	}
	m.fleet.oracle.waits.recordStart(m.index, span{from, time.Now()})
	m.proc.Store(p)
	m.running.Store(true)
	go func() {
		<-p.Exited()
		if m.running.Load() && m.proc.Load() == p {
			m.fleet.oracle.report("EXIT: node m%d exited unexpectedly: %s", m.index, p.State())
		}
	}()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if listening, err := net.Dial("tcp", m.address(readyPort)); err == nil {
			_ = listening.Close()
			return
		}
	}
	m.fleet.oracle.report("EXIT: node m%d does not listen %v after its start: %s", m.index, startLimit, p.State())
}

// killNode kills the node and restarts it after the down time.
func (m *machine) killNode(down time.Duration) {
	m.nodeMu.Lock()
	defer m.nodeMu.Unlock()
	from := time.Now()
	m.running.Store(false)
	m.proc.Load().Kill()
	time.Sleep(down)
	m.startNode()
	m.fleet.oracle.recordDisturbance(m.index, span{from, time.Now()})
}

// stopNode stops the node by SIGTERM with the platform's grace period and restarts it.
func (m *machine) stopNode() {
	m.nodeMu.Lock()
	defer m.nodeMu.Unlock()
	from := time.Now()
	m.running.Store(false)
	p := m.proc.Load()
	end := m.fleet.oracle.recordPlannedStop(m.index, from)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		m.fleet.t.Error(err)
	}
	exited := m.fleet.oracle.stall.awaitWithin(p.Exited(), grace)
	if !exited && p.HasEnded() {
		m.fleet.t.Logf("m%d has ended after the SIGTERM at %s, but its exit is reported late", m.index, clock(from))
		<-p.Exited()
		exited = true
	}
	switch {
	case !exited:
		m.fleet.oracle.report("LOST: node m%d is still running at the end of its grace period", m.index)
		p.Kill()
	case p.ExitCode() != 0:
		m.fleet.oracle.report("LOST: node m%d after SIGTERM: %s", m.index, p.State())
	}
	m.startNode()
	end(time.Now())
}

// pauseNode suspends the node's process for the duration.
func (m *machine) pauseNode(lasting time.Duration) {
	m.nodeMu.Lock()
	defer m.nodeMu.Unlock()
	from := time.Now()
	p := m.proc.Load()
	for _, step := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := p.Signal(step); err != nil {
			m.fleet.t.Error(err)
		}
		if step == syscall.SIGSTOP {
			time.Sleep(lasting)
		}
	}
	m.fleet.oracle.recordDisturbance(m.index, span{from, time.Now()})
}

// changeSettings rewrites the settings file and, with signal, sends SIGHUP.
func (m *machine) changeSettings(ratio float64, signal bool) {
	m.nodeMu.Lock()
	defer m.nodeMu.Unlock()
	m.writeSettings(ratio)
	if !signal {
		return
	}
	if err := m.proc.Load().Signal(syscall.SIGHUP); err != nil {
		m.fleet.t.Error(err)
	}
}

// degradeLink sets the behaviour of one of the machine's proxies for the duration.
func (m *machine) degradeLink(link string, b behaviour, lasting time.Duration) {
	if link == "store" {
		m.fleet.storeFaults.RLock()
		defer m.fleet.storeFaults.RUnlock()
	}
	from := time.Now()
	m.links[link].set(b)
	time.Sleep(lasting)
	m.links[link].set(behaviour{})
	if link == "backend" {
		held := span{from, time.Now()}
		m.fleet.oracle.record(func() { m.fleet.oracle.held[m.index] = append(m.fleet.oracle.held[m.index], held) })
	}
	m.fleet.oracle.recordDisturbance(m.index, span{from, time.Now()})
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.address(readyPort) + wire.ReadinessPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all nodes are ready.
func (f *fleet) awaitReady() bool {
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(f.machines) {
			return true
		}
	}
	return false
}

// peakMemory returns the peak resident memory of the node in MiB, 0 when it cannot be read.
func (m *machine) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.proc.Load().ID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// close kills the nodes and back ends of the fleet and closes its listeners.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.running.Store(false)
		m.proc.Load().Kill()
		m.backend.Crash()
		for _, link := range m.links {
			link.close()
		}
		_ = m.log.Close()
	}
	f.server.close()
}
