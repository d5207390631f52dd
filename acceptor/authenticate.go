package acceptor

import (
	"crypto/hmac"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/executor"
)

// maxAuthMessageSize limits the size of authentication messages, in bytes.
const maxAuthMessageSize = 10_000

// authenticate checks that the client has the secret of the key named user.
// Unknown keys go through the same exchange with mock credentials, so that the
// client cannot distinguish them from a wrong secret.
func (c *connection) authenticate(config configurer.Config, user string) error {
	credentials := c.acceptor.mockCredentials(user)
	key, known := config.Keys[user]
	if known {
		parsed, err := parseVerifier(key.Verifier)
		if err != nil {
			c.acceptor.Logger.Error("verifier_invalid", "key", user, "error", err)
			known = false
		} else {
			credentials = parsed
		}
	}
	verify := c.authenticateSCRAM
	if c.acceptor.AllowCleartext {
		verify = c.authenticateCleartext
	}
	valid, err := verify(credentials)
	if err != nil {
		return err
	}
	if !valid || !known {
		return executor.RefuseNotRun(executor.CodeInvalidPassword, "key or secret is wrong")
	}
	return nil
}

// authenticateCleartext requests the secret itself.
func (c *connection) authenticateCleartext(credentials scram.StoredCredentials) (bool, error) {
	if err := c.send(&pgproto3.AuthenticationCleartextPassword{}); err != nil {
		return false, err
	}
	body, err := c.receiveAuthMessage()
	if err != nil {
		return false, err
	}
	var message pgproto3.PasswordMessage
	if err := message.Decode(body); err != nil {
		return false, refuseMalformed(err)
	}
	derived, err := storedCredentials(message.Password, credentials.KeyFactors)
	if err != nil {
		return false, errors.Wrap(err, "derive credentials")
	}
	return hmac.Equal(derived.StoredKey, credentials.StoredKey), nil
}

// authenticateSCRAM runs the SCRAM-SHA-256 exchange.
func (c *connection) authenticateSCRAM(credentials scram.StoredCredentials) (bool, error) {
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return false, errors.Wrap(err, "create SCRAM server")
	}
	conversation := server.NewConversation()
	if err := c.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{scramMechanism}}); err != nil {
		return false, err
	}
	body, err := c.receiveAuthMessage()
	if err != nil {
		return false, err
	}
	var first pgproto3.SASLInitialResponse
	if err := first.Decode(body); err != nil {
		return false, refuseMalformed(err)
	}
	if first.AuthMechanism != scramMechanism {
		return false, executor.RefuseNotRun(executor.CodeProtocolViolation, "unknown SASL mechanism")
	}
	challenge, err := conversation.Step(string(first.Data))
	if err != nil {
		return false, refuseMalformed(err)
	}
	if err := c.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}); err != nil {
		return false, err
	}
	return c.finishSCRAM(conversation)
}

// finishSCRAM verifies the client's proof and sends the server signature.
func (c *connection) finishSCRAM(conversation *scram.ServerConversation) (bool, error) {
	body, err := c.receiveAuthMessage()
	if err != nil {
		return false, err
	}
	var final pgproto3.SASLResponse
	if err := final.Decode(body); err != nil {
		return false, refuseMalformed(err)
	}
	proof, err := conversation.Step(string(final.Data))
	if err != nil || !conversation.Valid() {
		return false, nil
	}
	return true, c.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(proof)})
}

// receiveAuthMessage returns the body of the next authentication message.
func (c *connection) receiveAuthMessage() ([]byte, error) {
	kind, frame, err := c.reader.frame(nil, maxAuthMessageSize)
	if err != nil {
		return nil, err
	}
	if kind != 'p' {
		return nil, executor.RefuseNotRun(executor.CodeProtocolViolation, "expected a password message")
	}
	return frame[headerSize:], nil
}
