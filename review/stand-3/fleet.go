package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

// Ports of each machine, which has an address of its own.
const (
	inboundPort   = 8300
	appPort       = 8301
	readyPort     = 8302
	outboundPort  = 8304
	controlPort   = 8306
	storePort     = 8309
	datagramsPort = 7620
	metricsPort   = 9464
)

const (
	programPath  = "target/magnoliawharf"
	templatePath = "deploy/node.toml"
	readyTimeout = 20 * time.Second
	killTimeout  = 2 * time.Second
)

// errCannotRun is wrapped by the errors of a case that could not be played.
var errCannotRun = errors.New("the case cannot run")

// machine is one node with the back end beside it.
type machine struct {
	fleet   *fleet
	name    string
	ip      string
	zone    string
	service string
	backend *backend
	node    *exec.Cmd
	exited  chan struct{}
}

// fleet is a small deployment: the store, and machines with a node and a back end each.
type fleet struct {
	folder   string
	prefix   string // of the addresses
	record   *record
	store    *kvStore
	machines []*machine
	// strictRevoke is the bound of that name, which has to be set before the first machine is added.
	strictRevoke bool

	mu   sync.Mutex
	runs map[string][]run // by X-Attempt-Id
}

// newFleet starts the store. The addresses are those of a loopback network that no other run uses.
func newFleet(r *record) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	f := &fleet{folder: folder, record: r, runs: make(map[string][]run)}
	for try := range 50 {
		number := os.Getpid() + 97*try
		f.prefix = fmt.Sprintf("127.%d.%d.", 20+number>>8%200, number%256)
		if f.store, err = startStore(f.address(1, storePort)); err == nil {
			return f, nil
		}
	}
	return nil, fmt.Errorf("%w: %w", errCannotRun, err)
}

func (f *fleet) address(host, port int) string {
	return net.JoinHostPort(f.prefix+strconv.Itoa(host), strconv.Itoa(port))
}

func (m *machine) address(port int) string { return net.JoinHostPort(m.ip, strconv.Itoa(port)) }

func (f *fleet) addRun(r run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[r.id] = append(f.runs[r.id], r)
}

// runsOf returns the runs of a request that have ended.
func (f *fleet) runsOf(id string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runs[id]
}

// publish writes a version of the manifest, as the operator does.
func (f *fleet) publish(manifest map[string]any) {
	raw, _ := json.Marshal(manifest)
	f.store.put("op/config", raw)
	f.record.add("the operator has written manifest %v", manifest["version"])
}

// addMachine starts a node and the back end beside it.
func (f *fleet) addMachine(service, zone string, slots int) (*machine, error) {
	number := len(f.machines) + 10
	m := &machine{fleet: f, name: fmt.Sprintf("node-%d", number), ip: f.prefix + strconv.Itoa(number), zone: zone, service: service}
	f.machines = append(f.machines, m)
	if err := m.startNode(); err != nil {
		return nil, err
	}
	m.backend = &backend{
		id: fmt.Sprintf("i-%d", number), service: service, zone: zone, address: m.address(appPort), control: m.address(controlPort),
		record: f.record, onRun: f.addRun,
	}
	return m, startBackend(m.backend, slots)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#bounds\.strictRevoke\}\}(.*?)\{\{/bounds\.strictRevoke\}\}`)
	placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)
)

// settings fills the template of the deploy file, as the platform does.
func (m *machine) settings() ([]byte, error) {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return nil, err
	}
	values := map[string]string{
		"nodeName": m.name, "zone": m.zone, "region": "region-1", "service": m.service, "appAddr": m.address(appPort), "heartbeatMs": "1500",
		"listen.outbound": m.address(outboundPort), "listen.inbound": m.address(inboundPort), "ip": m.ip, "internalPorts.0": strconv.Itoa(datagramsPort),
		"listen.control": m.address(controlPort), "listen.ready": m.address(readyPort), "platform.address": m.fleet.address(1, storePort),
		"bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "58", "limits.memoryMb": "284", "limits.maxFds": "4100", "bounds.graceS": "6",
		"bounds.revokeMs": "5000",
	}
	rendered := ""
	if m.fleet.strictRevoke {
		rendered = "$1"
	}
	filled := section.ReplaceAll(template, []byte(rendered))
	unknown := ""
	filled = placeholder.ReplaceAllFunc(filled, func(found []byte) []byte {
		value, ok := values[strings.Trim(string(found), "{}")]
		if !ok {
			unknown = string(found)
		}
		return []byte(value)
	})
	if unknown != "" {
		return nil, fmt.Errorf("the template has the unknown placeholder %s", unknown)
	}
	return filled, nil
}

// startNode starts the process of the node with the command of the deploy file.
func (m *machine) startNode() error {
	settings, err := m.settings()
	if err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	path := filepath.Join(m.fleet.folder, m.name+".toml")
	if err := os.WriteFile(path, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	m.node = exec.Command(programPath, "sidecar", "run")
	m.node.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MAGNOLIAWHARF_BOOT=" + path}
	m.node.Stdout, m.node.Stderr = log, log
	if err := m.node.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	exited, node := make(chan struct{}), m.node
	m.exited = exited
	go func() {
		_ = node.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node's process.
func (m *machine) signal(s syscall.Signal) {
	m.fleet.record.add("%v is sent to %s", s, m.name)
	_ = m.node.Process.Signal(s)
}

// awaitReady waits until all nodes answer the readiness probe, and a little longer, until they know each other's back ends.
func (f *fleet) awaitReady() error {
	end := time.Now().Add(readyTimeout)
	for _, m := range f.machines {
		for !m.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%w: %s is not ready", errCannotRun, m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
	return nil
}

func (m *machine) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.address(readyPort)+"/-/readiness", nil)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends all processes and removes the folder, unless KEEP is set.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.node != nil && m.node.Process != nil {
			_ = m.node.Process.Kill()
			select {
			case <-m.exited:
			case <-time.After(killTimeout):
			}
		}
		if m.backend != nil && m.backend.server != nil {
			m.backend.crash()
		}
	}
	f.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println("logs:", f.folder)
	}
}
