package server

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/rhubarbwick/rhubarbwick/group"
	"github.com/rhubarbwick/rhubarbwick/port"
)

// pullRequest is a request for entries from a replica to the primary, as JSON.
type pullRequest struct {
	Term    group.Term `json:"term"`
	History string     `json:"history"`
}

// pullResponse is the response to a pullRequest, as JSON.
type pullResponse struct {
	Base     uint64  `json:"base"`
	Entries  []Entry `json:"entries,omitempty"`
	Complete bool    `json:"complete"`
	// WaitNS is how long the request waited at the primary, in nanoseconds.
	WaitNS int64  `json:"held_ns"`
	Error  string `json:"error,omitempty"`
}

// servePulls serves the requests of a replica until its connection fails.
func servePulls(ctx context.Context, socket net.Conn, s *Server) {
	decoder := json.NewDecoder(socket)
	encoder := json.NewEncoder(socket)
	for {
		var request pullRequest
		if decoder.Decode(&request) != nil {
			return
		}
		if encoder.Encode(handlePull(ctx, s, request)) != nil {
			return
		}
	}
}

func handlePull(ctx context.Context, s *Server, request pullRequest) pullResponse {
	history, err := group.ParseHistory(request.History)
	if err != nil {
		return pullResponse{Error: err.Error()}
	}
	batch, err := s.Pull(ctx, Pull{Term: request.Term, History: history})
	if err != nil {
		return pullResponse{Error: err.Error()}
	}
	return pullResponse{
		Base:     batch.Base,
		Entries:  batch.Entries,
		Complete: batch.Complete,
		WaitNS:   int64(batch.Wait),
	}
}

// networkSource is a Source at a network address.
type networkSource struct {
	socket  net.Conn
	decoder *json.Decoder
	encoder *json.Encoder
}

// DialNetwork returns a Dial that connects to listeners by their network addresses.
func DialNetwork(login Login) Dial {
	return func(ctx context.Context, address string) (Source, error) {
		var dialer net.Dialer
		socket, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, port.Wrapf(err, port.Unavailable, "cannot connect to primary %s", address)
		}
		stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
		defer stop()
		if err := logIn(socket, login); err != nil {
			_ = socket.Close()
			return nil, port.Wrapf(err, port.Unavailable, "log-in to primary %s failed", address)
		}
		return &networkSource{socket: socket, decoder: json.NewDecoder(socket), encoder: json.NewEncoder(socket)}, nil
	}
}

func logIn(socket net.Conn, login Login) error {
	frontend := pgproto3.NewFrontend(socket, socket)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": login.User, ReplicationParameter: "on"},
	})
	frontend.Send(&pgproto3.PasswordMessage{Password: login.Password})
	if err := frontend.Flush(); err != nil {
		return err
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			return errors.New(m.Message)
		case *pgproto3.ReadyForQuery:
			return nil
		}
	}
}

// Pull implements Source.
func (s *networkSource) Pull(ctx context.Context, request Pull) (Batch, error) {
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	err := s.encoder.Encode(pullRequest{Term: request.Term, History: request.History.String()})
	if err != nil {
		return Batch{}, port.Wrapf(err, port.Unavailable, "sending the pull request failed")
	}
	var m pullResponse
	if err := s.decoder.Decode(&m); err != nil {
		return Batch{}, port.Wrapf(err, port.Unavailable, "no response to the pull request")
	}
	if m.Error != "" {
		return Batch{}, port.Errorf(port.Unavailable, "primary rejected the pull request: %s", m.Error)
	}
	return Batch{Base: m.Base, Entries: m.Entries, Complete: m.Complete, Wait: time.Duration(m.WaitNS)}, nil
}

// Close implements Source.
func (s *networkSource) Close() { _ = s.socket.Close() }
