// Package measurer runs hosts and stand-ins in one process, puts load and
// faults on them, and measures what callers get.
package measurer
