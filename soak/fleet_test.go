package soak

import (
	"context"
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
	// reuseAfter is the least time after which another service's back end may start at an address.
	reuseAfter = 2 * time.Second
	readyLimit = 20 * time.Second
	// crashTime is the time from the crash of a back end by a request to its next start.
	crashTime = time.Second
	host      = "shop.example"
	// retryRatio and retryAllowance are the operator's bounds of retries. A reload may lower the ratio.
	retryRatio     = 0.2
	retryAllowance = 60
	// startLimit bounds the wait for a node that has been started to listen. Signals before that end it as any process.
	startLimit = 5 * time.Second
)

// services are those of the deployment; each has half of the machines.
var services = [2]string{"catalogue", "reservations"}

func serviceOf(machine int) string { return services[machine*len(services)/machineCount] }

// Ports of each machine, beside those of its proxies.
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

// networks numbers the runs of this process, so that each has loopback addresses of its own.
var networks atomic.Uint32

// fleet is one deployment under test: a store, machines with a node and a back end each, and what they report to.
type fleet struct {
	t        testing.TB
	folder   string
	oracle   *oracle
	store    *standin.Store
	server   *http.Server
	machines []*machine
	operator *operator
	crashing atomic.Int64 // requests sent that crash back ends
}

// machine is one node, the back end beside it, and the proxies on their links.
type machine struct {
	fleet   *fleet
	index   int
	ip      string
	links   map[string]*proxy // by the other end: store, backend, peers
	log     *os.File
	running atomic.Bool // the node is meant to run

	node sync.Mutex // held over a change of the node's process
	proc atomic.Pointer[process.Process]

	side    sync.Mutex // held over a change of the back end
	backend *standin.Backend
	started int // back ends so far
}

func newFleet(t testing.TB, folder string, o *oracle) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: folder, oracle: o, store: standin.NewStore()}
	network := uint32(os.Getpid())<<3 + networks.Add(1)
	prefix := fmt.Sprintf("127.%d.%d.", 16+network>>8%200, network%256)
	listener, err := net.Listen("tcp", prefix+"1:8309")
	assert.NilError(t, err)
	f.server = &http.Server{Handler: f.store}
	go func() { _ = f.server.Serve(listener) }() // ends with ErrServerClosed
	f.operator = newOperator(f)
	f.operator.publish()
	for i := range machineCount {
		f.machines = append(f.machines, f.newMachine(i, prefix+strconv.Itoa(10+i), listener.Addr().String()))
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
	if err := os.WriteFile(m.path("toml"), []byte(text), 0o600); err != nil {
		m.fleet.t.Errorf("settings of m%d: %v", m.index, err)
	}
}

// startNode starts the node's process and watches for an end that nobody asked for.
func (m *machine) startNode() {
	p, err := process.Start(process.Options{
		Name: fmt.Sprintf("m%d", m.index), Binary: binary, Args: []string{"sidecar", "run", "--settings", m.path("toml")}, Stdout: m.log, Stderr: m.log,
	})
	if err != nil {
		m.fleet.t.Errorf("node m%d: %v", m.index, err)
		return
	}
	m.proc.Store(p)
	m.running.Store(true)
	go func() {
		<-p.Exited()
		if m.running.Load() && m.proc.Load() == p {
			m.fleet.oracle.note("EXIT: node m%d ended by itself: %s", m.index, p.State())
		}
	}()
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if listening, err := net.Dial("tcp", m.address(readyPort)); err == nil {
			_ = listening.Close()
			return
		}
	}
	m.fleet.oracle.note("EXIT: node m%d does not listen %v after its start: %s", m.index, startLimit, p.State())
}

// kill ends the node at once, for the time.
func (m *machine) kill(down time.Duration) {
	m.node.Lock()
	defer m.node.Unlock()
	from := time.Now()
	m.running.Store(false)
	m.proc.Load().Kill()
	time.Sleep(down)
	m.startNode()
	m.fleet.oracle.disturb(m.index, span{from, time.Now()})
}

