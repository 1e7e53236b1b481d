package load

import (
	"context"

	"github.com/limpettrail/limpettrail/core/policy"
)

// partNames lists the parts of the chosen scheduler in the order of the report.
var partNames = []string{
	"estimates", "slack-order", "spread", "speed", "health",
	"max-wait", "look-ahead", "fairness", "ageing", "admission",
}

// AblationSchemes returns the chosen scheduler, and one scheme for each of its
// parts with that part switched off.
func AblationSchemes() ([]Scheme, error) {
	schemes := []Scheme{Chosen()}
	for _, name := range partNames {
		part, err := policy.PartByName(name)
		if err != nil {
			return nil, err
		}
		schemes = append(schemes, adaptive("no_"+name, part))
	}
	return schemes, nil
}

// Ablate runs the chosen scheduler beside copies of it that lack one part each.
// The table's ratios refer to the whole scheduler.
func Ablate(ctx context.Context, o Options) (Report, error) {
	schemes, err := AblationSchemes()
	if err != nil {
		return Report{}, err
	}
	return CompareSchemes(ctx, o, schemes)
}
