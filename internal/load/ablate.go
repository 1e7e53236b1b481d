package load

import (
	"context"

	"github.com/limpettrail/limpettrail/core/policy"
)

// partNames lists the scheduler parts that Ablate switches off, in report order.
var partNames = []string{
	"estimates", "slack-order", "spread", "speed", "health",
	"max-wait", "look-ahead", "fairness", "ageing", "admission", "containment",
}

// AblationSchemes returns the default scheme followed by one scheme for each
// part of its scheduler, with that part switched off.
func AblationSchemes() ([]Scheme, error) {
	schemes := []Scheme{DefaultScheme()}
	for _, name := range partNames {
		part, err := policy.PartByName(name)
		if err != nil {
			return nil, err
		}
		schemes = append(schemes, adaptiveScheme("no_"+name, part))
	}
	return schemes, nil
}

// Ablate compares the complete default scheduler with variants that each lack
// one part. The table's ratios are relative to the complete scheduler.
func Ablate(ctx context.Context, o Options) (Report, error) {
	schemes, err := AblationSchemes()
	if err != nil {
		return Report{}, err
	}
	return CompareSchemes(ctx, o, schemes)
}