// stop ends the node as the platform does, and starts it again.
func (m *machine) stop() {
	m.node.Lock()
	defer m.node.Unlock()
	from := time.Now()
	m.running.Store(false)
	p := m.proc.Load()
	end := m.fleet.oracle.planned(m.index, from)
	if err := p.Signal(syscall.SIGTERM); err != nil {
		m.fleet.t.Error(err)
	}
	select {
	case <-p.Exited():
		if p.ExitCode() != 0 {
			m.fleet.oracle.note("LOST: node m%d %s after SIGTERM", m.index, p.State())
		}
	case <-time.After(grace + m.fleet.oracle.stall.within(from, time.Now())):
		m.fleet.oracle.note("LOST: node m%d still runs at the end of its grace", m.index)
		p.Kill()
	}
	m.startNode()
	end(time.Now())
}

// pause freezes the node for the time.
func (m *machine) pause(frozen time.Duration) {
	m.node.Lock()
	defer m.node.Unlock()
	from := time.Now()
	p := m.proc.Load()
	for _, step := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		if err := p.Signal(step); err != nil {
			m.fleet.t.Error(err)
		}
		if step == syscall.SIGSTOP {
			time.Sleep(frozen)
		}
	}
	m.fleet.oracle.disturb(m.index, span{from, time.Now()})
}

// reload changes the settings file, with or without a signal.
func (m *machine) reload(ratio float64, signal bool) {
	m.node.Lock()
	defer m.node.Unlock()
	m.writeSettings(ratio)
	if !signal {
		return
	}
	if err := m.proc.Load().Signal(syscall.SIGHUP); err != nil {
		m.fleet.t.Error(err)
	}
}

// startBackend starts a back end of the service beside the node.
func (m *machine) startBackend(service string) {
	m.started++
	b, err := standin.StartBackend(standin.BackendOptions{
		ID: fmt.Sprintf("m%d-%d", m.index, m.started), Service: service, Listen: m.address(backendPort), Advertised: m.address(backendProxyPort),
		Registration: m.address(registrationPort), AnnounceEvery: announceEvery, Slots: slots, OnRequest: m.fleet.oracle.arrived,
		OnCrash: func() { m.crash(crashTime, service) },
	})
	if err != nil {
		m.fleet.t.Errorf("back end on m%d: %v", m.index, err)
		return
	}
	m.backend = b
}

// machineOf returns the machine of a back end.
func machineOf(instance string) int {
	number, _, _ := strings.Cut(strings.TrimPrefix(instance, "m"), "-")
	index, err := strconv.Atoi(number)
	if err != nil {
		return -1
	}
	return index
}

// crash ends the back end without a word; another one of the service starts at its address after the time.
func (m *machine) crash(down time.Duration, service string) {
	m.side.Lock()
	defer m.side.Unlock()
	from := time.Now()
	m.backend.Crash()
	time.Sleep(down)
	m.startBackend(service)
	m.fleet.oracle.fails(m.index, span{from, time.Now()})
}

// replace drains the back end, ends it, and starts another one.
func (m *machine) replace(service string) {
	m.side.Lock()
	defer m.side.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if acked, ok := m.backend.Drain(ctx); ok {
		m.fleet.oracle.leaving(m.backend.ID(), acked)
	}
	time.Sleep(drainTime)
	_ = m.backend.Shutdown(ctx) // a request that outlasts the grace is cut off, as by the platform
	time.Sleep(reuseAfter)
	m.startBackend(service)
}

// fail gives the back end the faults for the time.
func (m *machine) fail(faults standin.BackendFaults, lasting time.Duration) {
	m.side.Lock()
	defer m.side.Unlock()
	from := time.Now()
	m.backend.SetFaults(faults)
	time.Sleep(lasting)
	m.backend.SetFaults(standin.BackendFaults{})
	m.fleet.oracle.fails(m.index, span{from, time.Now()})
}

// harm gives a link of the machine the behaviour for the time.
func (m *machine) harm(link string, b behaviour, lasting time.Duration) {
	from := time.Now()
	m.links[link].set(b)
	time.Sleep(lasting)
	m.links[link].set(behaviour{})
	m.fleet.oracle.disturb(m.index, span{from, time.Now()})
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

// peakMemory returns the largest resident memory of the node so far, in MiB, 0 when it cannot be read.
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

// close ends the processes that the fleet has started, and its listeners.
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
	_ = f.server.Close()
}
