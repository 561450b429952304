package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// Bounds and settings of a small deployment, as the site file of claim.txt has them.
const (
	heartbeat   = 1500 * time.Millisecond
	graceS      = 6
	memoryMB    = 284
	descriptors = 4100
	slots       = 12 // of each back end
)

// Ports of each machine. Each has a loopback address of its own.
const (
	outboundPort = 8304
	inboundPort  = 8300
	readyPort    = 8302
	controlPort  = 8306
	appPort      = 8301
	peersPort    = 7620
	storePort    = 8309
)

// zones of the machines, in turn.
var zones = []string{"nyarugenge", "gasabo", "kicukiro"}

// fleet is the store, the machines and what runs on them.
type fleet struct {
	program, folder string
	rec             *record
	network         string
	store           *kvStore

	mu       sync.Mutex
	machines []*machine
	stopped  bool
}

// machine is one node and the back end beside it.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string
	app     *backend

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{} // closed when the process has ended
}

var errStopped = errors.New("the case has ended")

func newFleet(program, folder string, rec *record) *fleet {
	pid := os.Getpid()
	return &fleet{program: program, folder: folder, rec: rec, network: fmt.Sprintf("127.%d.%d.", 64+pid>>8&63, pid&255)}
}

func (f *fleet) address(host, port int) string {
	return f.network + strconv.Itoa(host) + ":" + strconv.Itoa(port)
}

// start starts the store with the manifest, and one machine for each service named.
func (f *fleet) start(manifest any, services []string) error {
	if _, err := os.Stat(f.program); err != nil {
		return fmt.Errorf("build the program first: %w", err)
	}
	var err error
	if f.store, err = startStore(f.address(1, storePort)); err != nil {
		return err
	}
	if err := f.store.publish(manifest); err != nil {
		return err
	}
	for i, service := range services {
		m := &machine{
			fleet: f, name: fmt.Sprintf("sidecar-%d", i+1), ip: f.network + strconv.Itoa(10+i), zone: zones[i%len(zones)], service: service,
		}
		f.mu.Lock()
		f.machines = append(f.machines, m)
		f.mu.Unlock()
		if err := m.startNode(); err != nil {
			return err
		}
		if m.app, err = startBackend(m); err != nil {
			return err
		}
	}
	return f.awaitReady(20 * time.Second)
}

// awaitReady waits until all nodes are ready and all back ends have been heard of.
func (f *fleet) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, m := range f.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(f.machines) {
			time.Sleep(3 * time.Second) // the nodes hear of each other and of the back ends
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d nodes are ready", ready, len(f.machines))
		}
	}
}

func (m *machine) address(port int) string { return m.ip + ":" + strconv.Itoa(port) }

// isReady asks the node as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.address(readyPort) + "/-/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// settings is the template of the deploy file, filled in.
func (m *machine) settings() string {
	return fmt.Sprintf(`node = %q
zone = %q
region = "kigali"

[upstream]
service = %q
address = %q
announce_every = "%dms"

[listen]
callers = %q
peers = %q
datagrams = %q
registration = %q
ready = %q
metrics = %q

[store]
address = %q

[retries]
ratio = 0.2
allowance = 58

[routing]
zone_cost = "8ms"

[runtime]
memory = "%dMiB"
descriptors = %d
grace = "%ds"
`, m.name, m.zone, m.service, m.address(appPort), heartbeat.Milliseconds(), m.address(outboundPort), m.address(inboundPort),
		m.address(peersPort), m.address(controlPort), m.address(readyPort), m.ip+":9464", m.fleet.address(1, storePort), memoryMB, descriptors, graceS)
}

// startNode starts the node's process with the command of the deploy file.
func (m *machine) startNode() error {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	if m.fleet.stopped {
		return errStopped
	}
	file := filepath.Join(m.fleet.folder, m.name+".toml")
	if err := os.WriteFile(file, []byte(m.settings()), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(m.fleet.program, "sidecar", "run")
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.fleet.folder, "MAGNOLIAWHARF_BOOT=" + file}
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.command, m.ended = command, ended
	m.mu.Unlock()
	go func() {
		err := command.Wait()
		m.fleet.rec.printf("%s: the process has ended: %v", m.name, err)
		close(ended)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.command != nil {
		_ = m.command.Process.Signal(s)
	}
}

// kill kills the node's process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.await()
}

// await waits for the end of the node's process.
func (m *machine) await() {
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

// stop ends all processes and stand-ins.
func (f *fleet) stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return
	}
	f.stopped = true
	for _, m := range f.machines {
		m.kill()
		if m.app != nil {
			m.app.stop()
		}
	}
	if f.store != nil {
		f.store.stop()
	}
}

// dial opens a connection to the outbound address of the machine.
func (m *machine) dial(timeout time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp", m.address(outboundPort), timeout)
}
