package main

import (
	"os"
	"syscall"
	"time"
)

// logPipe is the pipe from the processes of one machine to a collector of logs.
type logPipe struct {
	r, w *os.File
	done chan struct{} // closed when the collector reads no more
}

func newLogPipe() (*logPipe, error) {
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	return &logPipe{r, w, make(chan struct{})}, nil
}

// collect reads the log until stop is called.
func (l *logPipe) collect() {
	defer close(l.done)
	buf := make([]byte, 64<<10)
	for {
		if _, err := l.r.Read(buf); err != nil {
			return
		}
	}
}

// stop makes the collector stop reading. The pipe stays open.
func (l *logPipe) stop() error {
	err := l.r.SetReadDeadline(time.Now())
	<-l.done
	return err
}

// fill writes lines until the pipe is full, as the programs of a machine do some time after
// its collector has stopped reading.
func (l *logPipe) fill() error {
	fd := int(l.w.Fd())
	if err := syscall.SetNonblock(fd, true); err != nil {
		return err
	}
	for size := 4096; size > 0; {
		if _, err := syscall.Write(fd, make([]byte, size)); err != nil {
			size /= 2
		}
	}
	return syscall.SetNonblock(fd, false)
}

// output returns the standard output of a process.
func (l *logPipe) output() (*os.File, error) {
	fd, err := syscall.Dup(int(l.w.Fd()))
	if err != nil {
		return nil, err
	}
	return os.NewFile(uintptr(fd), "log"), nil
}
