package main

import (
	"bufio"
	"crypto/rand"
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/endiveturn/endiveturn/acceptor"
)

const (
	// verifierIterations is the number of SCRAM iterations that PostgreSQL uses by
	// default.
	verifierIterations = 4096
	saltBytes          = 16
	// minSecretLength rejects short secrets, which are easy to guess.
	minSecretLength = 12
)

// A verifierCommand prints the verifier of a key object for a secret. The secret is
// read from standard input, because arguments are visible in process lists.
type verifierCommand struct {
	env *environment
}

// Execute implements flags.Commander.
func (c *verifierCommand) Execute([]string) error {
	line, err := bufio.NewReader(c.env.stdin).ReadString('\n')
	secret := strings.TrimRight(line, "\r\n")
	if err != nil && secret == "" {
		return errors.Wrap(err, "read secret from standard input")
	}
	if len(secret) < minSecretLength {
		return errors.Errorf("secret has %d characters, fewer than %d", len(secret), minSecretLength)
	}
	salt := make([]byte, saltBytes)
	if _, err := rand.Read(salt); err != nil {
		return errors.Wrap(err, "generate salt")
	}
	fmt.Fprintln(c.env.stdout, acceptor.MakeVerifier(secret, salt, verifierIterations))
	return nil
}
