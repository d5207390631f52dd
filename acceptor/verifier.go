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

// errBadVerifier says that a stored verifier has another form.
var errBadVerifier = errors.New("verifier is not of the form SCRAM-SHA-256$iterations:salt$stored:server")

// MakeVerifier returns the verifier of a secret, in the form that PostgreSQL
// stores: SCRAM-SHA-256$iterations:salt$stored_key:server_key, with base64 for
// the last three. It returns an empty text, which admits nobody, if iterations
// is not at least 1.
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
// uses the bytes of a secret that SASLprep does not accept.
func storedCredentials(secret string, factors scram.KeyFactors) (scram.StoredCredentials, error) {
	client, err := scram.SHA256.NewClient("", secret, "")
	if err != nil {
		client, err = scram.SHA256.NewClientUnprepped("", secret, "")
	}
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "scram client")
	}
	return client.GetStoredCredentialsWithError(factors)
}

// parseVerifier reads a verifier. Errors wrap errBadVerifier.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var credentials scram.StoredCredentials
	parts := strings.Split(text, "$")
	if len(parts) != 3 || parts[0] != scramMechanism {
		return credentials, errors.WithStack(errBadVerifier)
	}
	iterations, salt, ok := strings.Cut(parts[1], ":")
	stored, server, ok2 := strings.Cut(parts[2], ":")
	count, err := strconv.Atoi(iterations)
	if !ok || !ok2 || err != nil || count < 1 {
		return credentials, errors.WithStack(errBadVerifier)
	}
	var decoded [3][]byte
	for i, field := range []string{salt, stored, server} {
		if decoded[i], err = base64.StdEncoding.DecodeString(field); err != nil {
			return credentials, errors.Wrap(errBadVerifier, "base64")
		}
	}
	if len(decoded[1]) != sha256.Size || len(decoded[2]) != sha256.Size {
		return credentials, errors.Wrap(errBadVerifier, "length")
	}
	credentials.Salt, credentials.Iters = string(decoded[0]), count
	credentials.StoredKey, credentials.ServerKey = decoded[1], decoded[2]
	return credentials, nil
}

// mockCredentials returns credentials that no secret matches, for a key that
// does not exist. The salt of a name is always the same, as for a real key.
func (a *Acceptor) mockCredentials(user string) scram.StoredCredentials {
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(a.mock("salt", user)[:16]), Iters: a.MockIterations},
		StoredKey:  a.mock("stored", user),
		ServerKey:  a.mock("server", user),
	}
}

func (a *Acceptor) mock(purpose, user string) []byte {
	h := hmac.New(sha256.New, a.MockSecret)
	h.Write([]byte(purpose + "\x00" + user))
	return h.Sum(nil)
}
