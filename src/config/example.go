package config

import (
	"fmt"
	"time"
)

// The example documents have the sizes of the users' installations. Their addresses are loopback placeholders
// for a deployment to replace.

func ms(n int) Duration { return Duration(time.Duration(n) * time.Millisecond) }

// exampleServers adds n servers of a pool, distributed over the failure domains.
func exampleServers(d *Document, pool, model string, n, slots int) {
	for i := range n {
		at := len(d.BackendServers)
		d.BackendServers = append(d.BackendServers, BackendServerDoc{
			Name: fmt.Sprintf("%s-%d", pool, i+1), Address: fmt.Sprintf("127.0.%d.%d:9000", 10+at/250, 1+at%250),
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)].Name, Pool: pool, Slots: slots, Model: model,
			ChecksOrders: model != "" && i%3 != 2,
		})
	}
}

func domainNames(d *Document) []string {
	names := make([]string, len(d.FailureDomains))
	for i, f := range d.FailureDomains {
		names[i] = f.Name
	}
	return names
}

// exampleStages returns four stages that end in a generate stage.
func exampleStages(encode, retrieve, rerank, generate, model string, tokens int) []StageDoc {
	return []StageDoc{
		{Name: "encode", Kind: "encode", Pool: encode, TypicalRun: ms(10)},
		{Name: "retrieve", Kind: "retrieve", Pool: retrieve, TypicalRun: ms(20)},
		{Name: "rerank", Kind: "rerank", Pool: rerank, TypicalRun: ms(15)},
		{Name: "generate", Kind: "generate", Pool: generate, Model: model, MaxTokens: tokens},
	}
}

// exampleOnceStages returns three stages that end in a service call that must not be repeated.
func exampleOnceStages(encode, retrieve, service string) []StageDoc {
	return []StageDoc{
		{Name: "encode", Kind: "encode", Pool: encode, TypicalRun: ms(10)},
		{Name: "retrieve", Kind: "retrieve", Pool: retrieve, TypicalRun: ms(20)},
		{Name: "record", Kind: "service", Pool: service, Once: true, TypicalRun: ms(15)},
	}
}

func exampleLevels() []ServiceLevelDoc {
	return []ServiceLevelDoc{
		{Name: "prompt-attainment", Class: "prompt", Measure: "attainment", Objective: 0.99},
		{Name: "may-wait-attainment", Class: "may_wait", Measure: "attainment", Objective: 0.999},
		{Name: "first-token", Class: "prompt", Measure: "first_token", Within: ms(530), Objective: 0.95},
		{Name: "between-tokens", Class: "prompt", Measure: "between_tokens", Within: ms(55), Objective: 0.95},
	}
}

// ExamplePageworks returns a configuration of the size of the Pageworks installation.
func ExamplePageworks() *Document {
	d := &Document{Version: 1, Objectives: exampleLevels()}
	for _, n := range []string{"nw-1", "nw-2", "nw-3", "nw-4"} {
		d.FailureDomains = append(d.FailureDomains, FailureDomainDoc{Name: n, Region: "northwest"})
	}
	d.Models = []ModelDoc{{Name: "layout-8b", Version: "1", LoadTime: ms(300)}}
	exampleServers(d, "engines", "layout-8b", 9, 8)
	exampleServers(d, "proofing", "", 4, 8)
	exampleServers(d, "photo-archive", "", 6, 8)
	exampleServers(d, "order-accounts", "", 5, 8)
	exampleServers(d, "printer-handoff", "", 4, 8)
	gen := func(tokens int) []StageDoc {
		return exampleStages("proofing", "photo-archive", "order-accounts", "engines", "layout-8b", tokens)
	}
	d.Pipelines = []PipelineDoc{
		{Name: "spread-draft", Class: "may_wait", MustFinish: true, Deadline: ms(30000), Weight: 2, Stages: gen(400)},
		{Name: "caption", Class: "prompt", Deadline: ms(2000), Weight: 2, Stages: gen(40)},
		{Name: "tag-suggestion", Class: "prompt", Deadline: ms(1000), Weight: 1, Stages: gen(12)},
		{Name: "proof-approval", Class: "prompt", Deadline: ms(1500), Weight: 1, Stages: exampleOnceStages("proofing", "order-accounts", "printer-handoff")},
		{Name: "tag-stamp", Class: "prompt", Deadline: ms(1500), Weight: 1, Stages: exampleOnceStages("proofing", "order-accounts", "photo-archive")},
	}
	all := []string{"spread-draft", "caption", "tag-suggestion", "proof-approval", "tag-stamp"}
	for i, n := range []string{"district-north", "district-south", "lakeside", "hillcrest", "riverview"} {
		d.Workspaces = append(d.Workspaces, exampleWorkspace(d, n, all, []float64{3, 3, 1, 1, 1}[i]))
	}
	return d
}

