package measurer

import (
	"context"
	"fmt"
	"log/slog"

	"github.com/endiveturn/endiveturn/configurer"
	"github.com/endiveturn/endiveturn/limiter"
	"github.com/endiveturn/endiveturn/messenger"
)

// transferCounts are the numbers of token transfers that are measured.
var transferCounts = []int{2000, 4000, 8000}

// transferSlopes measures the cost of token transfers between two hosts, for
// both hosts together.
func transferSlopes(ctx context.Context, logger *slog.Logger) ([]Slope, error) {
	network := NewNetwork()
	listener, err := network.Listen(ctx, "donor", "")
	if err != nil {
		return nil, err
	}
	serverCtx, stop := context.WithCancel(ctx)
	defer stop()
	donor := &messenger.Server{
		Listener: listener, Logger: logger,
		PullTokens: func(_ context.Context, r limiter.PullRequest) (limiter.PullReply, error) {
			return limiter.PullReply{Amount: r.Amount}, nil
		},
	}
	done := make(chan error, 1)
	go func() { done <- donor.Run(serverCtx) }()
	client := &messenger.Client{Dial: network.Dialer("asker"), Logger: logger}
	defer client.Close()
	var processor, bytes []SlopePoint
	request := limiter.PullRequest{From: limiter.BucketName{Customer: "customer1", Service: "ledger1"}, Amount: 5}
	anyLink := func(string, string) bool { return true }
	for _, n := range transferCounts {
		before, err := processorTime()
		if err != nil {
			return nil, err
		}
		traffic := network.Traffic(anyLink)
		for range n {
			if _, err := client.PullTokens(ctx, listener.Addr().String(), request); err != nil {
				return nil, err
			}
		}
		after, err := processorTime()
		if err != nil {
			return nil, err
		}
		processor = append(processor, SlopePoint{Size: float64(n), Cost: microseconds(after - before)})
		bytes = append(bytes, SlopePoint{Size: float64(n), Cost: float64(network.Traffic(anyLink) - traffic)})
	}
	const method = "2,000, 4,000 and 8,000 transfers one after another over loopback, both hosts in one process"
	return fitSlopes([]slopeInput{
		{"token_transfer_processor", "us", "transfers", method, processor},
		{"token_transfer_traffic", "bytes", "transfers", method, bytes},
	})
}

// customerCounts are the numbers of customers in the measured configurations.
var customerCounts = []int{100, 400, 1600}

// changesPerSize is the number of changes that are applied per size of the
// configuration.
const changesPerSize = 20

// configurationSlopes measures the size and memory of configurations, and the
// size and processor time of deltas, by the number of objects.
func configurationSlopes(context.Context, *slog.Logger) ([]Slope, error) {
	var configBytes, configMemory, deltaBytes, applyCost []SlopePoint
	for _, customers := range customerCounts {
		memoryBefore := memoryInUse()
		config := customerConfig(customers)
		objects := float64(3*customers + 1)
		configMemory = append(configMemory, SlopePoint{Size: objects, Cost: memoryInUse() - memoryBefore})
		content, err := configurer.Encode(config)
		if err != nil {
			return nil, err
		}
		configBytes = append(configBytes, SlopePoint{Size: objects, Cost: float64(len(content))})
		bytes, cost, err := deltaCost(config)
		if err != nil {
			return nil, err
		}
		deltaBytes = append(deltaBytes, SlopePoint{Size: objects, Cost: bytes})
		applyCost = append(applyCost, SlopePoint{Size: objects, Cost: cost})
	}
	const method = "sets of 100, 400 and 1,600 customers with a key and a limit each; 20 changes of one key per size"
	return fitSlopes([]slopeInput{
		{"set_size", "bytes", "objects", method, configBytes},
		{"set_memory", "bytes", "objects", method, configMemory},
		{"delta_size", "bytes per change", "objects", method, deltaBytes},
		{"delta_processor", "us per change", "objects", method + "; decoding and applying a delta with its digest", applyCost},
	})
}

// deltaCost returns the size in bytes of a delta that revokes one key, and the
// processor time in us of decoding and applying it.
func deltaCost(config configurer.Config) (bytes, cost float64, err error) {
	key := config.Keys[KeyName(CustomerName(1))]
	key.Revoked = true
	delta, err := configurer.NewDelta(config, config.WithKey(key).WithRevision(config.Revision+1))
	if err != nil {
		return 0, 0, err
	}
	content, err := delta.Encode()
	if err != nil {
		return 0, 0, err
	}
	before, err := processorTime()
	if err != nil {
		return 0, 0, err
	}
	for range changesPerSize {
		decoded, err := configurer.DecodeDelta(content)
		if err != nil {
			return 0, 0, err
		}
		if _, err := decoded.Apply(config); err != nil {
			return 0, 0, err
		}
	}
	after, err := processorTime()
	return float64(len(content)), microseconds(after-before) / changesPerSize, err
}

// customerConfig returns a configuration of customers, each with a key and a limit.
func customerConfig(customers int) configurer.Config {
	config := configurer.Config{
		Revision: 1, Customers: map[string]configurer.Customer{}, Keys: map[string]configurer.Key{}, Limits: map[string]configurer.Limit{},
	}
	for i := range customers {
		name := CustomerName(i + 1)
		config.Limits[name] = configurer.Limit{Name: name, Rate: 100, Burst: 50, MaxQueued: 100, MaxConnections: 1000}
		config.Customers[name] = configurer.Customer{Name: name, Limit: name, Weight: 1}
		verifier := fmt.Sprintf("SCRAM-SHA-256$4096:%024d$%044d:%044d", i, i, i)
		config.Keys[KeyName(name)] = configurer.Key{Name: KeyName(name), Customer: name, Verifier: verifier}
	}
	return config
}
