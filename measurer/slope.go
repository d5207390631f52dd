package measurer

import (
	"math"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A Slope is how a cost grows with a size, fitted to measured points.
type Slope struct {
	// Name is in snake case; Unit is that of the cost per unit of the size.
	Name string
	Unit string
	// Size names what the cost grows with.
	Size string
	// Base is the cost at size 0, PerUnit the growth per unit of the size, and
	// Error the standard error of PerUnit.
	Base    float64
	PerUnit float64
	Error   float64
	// Points are what was measured.
	Points []SlopePoint
	// Method says in one line how it was measured.
	Method string
}

// A SlopePoint is a cost at a size.
type SlopePoint struct{ Size, Cost float64 }

// ErrTooFewPoints says that a line cannot be fitted.
var ErrTooFewPoints = errors.New("too few points for a slope")

// fit returns the line of least squares through the points, of which there are
// at least three of different sizes.
func fit(points []SlopePoint) (base, perUnit, stderr float64, err error) {
	n := float64(len(points))
	if n < 3 {
		return 0, 0, 0, errors.Wrapf(ErrTooFewPoints, "%d", len(points))
	}
	meanX, meanY := 0.0, 0.0
	for _, p := range points {
		meanX += p.Size / n
		meanY += p.Cost / n
	}
	sxx, sxy := 0.0, 0.0
	for _, p := range points {
		sxx += (p.Size - meanX) * (p.Size - meanX)
		sxy += (p.Size - meanX) * (p.Cost - meanY)
	}
	if sxx == 0 {
		return 0, 0, 0, errors.Wrap(ErrTooFewPoints, "all sizes are the same")
	}
	perUnit = sxy / sxx
	base = meanY - perUnit*meanX
	residual := 0.0
	for _, p := range points {
		d := p.Cost - base - perUnit*p.Size
		residual += d * d
	}
	return base, perUnit, math.Sqrt(residual / (n - 2) / sxx), nil
}

// newSlope fits a slope to the points.
func newSlope(name, unit, size, method string, points []SlopePoint) (Slope, error) {
	base, perUnit, stderr, err := fit(points)
	return Slope{
		Name: name, Unit: unit, Size: size, Method: method, Base: base, PerUnit: perUnit, Error: stderr, Points: points,
	}, errors.WithMessage(err, name)
}

// processorTime returns the processor time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// microseconds converts a duration for a cost in us.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
