package telemetry

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledPipe returns a full pipe that is not read.
func stalledPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.Close(), w.Close() })
	_ = w.SetWriteDeadline(time.Now().Add(20 * time.Millisecond))
	if _, err := w.Write(make([]byte, 1<<20)); err == nil {
		t.Fatal("the pipe is not full")
	}
	_ = w.SetWriteDeadline(time.Time{})
	return r, w
}

func TestLogOfStalledReader(t *testing.T) {
	is := is.New(t)
	metrics, err := NewMetrics("test")
	is.NoErr(err)
	r, w := stalledPipe(t)
	logger, flush, err := NewProcessLogger(w, "info", "test", "node-1", metrics)
	is.NoErr(err)
	const lines = 5000
	began := time.Now()
	for n := range lines {
		logger.Info("line", "n", n)
	}
	flush()
	is.True(time.Since(began) < 2*time.Second) // neither a line nor the end waits for the reader
	dropped := metrics.Totals()[CounterKey{CounterLogDropped, DropQueueFull}]
	is.True(dropped > 0 && dropped < lines)

	is.NoErr(r.SetReadDeadline(time.Now().Add(500 * time.Millisecond)))
	text, _ := io.ReadAll(r)
	is.Equal(uint64(strings.Count(string(text), `"msg":"line"`)), lines-dropped) // whole lines, once each
}

// withoutReader is set in the process that logs to a closed pipe.
const withoutReader = "TELEMETRY_TEST_WITHOUT_READER"

func TestLogTellsOfDroppedLines(t *testing.T) {
	is := is.New(t)
	metrics, err := NewMetrics("test")
	is.NoErr(err)
	r, w := stalledPipe(t)
	logger, flush, err := NewProcessLogger(w, "info", "test", "node-1", metrics)
	is.NoErr(err)
	for n := range 5000 {
		logger.Info("line", "n", n)
	}
	dropped := metrics.Totals()[CounterKey{CounterLogDropped, DropQueueFull}]
	is.NoErr(r.SetReadDeadline(time.Now().Add(500 * time.Millisecond)))
	text, _ := io.ReadAll(r)
	told := fmt.Sprintf(`"msg":"log_lines_dropped","process":"test","node":"node-1","lines":%d}`, dropped)
	is.True(strings.Contains(string(text), told))
	flush()
}

// The pipe of standard output is closed at its other end.
func TestLogOfReaderThatIsGone(t *testing.T) {
	is := is.New(t)
	if os.Getenv(withoutReader) == "" {
		r, w, err := os.Pipe()
		is.NoErr(err)
		is.NoErr(r.Close())
		defer w.Close()
		cmd := exec.Command(os.Args[0], "-test.run=^TestLogOfReaderThatIsGone$")
		cmd.Env, cmd.Stdout = append(os.Environ(), withoutReader+"=1"), w
		is.NoErr(cmd.Run())
		return
	}
	metrics, err := NewMetrics("test")
	is.NoErr(err)
	logger, flush, err := NewProcessLogger(os.Stdout, "info", "test", "node-1", metrics)
	is.NoErr(err)
	logger.Info("line")
	flush()
	is.Equal(metrics.Totals()[CounterKey{CounterLogDropped, DropWriteFailed}], uint64(1))
}
