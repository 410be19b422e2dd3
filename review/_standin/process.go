package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts a process again.
const restartDelay = 300 * time.Millisecond

// graceSeconds is grace-s of the sites.
const graceSeconds = 6

// process is one of the project's processes on one machine.
type process struct {
	name, run string // run is the command of deploy/system.toml
	settings  string // rendered template
	first     string // the same at the first start of the system
	dir       string
	rec       *recorder
	// output returns the standard output of the next start; nil writes it to a file.
	output func() (*os.File, error)

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool // by the platform: an end is expected
	ownEnds int  // ends that nobody asked for
	starts  int
}

func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	text := p.settings
	if p.starts == 0 && p.first != "" {
		text = p.first
	}
	p.starts++
	file := filepath.Join(p.dir, p.name+".yaml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	var out *os.File
	var err error
	if p.output != nil {
		out, err = p.output()
	} else {
		out, err = os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	}
	if err != nil {
		return err
	}
	defer out.Close()
	words := strings.Fields(p.run)
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + p.dir, "LANG=C", "BULRUSHSHELF_SETTINGS=" + file}
	errFile, err := os.OpenFile(filepath.Join(p.dir, p.name+".err"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer errFile.Close()
	cmd.Stdout, cmd.Stderr = out, errFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done, p.stopped = cmd, make(chan struct{}), false
	p.rec.note("%s starts", p.name)
	go p.wait(cmd, p.done)
	return nil
}

// wait waits for the end of a process, and starts it again if nobody asked for the end.
func (p *process) wait(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	p.mu.Lock()
	expected := p.stopped
	if !expected {
		p.ownEnds++
	}
	p.mu.Unlock()
	close(done)
	p.rec.note("%s ended: %s (asked for: %t)", p.name, cmd.ProcessState, expected)
	if !expected {
		time.Sleep(restartDelay)
		if err := p.start(); err != nil {
			p.rec.note("%s: %v", p.name, err)
		}
	}
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopped = p.stopped || s == syscall.SIGTERM || s == syscall.SIGKILL
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// terminate stops the process as the platform does: SIGTERM, and SIGKILL after grace-s. It
// returns how long the process took.
func (p *process) terminate() time.Duration {
	began := time.Now()
	p.signal(syscall.SIGTERM)
	p.rec.note("%s gets SIGTERM", p.name)
	select {
	case <-p.done:
	case <-time.After(graceSeconds * time.Second):
		p.rec.note("%s still runs %d s after SIGTERM and gets SIGKILL", p.name, graceSeconds)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	return time.Since(began)
}

// restart is a planned stop and a start.
func (p *process) restart() time.Duration {
	took := p.terminate()
	time.Sleep(restartDelay)
	if err := p.start(); err != nil {
		p.rec.note("%s: %v", p.name, err)
	}
	return took
}

// kill ends the process at once.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
