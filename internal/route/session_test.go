package route

import (
	"bufio"
	"bytes"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/bulrushshelf/bulrushshelf/internal/message"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/packet"
)

var update = flag.Bool("update", false, "write the outputs into the session files")

var start = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)

// session applies the inputs of a session file to a router. A line that starts with ">" is a time
// and an input; the lines after it are the expected outputs.
type session struct {
	r   *Router
	ref Ref
}

func addr(s string) model.ServiceAddr {
	return model.ServiceAddr{Addr: netip.MustParseAddrPort(s), Proto: model.TCP}
}

func flow(port, dst, kind string) model.Flow {
	f := model.Flow{Src: netip.MustParseAddrPort("198.51.100.7:" + port), Dst: netip.MustParseAddrPort(dst), Proto: model.TCP}
	if kind == "udp" {
		f.Proto = model.UDP
	}
	return f
}

// view parses "service addr=A member=ID[,state[,held address]]...". A member given as foreign=
// names another service.
func view(words []string) model.ServiceView {
	v := model.ServiceView{Service: model.ServiceName(words[0])}
	states := map[string]model.State{"active": model.StateActive, "leaving": model.StateLeaving,
		"suspect": model.StateSuspect, "gone": model.StateGone}
	for _, w := range words[1:] {
		if a, ok := strings.CutPrefix(w, "addr="); ok {
			v.Addrs = append(v.Addrs, addr(a), model.ServiceAddr{Addr: addr(a).Addr, Proto: model.UDP})
			continue
		}
		word, foreign := strings.CutPrefix(w, "foreign=")
		part := strings.Split(strings.TrimPrefix(word, "member="), ",")
		m := model.Member{ID: model.NodeID(part[0]), Kind: model.KindAgent, Service: v.Service, State: model.StateActive, Weight: 1}
		if foreign {
			m.Service = "other"
		}
		if len(part) > 1 {
			m.State = states[part[1]]
		}
		for _, a := range part[min(2, len(part)):] {
			m.HeldAddrs = append(m.HeldAddrs, addr(a))
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// apply applies one input and returns its outputs.
func (s *session) apply(now time.Time, words []string) string {
	var out strings.Builder
	var acts []Action
	args := words[1:]
	switch words[0] {
	case "view":
		s.r.SetView(now, view(args))
	case "remove":
		s.r.RemoveService(now, model.ServiceName(args[0]))
	case "packet":
		f := flow(args[0], args[1], args[2])
		d := s.r.Route(now, &packet.Info{Flow: f, SYN: args[2] == "syn", ACK: args[2] == "ack"})
		fmt.Fprintln(&out, formatDecision(d))
		if d.Verdict == LookupHolder {
			s.ref++
			acts = s.r.Step(now, Buffered{s.ref, f, args[2] == "syn"})
		}
	case "hint":
		acts = s.r.Step(now, FlowHint{model.NodeID(args[0]), message.FlowHint{
			Flow: flow(args[1], args[2], ""), Holder: model.NodeID(strings.Trim(args[3], "-"))}})
	case "answer":
		id, _ := strconv.ParseUint(args[1], 10, 64)
		m := message.FlowAnswer{ID: id, Flow: flow(args[2], args[3], ""), Verdict: message.VerdictNone}
		if args[4] != "none" {
			m.Verdict, m.Holder = message.VerdictHeld, model.NodeID(args[4])
		}
		acts = s.r.Step(now, FlowAnswer{model.NodeID(args[0]), m})
	case "tick":
		acts = s.r.Step(now, Tick{})
	default:
		fmt.Fprintln(&out, "unknown input")
	}
	for _, a := range acts {
		switch a := a.(type) {
		case Send:
			q := a.Msg.(message.FlowQuery)
			fmt.Fprintf(&out, "send %s query %d of %s about %s\n", a.To, q.ID, q.Service, q.Flow.Src)
		case Release:
			fmt.Fprintf(&out, "release %d %s\n", a.Ref, formatDecision(a.Decision))
		case Count:
			fmt.Fprintf(&out, "count %s\n", a.Reason)
		}
	}
	return out.String()
}

func formatDecision(d Decision) string {
	switch d.Verdict {
	case Forward:
		return fmt.Sprintf("forward %s (%s)", d.To, d.Service)
	case Drop:
		return "drop " + string(d.Reason)
	case Reset:
		return "reset " + string(d.Reason)
	case LookupHolder:
		return "lookup"
	}
	return "invalid verdict"
}

// Guards against a change of any decision, query or counter in the recorded sessions. Each file
// states what it covers.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob("testdata/*.session")
	if err != nil || len(files) == 0 {
		t.Fatal("no session files", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			s := session{r: New(Options{Self: "b1", HintCapacity: 64, MaxLookups: 2, MaxBuffered: 6})}
			var got bytes.Buffer
			lines := bufio.NewScanner(bytes.NewReader(want))
			for lines.Scan() {
				line := lines.Text()
				if line == "" || line[0] == '#' {
					fmt.Fprintln(&got, line)
				}
				if !strings.HasPrefix(line, "> ") {
					continue
				}
				words := strings.Fields(line[2:])
				offset, err := time.ParseDuration(words[0])
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprintf(&got, "%s\n%s", line, s.apply(start.Add(offset), words[1:]))
			}
			if *update {
				if err := os.WriteFile(file, got.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got.String() != string(want) {
				t.Errorf("outputs differ:\n%s", got.String())
			}
		})
	}
}
