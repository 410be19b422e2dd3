package ctl

import (
	"encoding/json"

	"github.com/bulrushshelf/bulrushshelf/internal/config"
	"github.com/bulrushshelf/bulrushshelf/internal/model"
	"github.com/bulrushshelf/bulrushshelf/internal/passnode"
	"github.com/bulrushshelf/bulrushshelf/internal/storeclient"
)

// explainEvacuation returns the evacuation that keeps new flows from a data centre or from a
// target, or nil.
func (a *app) explainEvacuation(name string) (*explanation, error) {
	if a.platform.EvacuationPrefix == "" {
		return nil, nil
	}
	c, err := a.storeClient()
	if err != nil {
		return nil, err
	}
	ctx, cancel := a.callContext()
	defer cancel()
	l, err := c.List(ctx, a.platform.EvacuationPrefix)
	if err != nil {
		return nil, storeErrorWithCode(err)
	}
	evacuated := func(dc model.DataCentre) bool {
		for _, o := range l.Objects {
			if o.Path == a.platform.EvacuationPrefix+string(dc) {
				return true
			}
		}
		return false
	}
	if dc := model.DataCentre(name); evacuated(dc) {
		return &explanation{Kind: config.KindDataCentre.String(), Name: name, Evacuated: dc}, nil
	}
	if len(l.Objects) == 0 {
		return nil, nil
	}
	agents, err := c.List(ctx, passnode.AgentsPrefix)
	if err != nil {
		return nil, storeErrorWithCode(err)
	}
	if dc := dataCentreOf(agents, model.NodeID(name)); dc != "" && evacuated(dc) {
		return &explanation{Kind: config.KindTarget.String(), Name: name, Evacuated: dc}, nil
	}
	return nil, nil
}

// dataCentreOf returns the data centre of the target of an agent, "" if it is not listed.
func dataCentreOf(agents storeclient.Listing, node model.NodeID) model.DataCentre {
	for _, o := range agents.Objects {
		var x passnode.AgentObject
		if json.Unmarshal(o.Content, &x) == nil && x.Node == node { // the object of another writer names no agent
			return x.DataCentre
		}
	}
	return ""
}

// withEvacuation adds an evacuation to the explanation of the same subject, or as another one.
func withEvacuation(all []explanation, evacuated *explanation) []explanation {
	if evacuated == nil {
		return all
	}
	for i := range all {
		if all[i].Kind == evacuated.Kind {
			all[i].Evacuated = evacuated.Evacuated
			return all
		}
	}
	return append(all, *evacuated)
}
