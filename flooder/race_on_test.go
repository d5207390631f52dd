//go:build uncontrolled && race

package flooder

const raceEnabled = true
