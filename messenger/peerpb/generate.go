// Package peerpb is the generated code of the protocol between hosts.
package peerpb

//go:generate protoc --proto_path=.. --go_out=. --go_opt=paths=source_relative --go-drpc_out=. --go-drpc_opt=paths=source_relative,json=false peer.proto
