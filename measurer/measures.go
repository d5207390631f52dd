package measurer

import (
	"github.com/pkg/errors"
)

// ErrUnknownMeasure says that there is no measure of the name.
var ErrUnknownMeasure = errors.New("unknown measure")

// All returns all measures in the order in which they are run.
func All() []Measure {
	return []Measure{
		{Name: "failover_gap", Describes: "time without an acknowledged write when primaries are killed or cut off", Run: measureFailoverGap},
	}
}

// Find returns the measure of the name.
func Find(name string) (Measure, error) {
	for _, m := range All() {
		if m.Name == name {
			return m, nil
		}
	}
	return Measure{}, errors.Wrapf(ErrUnknownMeasure, "%q", name)
}
