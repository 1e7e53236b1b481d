package load

import (
	"context"
	"fmt"
	"strings"

	"github.com/limpettrail/limpettrail/core/policy"
)

// Scenario is a named experiment that yields one of the acceptance figures.
type Scenario struct {
	Name        string
	Description string
	cases       func(o Options) []Case
}

const (
	urgentLoad = 0.2 // offered load of the urgent class, as a share of the slots
	bulkLoad   = 1.0 // offered load of the bulk class, as a share of the slots
)

// Scenarios returns the known scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"overload", "offered loads of 1 and 2: goodput of the second over the first", overloadCases},
		{"classes", "urgent class at 20% and bulk class at 100% of the slots", classCases},
		{"faults", "70% load, one upstream fails every task, one is killed", faultCases},
		{"bad-worker", "70% load, one upstream fails every task; shows the starts it receives", badWorkerCases},
		{"bad-jobs", "70% load, one job in ten fails on every upstream", badJobCases},
		{"near-full", "95% load", nearFullCases},
		{"emphasis", "the two extremes of the emphasis setting on the same workload", emphasisCases},
	}
}

// RunScenario runs the named scenario.
func RunScenario(ctx context.Context, o Options, name string) (Report, error) {
	o = o.WithDefaults()
	var names []string
	for _, s := range Scenarios() {
		if s.Name == name {
			cases := s.cases(o)
			return RunCases(ctx, cases[0].Options, cases)
		}
		names = append(names, s.Name)
	}
	return Report{}, fmt.Errorf("load: unknown scenario %q; known scenarios are %s", name, strings.Join(names, ", "))
}

// defaultSchemeAs returns the default scheme under the given name.
func defaultSchemeAs(name string) Scheme {
	s := DefaultScheme()
	s.Name = name
	return s
}

func overloadCases(o Options) []Case {
	once, twice := o, o
	once.Load, twice.Load = 1, 2
	return []Case{{once, defaultSchemeAs("load_1x")}, {twice, defaultSchemeAs("load_2x")}}
}

func classCases(o Options) []Case {
	o.Load = urgentLoad + bulkLoad
	o.Classes = DefaultClasses()
	o.Classes[0].Share = urgentLoad
	o.Classes[1].Share = bulkLoad
	return []Case{{o, DefaultScheme()}}
}

func faultCases(o Options) []Case {
	o.Faults = Faults{Bad: 1, Kill: 1}
	return []Case{{o.WithDefaults(), DefaultScheme()}}
}

func badWorkerCases(o Options) []Case {
	o.Faults = Faults{Bad: 1}
	return []Case{{o.WithDefaults(), DefaultScheme()}}
}

func badJobCases(o Options) []Case {
	o.FailShare = 0.1
	return []Case{{o, DefaultScheme()}}
}

func nearFullCases(o Options) []Case {
	o.Load = 0.95
	return []Case{{o, DefaultScheme()}}
}

func emphasisCases(o Options) []Case {
	response, messages := o, o
	response.Settings.Emphasis = policy.EmphasisResponse
	messages.Settings.Emphasis = policy.EmphasisMessages
	return []Case{{response, defaultSchemeAs("response")}, {messages, defaultSchemeAs("messages")}}
}
