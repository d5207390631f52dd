package acceptor

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

// scramMechanism is the only SASL mechanism offered, and the prefix of
// verifiers.
const scramMechanism = "SCRAM-SHA-256"

// errInvalidVerifier means that a stored verifier does not have the expected
// form.
var errInvalidVerifier = errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$stored_key:server_key")

// MakeVerifier returns the verifier of a secret in the form in which PostgreSQL
// stores it: SCRAM-SHA-256$iterations:salt$stored_key:server_key, with the last
// three in base64. If iterations is less than 1, it returns an empty string,
// with which no client can authenticate.
func MakeVerifier(secret string, salt []byte, iterations int) string {
	credentials, err := storedCredentials(secret, scram.KeyFactors{Salt: string(salt), Iters: iterations})
	if err != nil || iterations < 1 {
		return ""
	}
	encode := base64.StdEncoding.EncodeToString
	return scramMechanism + "$" + strconv.Itoa(iterations) + ":" + encode(salt) +
		"$" + encode(credentials.StoredKey) + ":" + encode(credentials.ServerKey)
}

// storedCredentials derives the credentials of a secret. Like PostgreSQL, it
// uses the unmodified bytes of a secret that SASLprep rejects.
func storedCredentials(secret string, factors scram.KeyFactors) (scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		client, err = scram.SHA256.NewClientUnprepped("", secret, "")
	}
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "create SCRAM client")
	}
	return client.GetStoredCredentialsWithError(factors)
}

// parseVerifier parses a verifier. Errors wrap errInvalidVerifier.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var credentials scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != scramMechanism {
		return credentials, errors.WithStack(errInvalidVerifier)
	}
	iterations, salt, hasSalt := strings.Cut(parts[1], ":")
	stored, server, hasServerKey := strings.Cut(parts[2], ":")
	iterationCount, err := strconv.Atoi(iterations)
	if !hasSalt || !hasServerKey || err != nil || iterationCount < 1 {
		return credentials, errors.WithStack(errInvalidVerifier)
	}
	var decoded [3][]byte
	for i, field := range []string{salt, stored, server} {
		if decoded[i], err = base64.StdEncoding.DecodeString(field); err != nil {
			return credentials, errors.Wrap(errInvalidVerifier, "decode base64")
		}
	}
	if len(decoded[1]) != sha256.Size || len(decoded[2]) != sha256.Size {
		return credentials, errors.Wrap(errInvalidVerifier, "wrong key length")
	}
	credentials.Salt, credentials.Iters = string(decoded[0]), iterationCount
	credentials.StoredKey, credentials.ServerKey = decoded[1], decoded[2]
	return credentials, nil
}

// mockCredentials returns credentials that no secret matches, for a key that
// does not exist. Like that of an existing key, the salt of a name is always
// the same.
func (a *Acceptor) mockCredentials(user string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(a.mockHMAC("salt", user)[:16]), Iters: a.MockIterations},
		StoredKey:  a.mockHMAC("stored", user),
		ServerKey:  a.mockHMAC("server", user),
	}
}

func (a *Acceptor) mockHMAC(purpose, user string) []byte {
	h := hmac.New(sha256.New, a.MockSecret)
	h.Write([]byte(purpose + "\x00" + user))
	return h.Sum(nil)
}