func exampleWorkspace(d *Document, name string, pipelines []string, weight float64) WorkspaceDoc {
	w := WorkspaceDoc{Name: name, Weight: weight, Pipelines: pipelines}
	w.EntryIn, w.RunIn, w.RestIn = domainNames(d), domainNames(d), domainNames(d)
	return w
}

// ExampleGiftenregister returns a configuration of the size of the Giftenregister installation. The workspace
// of the auditors is limited to two of the three failure domains.
func ExampleGiftenregister() *Document {
	d := &Document{Version: 1, Objectives: exampleLevels()}
	for _, n := range []string{"hal-a", "hal-b", "hal-c"} {
		d.FailureDomains = append(d.FailureDomains, FailureDomainDoc{Name: n, Region: "nederland"})
	}
	d.Models = []ModelDoc{{Name: "dossier-24b", Version: "1", LoadTime: ms(300)}}
	exampleServers(d, "engines", "dossier-24b", 18, 8)
	exampleServers(d, "donor-desk", "", 7, 8)
	exampleServers(d, "public-register", "", 3, 8)
	exampleServers(d, "audit-portal", "", 4, 8)
	exampleServers(d, "donor-mail", "", 5, 8)
	gen := func(tokens int) []StageDoc {
		return exampleStages("donor-desk", "audit-portal", "donor-mail", "engines", "dossier-24b", tokens)
	}
	d.Pipelines = []PipelineDoc{
		{Name: "dossier-review", Class: "may_wait", MustFinish: true, Deadline: ms(60000), Weight: 4, Stages: gen(500)},
		{Name: "letter", Class: "may_wait", MustFinish: true, Deadline: ms(40000), Weight: 3, Stages: gen(250)},
		{Name: "receipt", Class: "prompt", Deadline: ms(1500), Weight: 1, Stages: exampleOnceStages("donor-desk", "audit-portal", "public-register")},
		{Name: "registration", Class: "prompt", Deadline: ms(2000), Weight: 1, Stages: exampleOnceStages("donor-desk", "donor-mail", "public-register")},
		{Name: "status-check", Class: "prompt", Deadline: ms(1200), Weight: 1, Stages: gen(16)},
	}
	all := []string{"dossier-review", "letter", "receipt", "registration", "status-check"}
	for i, n := range []string{"audit", "donor-desk", "registry", "provinces", "appeals"} {
		d.Workspaces = append(d.Workspaces, exampleWorkspace(d, n, all, []float64{4, 2, 1, 1, 1}[i]))
	}
	audit := &d.Workspaces[0]
	audit.EntryIn, audit.RunIn, audit.RestIn = []string{"hal-a", "hal-b"}, []string{"hal-a", "hal-b"}, []string{"hal-a", "hal-b"}
	return d
}

// ExampleTarget returns a configuration of the target size: 2 regions, 5 failure domains, 600 engines, 4
// models, 16 pipelines, 1,300 workspaces.
func ExampleTarget() *Document {
	d := &Document{Version: 1, Objectives: exampleLevels()}
	for i, n := range []string{"west-1", "west-2", "west-3", "east-1", "east-2"} {
		d.FailureDomains = append(d.FailureDomains, FailureDomainDoc{Name: n, Region: []string{"west", "east"}[i/3]})
	}
	for i := range 4 {
		m := fmt.Sprintf("model-%d", i+1)
		d.Models = append(d.Models, ModelDoc{Name: m, Version: "1", LoadTime: ms(60000)})
		exampleServers(d, "engines-"+m, m, 150, 64)
	}
	for _, p := range []string{"encoders", "retrievers", "rerankers", "records"} {
		exampleServers(d, p, "", 40, 32)
	}
	var names []string
	for i := range 16 {
		m := fmt.Sprintf("model-%d", i%4+1)
		p := PipelineDoc{Name: fmt.Sprintf("pipeline-%02d", i+1), Class: "prompt", Deadline: ms(2000), Stages: exampleStages("encoders", "retrievers", "rerankers", "engines-"+m, m, 200)}
		if i%8 == 7 {
			p.Stages = exampleOnceStages("encoders", "retrievers", "records")
		}
		d.Pipelines = append(d.Pipelines, p)
		names = append(names, p.Name)
	}
	for i := range 1300 {
		w := exampleWorkspace(d, fmt.Sprintf("workspace-%04d", i+1), names[i%8:i%8+8], 1)
		if i%2 == 0 {
			w.EntryIn, w.RunIn, w.RestIn = domainNames(d)[:3], domainNames(d)[:3], domainNames(d)[:3]
		}
		d.Workspaces = append(d.Workspaces, w)
	}
	return d
}
