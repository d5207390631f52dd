package configurer

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
)

const (
	verifierScheme = "SCRAM-SHA-256"
	// minIterations is the minimum that RFC 7677 allows for SCRAM-SHA-256.
	minIterations = 4096
	// maxIterations limits the time that a client needs for one login.
	maxIterations = 1_000_000
	minSaltBytes  = 8
)

// checkVerifier describes the first violation of a verifier, or returns an empty
// string. The description contains no part of the verifier.
func checkVerifier(verifier string) string {
	const wantFormat = "want " + verifierScheme + "$iterations:salt$stored_key:server_key"
	parts := strings.Split(verifier, "$")
	if len(parts) != 3 || parts[0] != verifierScheme {
		return wantFormat
	}
	iterationsText, saltText, ok := strings.Cut(parts[1], ":")
	if !ok {
		return wantFormat
	}
	iterations, err := strconv.Atoi(iterationsText)
	if err != nil || iterations < minIterations || iterations > maxIterations {
		return "number of iterations is not between " + strconv.Itoa(minIterations) + " and " + strconv.Itoa(maxIterations)
	}
	if salt, err := base64.StdEncoding.DecodeString(saltText); err != nil || len(salt) < minSaltBytes {
		return "salt is not base64 of at least " + strconv.Itoa(minSaltBytes) + " bytes"
	}
	storedKey, serverKey, ok := strings.Cut(parts[2], ":")
	if !ok {
		return wantFormat
	}
	for _, text := range []string{storedKey, serverKey} {
		if key, err := base64.StdEncoding.DecodeString(text); err != nil || len(key) != sha256.Size {
			return "stored or server key is not base64 of " + strconv.Itoa(sha256.Size) + " bytes"
		}
	}
	return ""
}
