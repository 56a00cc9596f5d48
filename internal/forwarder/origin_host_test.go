package forwarder_test

import (
	"context"
	"errors"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/dragonflycroft/dragonflycroft/internal/coordinator"
	"github.com/dragonflycroft/dragonflycroft/internal/coordinator/coordinatorpb"
	"github.com/dragonflycroft/dragonflycroft/internal/transporter"
)

// Guards against a control host that does not answer which version began a stream, or keeps no history of versions for its next
// process. Uses real sockets.
func TestControlHostAnswersOrigins(t *testing.T) {
	controlAddr := freeAddr(t)
	endpoints := startLimitedEndpoints(t, &limitedEndpoint{}, 1)
	c := startControl(t, controlAddr, endpoints)
	host, stop := startHost(t, "h1", controlAddr, endpoints)
	defer stop()
	importFirst(t, c, host)
	tr := &transporter.Transport{HostID: "h2", Zone: "z", ListenAddr: freeAddr(t), Key: key}
	if err := tr.Listen(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	ended := make(chan error, 1)
	go func() { ended <- tr.Run(ctx) }()
	reply := &coordinatorpb.OriginReply{}
	if err := tr.Call(ctx, controlAddr, coordinator.MethodOrigin, &coordinatorpb.OriginRequest{Request: 1, Pool: "p"}, reply); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(&coordinatorpb.OriginReply{Sole: true, Pool: "p"}, reply, protocmp.Transform()); diff != "" {
		t.Errorf("reply (-want +got):\n%s", diff)
	}
	_, err := os.Stat(c.historyPath)
	for errors.Is(err, os.ErrNotExist) && ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		_, err = os.Stat(c.historyPath)
	}
	if err != nil {
		t.Errorf("history of versions: %v", err)
	}
	cancel()
	if err := tr.Close(); err != nil {
		t.Error(err)
	}
	<-ended
}
