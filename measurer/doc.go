// Package measurer runs hosts and emulated databases and stores in one process,
// applies load and faults to them, and measures what clients observe.
package measurer
