package acceptor

import (
	"crypto/hmac"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// maxPasswordMessage bounds messages of the authentication, in bytes.
const maxPasswordMessage = 10_000

// authenticate checks that the caller knows the secret of the key that user
// names. The caller cannot tell an unknown key from a wrong secret.
func (c *connection) authenticate(set configurer.Set, user string) error {
	credentials := c.acceptor.mockCredentials(user)
	key, known := set.Keys[user]
	if known {
		parsed, err := parseVerifier(key.Verifier)
		if err != nil {
			c.acceptor.Logger.Error("verifier unusable", "key", user, "error", err)
			known = false
		} else {
			credentials = parsed
		}
	}
	matches := c.scram
	if c.acceptor.AllowCleartext {
		matches = c.cleartext
	}
	valid, err := matches(credentials)
	if err != nil {
		return err
	}
	if !valid || !known {
		return executor.RefuseNotRun(executor.CodeInvalidPassword, "key or secret is wrong")
	}
	return nil
}

// cleartext asks for the secret itself.
func (c *connection) cleartext(credentials scram.StoredCredentials) (bool, error) {
	if err := c.send(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return false, err
	}
	body, err := c.receivePassword()
	if err != nil {
		return false, err
	}
	var message pgproto3.PasswordMessage
	if err := message.Decode(body); err != nil {
		return false, malformed(err)
	}
	shown, err := storedCredentials(message.Password, credentials.KeyFactors)
	if err != nil {
		return false, errors.Wrap(err, "derive credentials")
	}
	return hmac.Equal(shown.StoredKey, credentials.StoredKey), nil
}

// scram runs the SCRAM-SHA-256 exchange.
func (c *connection) scram(credentials scram.StoredCredentials) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return false, errors.Wrap(err, "scram server")
	}
	conversation := server.NewConversation()
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return false, err
	}
	body, err := c.receivePassword()
	if err != nil {
		return false, err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil {
		return false, malformed(err)
	}
	if first.AuthMechanism != scramMechanism {
		return false, executor.RefuseNotRun(executor.CodeProtocolViolation, "unknown SASL mechanism")
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return false, malformed(err)
	}
	if err := c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return false, err
	}
	return c.finishSCRAM(conversation)
}

// finishSCRAM checks the proof of the caller and answers with the server's.
func (c *connection) finishSCRAM(conversation *scram.ServerConversation) (bool, error) {
	body, err := c.receivePassword()
	if err != nil {
		return false, err
	}
	var final pgproto3.SASLResponse
	if err := final.Decode(body); err != nil {
		return false, malformed(err)
	}
	proof, err := conversation.Step(string(final.Data))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	return true, c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
}

// receivePassword returns the body of the next message of the authentication.
func (c *connection) receivePassword() ([]byte, error) {
	kind, frame, err := c.reader.frame(nil, maxPasswordMessage)
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, executor.RefuseNotRun(executor.CodeProtocolViolation, "expected a password message")
	}
	return frame[headerSize:], nil
}
