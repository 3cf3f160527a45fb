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

// pullMessage is a replica's question as JSON.
type pullMessage struct {
	Term    group.Term `json:"term"`
	History string     `json:"history"`
}

// batchMessage is a primary's answer as JSON.
type batchMessage struct {
	Base     uint64  `json:"base"`
	Entries  []Entry `json:"entries,omitempty"`
	Complete bool    `json:"complete"`
	// HeldNS is how long the primary kept the question, in nanoseconds.
	HeldNS int64  `json:"held_ns"`
	Error  string `json:"error,omitempty"`
}

// servePulls answers a replica until its socket fails.
func servePulls(ctx context.Context, socket net.Conn, s *Server) {
	decoder := json.NewDecoder(socket)
	encoder := json.NewEncoder(socket)
	for {
		var question pullMessage
		if decoder.Decode(&question) != nil {
			return
		}
		if encoder.Encode(answerPull(ctx, s, question)) != nil {
			return
		}
	}
}

func answerPull(ctx context.Context, s *Server, question pullMessage) batchMessage {
	history, err := group.ParseHistory(question.History)
	if err != nil {
		return batchMessage{Error: err.Error()}
	}
	batch, err := s.Pull(ctx, Pull{Term: question.Term, History: history})
	if err != nil {
		return batchMessage{Error: err.Error()}
	}
	return batchMessage{
		Base:     batch.Base,
		Entries:  batch.Entries,
		Complete: batch.Complete,
		HeldNS:   int64(batch.Held),
	}
}

// peer is a source at a network address.
type peer struct {
	socket  net.Conn
	decoder *json.Decoder
	encoder *json.Encoder
}

// DialNetwork returns a Dial that reaches listeners by their network addresses.
func DialNetwork(login Login) Dial {
	return func(ctx context.Context, address string) (Source, error) {
		var dialer net.Dialer
		socket, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, port.Wrapf(err, port.Unavailable, "primary %s was not reached", address)
		}
		stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
		defer stop()
		if err := logIn(socket, login); err != nil {
			_ = socket.Close()
			return nil, port.Wrapf(err, port.Unavailable, "primary %s refused the log-in", address)
		}
		return &peer{socket: socket, decoder: json.NewDecoder(socket), encoder: json.NewEncoder(socket)}, nil
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

// Pull asks the primary over the network.
func (p *peer) Pull(ctx context.Context, question Pull) (Batch, error) {
	stop := context.AfterFunc(ctx, p.Close)
	defer stop()
	err := p.encoder.Encode(pullMessage{Term: question.Term, History: question.History.String()})
	if err != nil {
		return Batch{}, port.Wrapf(err, port.Unavailable, "pull was not sent")
	}
	var m batchMessage
	if err := p.decoder.Decode(&m); err != nil {
		return Batch{}, port.Wrapf(err, port.Unavailable, "pull was not answered")
	}
	if m.Error != "" {
		return Batch{}, port.Errorf(port.Unavailable, "pull was refused: %s", m.Error)
	}
	return Batch{Base: m.Base, Entries: m.Entries, Complete: m.Complete, Held: time.Duration(m.HeldNS)}, nil
}

// Close closes the socket.
func (p *peer) Close() { _ = p.socket.Close() }
