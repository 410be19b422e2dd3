// Package demo runs a whole deployment in one process on loopback: balancers,
// agents, and stand-ins for the store, the fabric, the targets and the callers.
// It runs in real time and checks what bulrushshelf promises: for example, no flow
// breaks, no request runs twice, and each reported outcome is true.
package demo

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/netstack"
	"github.com/bulrushshelf/bulrushshelf/internal/standin/fabric"
)

// Spec describes a deployment.
type Spec struct {
	Name        string
	DCs         []model.DataCentre
	CallerDelay time.Duration // one way
	Services    []ServiceSpec
	Keepalive   netstack.Keepalive // of the agents towards the callers
}

// ServiceSpec is one service of a deployment.
type ServiceSpec struct {
	Name    model.ServiceName
	Addr    netip.AddrPort
	Targets int
	// FeedPath and WorkPath are the URL paths that the callers request.
	FeedPath, WorkPath string
}

const (
	slotsPerTarget = 3
	flowsPerTarget = 2000
)

// Deployments returns the names of the sample deployments.
func Deployments() []string { return []string{"varmevej", "podas"} }

// Deployment returns the spec of the sample deployment with the given name.
func Deployment(name string) (Spec, error) {
	service := func(service, addr string, targets int) ServiceSpec {
		return ServiceSpec{
			Name: model.ServiceName(service), Addr: netip.MustParseAddrPort(addr), Targets: targets,
			FeedPath: "/feed", WorkPath: "/confirm",
		}
	}
	switch name {
	case "varmevej":
		return Spec{
			Name: name, DCs: []model.DataCentre{"dk-east-a", "dk-east-b", "dk-east-c"}, CallerDelay: 3 * time.Millisecond,
			Services: []ServiceSpec{service("dispatch", "10.80.0.1:80", 7), service("warranty-intake", "10.80.0.2:80", 3)},
		}, nil
	case "podas":
		return Spec{
			Name: name, DCs: []model.DataCentre{"stgo-a", "stgo-b", "stgo-c"}, CallerDelay: time.Millisecond,
			Services: []ServiceSpec{service("facturador", "10.90.0.1:80", 7), service("evidencias", "10.90.0.2:80", 3)},
		}, nil
	}
	return Spec{}, trace.BadParameter("deployment %q does not exist; use one of %v", name, Deployments())
}

// targetName returns the name and data centre of the i-th target of a service.
func (s Spec) targetName(svc ServiceSpec, i int) (model.NodeID, model.DataCentre) {
	dc := s.DCs[i%len(s.DCs)]
	return model.NodeID(fmt.Sprintf("%s-%s-%d", dc, svc.Name, i+1)), dc
}

// fabricFaults returns the delay and loss between callers and balancers.
func (s Spec) fabricFaults() fabric.Faults {
	return fabric.Faults{Loss: 0.005, MinDelay: s.CallerDelay, MaxDelay: s.CallerDelay + 2*time.Millisecond}
}

// decisionFile returns the decision file that defines the address of a service.
func (s Spec) decisionFile(svc ServiceSpec) (name, content string) {
	return fmt.Sprintf("10-%s-address.yaml", svc.Name),
		fmt.Sprintf("service: %s\naddresses: [%s/tcp]\nwarmup: 1s\n", svc.Name, svc.Addr)
}
