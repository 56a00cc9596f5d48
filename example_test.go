package dragonflycroft_test

import (
	"context"
	"fmt"
	"time"

	"github.com/dragonflycroft/dragonflycroft"
)

// Runs a single node on the example configuration and stops it gracefully.
func ExampleNode() {
	cfg, err := dragonflycroft.DecodeConfig(dragonflycroft.ExampleConfig)
	if err != nil {
		fmt.Println(err)
		return
	}
	node := &dragonflycroft.Node{
		HostID: "host-1", Zone: "zone-a", PeerAddr: "127.0.0.1:0", CallerAddr: "127.0.0.1:0",
		Key: []byte("shared by all hosts"),
	}
	node.UseTrialControl(cfg)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- node.Run(ctx) }()
	for node.Unready() != "" {
		time.Sleep(time.Millisecond)
	}
	fmt.Println("ready")
	stop()
	fmt.Println(<-ended)
	// Output:
	// ready
	// <nil>
}
