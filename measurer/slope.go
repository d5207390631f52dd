package measurer

import (
	"math"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// A Slope is the linear growth of a cost with a size, fitted to measured points.
type Slope struct {
	// Name is in snake case. Unit is the unit of the cost per unit of the size.
	Name string
	Unit string
	// Size names the quantity that the cost grows with.
	Size string
	// Intercept is the cost at size 0, PerUnit the growth per unit of the size,
	// and StdErr the standard error of PerUnit.
	Intercept float64
	PerUnit   float64
	StdErr    float64
	// Points are the measured costs.
	Points []SlopePoint
	// Method describes in one line how the points were measured.
	Method string
}

// A SlopePoint is the cost measured at a size.
type SlopePoint struct{ Size, Cost float64 }

// ErrTooFewPoints is returned when the points do not determine a line.
var ErrTooFewPoints = errors.New("too few points for a slope")

// fitLine fits a line to the points by least squares and returns its
// coefficients and the standard error of perUnit. It needs at least three points
// that are not all of the same size.
func fitLine(points []SlopePoint) (intercept, perUnit, stderr float64, err error) {
	n := float64(len(points))
	if n < 3 {
		return 0, 0, 0, errors.Wrapf(ErrTooFewPoints, "got %d, want at least 3", len(points))
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
	intercept = meanY - perUnit*meanX
	residual := 0.0
	for _, p := range points {
		d := p.Cost - intercept - perUnit*p.Size
		residual += d * d
	}
	return intercept, perUnit, math.Sqrt(residual / (n - 2) / sxx), nil
}

// newSlope returns the slope fitted to the points.
func newSlope(name, unit, size, method string, points []SlopePoint) (Slope, error) {
	intercept, perUnit, stderr, err := fitLine(points)
	return Slope{
		Name: name, Unit: unit, Size: size, Method: method, Intercept: intercept, PerUnit: perUnit, StdErr: stderr, Points: points,
	}, errors.WithMessage(err, name)
}

// processorTime returns the user and system time that this process has used.
func processorTime() (time.Duration, error) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()), nil
}

// microseconds converts a duration to a cost in us.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }
