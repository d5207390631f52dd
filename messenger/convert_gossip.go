package messenger

import (
	"time"

	"github.com/endiveturn/endiveturn/gossiper"
	"github.com/endiveturn/endiveturn/messenger/peerpb"
)

func hostToWire(h gossiper.Host) *peerpb.Host {
	return &peerpb.Host{
		Name: h.Name, DataCentre: h.DataCentre, PeerAddress: h.PeerAddress, CallerAddress: h.ClientAddress,
		Incarnation: h.Incarnation, Version: h.Version, State: uint32(h.State), Departing: h.Departing,
	}
}

// hostFromWire converts h. It replaces states that this version does not recognize by
// Suspect, which makes the receiver check the host itself.
func hostFromWire(h *peerpb.Host) gossiper.Host {
	host := gossiper.Host{
		Name: h.GetName(), DataCentre: h.GetDataCentre(), PeerAddress: h.GetPeerAddress(),
		ClientAddress: h.GetCallerAddress(), Incarnation: h.GetIncarnation(), Version: h.GetVersion(),
		State: gossiper.Suspect, Departing: h.GetDeparting(),
	}
	if s := h.GetState(); s <= uint32(gossiper.Left) {
		host.State = gossiper.State(s)
	}
	return host
}

func claimToWire(c gossiper.Claim) *peerpb.Claim {
	return &peerpb.Claim{
		Service: c.Service, Host: c.Host, Incarnation: c.Incarnation, Term: c.Term, Withdrawn: c.Withdrawn,
	}
}

func claimFromWire(c *peerpb.Claim) gossiper.Claim {
	return gossiper.Claim{
		Service: c.GetService(), Host: c.GetHost(), Incarnation: c.GetIncarnation(),
		Term: c.GetTerm(), Withdrawn: c.GetWithdrawn(),
	}
}

func unavailabilityReportToWire(u gossiper.UnavailabilityReport) *peerpb.Unable {
	return &peerpb.Unable{
		Service: u.Service, Host: u.Host, Incarnation: u.Incarnation, Sequence: u.Sequence,
		RemainingMs: uint32(max(0, min(u.Remaining.Milliseconds(), 1<<31))),
	}
}

func unavailabilityReportFromWire(u *peerpb.Unable) gossiper.UnavailabilityReport {
	return gossiper.UnavailabilityReport{
		Service: u.GetService(), Host: u.GetHost(), Incarnation: u.GetIncarnation(), Sequence: u.GetSequence(),
		Remaining: time.Duration(u.GetRemainingMs()) * time.Millisecond,
	}
}

func heartbeatToWire(h gossiper.Heartbeat) *peerpb.HeartbeatMessage {
	w := &peerpb.HeartbeatMessage{
		Version: ProtocolVersion, From: hostToWire(h.From), Revision: h.Revision,
		Fresh: h.Fresh, FreshAgeUs: toMicroseconds(h.FreshAge), Heard: h.ReceivedRecently, Digest: h.Digest, Full: h.RequestFullState,
	}
	for _, m := range h.Members {
		w.Members = append(w.Members, hostToWire(m))
	}
	for _, c := range h.Claims {
		w.Claims = append(w.Claims, claimToWire(c))
	}
	for _, u := range h.UnavailabilityReports {
		w.Unable = append(w.Unable, unavailabilityReportToWire(u))
	}
	if c := h.Confirmations; len(c.Bitmap) > 0 {
		w.Confirmations = &peerpb.Confirmations{Revision: c.Revision, Hosts: c.Hosts, Bitmap: c.Bitmap}
	}
	return w
}

func heartbeatFromWire(w *peerpb.HeartbeatMessage) gossiper.Heartbeat {
	h := gossiper.Heartbeat{
		From: hostFromWire(w.GetFrom()), Revision: w.GetRevision(), Fresh: w.GetFresh(),
		FreshAge: fromMicroseconds(w.GetFreshAgeUs()), ReceivedRecently: w.GetHeard(), Digest: w.GetDigest(), RequestFullState: w.GetFull(),
	}
	for _, m := range w.GetMembers() {
		h.Members = append(h.Members, hostFromWire(m))
	}
	for _, c := range w.GetClaims() {
		h.Claims = append(h.Claims, claimFromWire(c))
	}
	for _, u := range w.GetUnable() {
		h.UnavailabilityReports = append(h.UnavailabilityReports, unavailabilityReportFromWire(u))
	}
	if c := w.GetConfirmations(); c != nil {
		h.Confirmations = gossiper.Confirmations{Revision: c.GetRevision(), Hosts: c.GetHosts(), Bitmap: c.GetBitmap()}
	}
	return h
}
