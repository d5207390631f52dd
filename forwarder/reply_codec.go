package forwarder

import (
	"google.golang.org/protobuf/encoding/protowire"

	"github.com/endiveturn/endiveturn/executor"
)

// Field numbers of a reply.
const (
	fieldReplyNumber = iota + 1
	fieldFlags
	fieldRows
	fieldSignature
	fieldCode
	fieldText
	fieldState
	fieldTerm
	fieldOffset
	fieldDatabase
	fieldReason
	fieldAttempts
	fieldAssignmentRevision
)

// The flags of a reply.
const (
	flagHeartbeat = 1 << iota
	flagMore
	flagRefused
	flagStopping
	flagMayHaveRun
	flagFromPrimary
)

// answeredReason is the reason of most replies, which is not sent.
const answeredReason = "answered"

func appendReply(b []byte, r *Reply) []byte {
	b = appendNumber(b, fieldReplyNumber, r.number)
	b = appendNumber(b, fieldFlags, replyFlags(r))
	if len(r.Response.Rows) > 0 {
		b = appendBytes(b, fieldRows, r.Response.Rows)
	}
	b = appendText(b, fieldSignature, r.Response.Signature)
	b = appendNumber(b, fieldCode, uint64(r.Response.Code))
	b = appendText(b, fieldText, r.Response.Text)
	b = appendNumber(b, fieldState, uint64(r.Response.State))
	b = appendNumber(b, fieldTerm, r.Response.Position.Term)
	b = appendNumber(b, fieldOffset, r.Response.Position.Offset)
	b = appendText(b, fieldDatabase, r.Database)
	if r.Reason != answeredReason {
		b = appendText(b, fieldReason, r.Reason)
	}
	b = appendNumber(b, fieldAttempts, uint64(max(0, r.Attempts)))
	return appendNumber(b, fieldAssignmentRevision, uint64(r.AssignmentRevision))
}

func replyFlags(r *Reply) uint64 {
	flags := uint64(0)
	for _, f := range []struct {
		set  bool
		flag uint64
	}{
		{r.heartbeat, flagHeartbeat},
		{r.more, flagMore},
		{r.Refused, flagRefused},
		{r.Stopping, flagStopping},
		{r.MayHaveRun, flagMayHaveRun},
		{r.FromPrimary, flagFromPrimary},
	} {
		if f.set {
			flags |= f.flag
		}
	}
	return flags
}

func parseReply(data []byte, r *Reply) error {
	*r = Reply{Reason: answeredReason}
	return visitFields(data, func(field protowire.Number, number uint64, text []byte) error {
		switch field {
		case fieldReplyNumber:
			r.number = number
		case fieldFlags:
			setReplyFlags(r, number)
		case fieldRows:
			r.Response.Rows = append([]byte(nil), text...)
		case fieldSignature:
			r.Response.Signature = string(text)
		case fieldCode:
			r.Response.Code = executor.Code(number)
		case fieldText:
			r.Response.Text = string(text)
		case fieldState:
			r.Response.State = byte(number)
		case fieldTerm:
			r.Response.Position.Term = number
		case fieldOffset:
			r.Response.Position.Offset = number
		case fieldDatabase:
			r.Database = string(text)
		case fieldReason:
			r.Reason = string(text)
		case fieldAttempts:
			r.Attempts = int(number)
		case fieldAssignmentRevision:
			r.AssignmentRevision = int64(number)
		}
		return nil
	})
}

func setReplyFlags(r *Reply, flags uint64) {
	r.heartbeat = flags&flagHeartbeat != 0
	r.more = flags&flagMore != 0
	r.Refused = flags&flagRefused != 0
	r.Stopping = flags&flagStopping != 0
	r.MayHaveRun = flags&flagMayHaveRun != 0
	r.FromPrimary = flags&flagFromPrimary != 0
}
