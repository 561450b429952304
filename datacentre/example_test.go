package datacentre_test

import (
	"context"
	"fmt"
	"time"

	"github.com/magnoliawharf/magnoliawharf/datacentre"
	"github.com/magnoliawharf/magnoliawharf/instance"
)

// local delivers messages to memberships of the same process. transport/peerrpc delivers them over the
// network.
type local map[string]datacentre.Receiver

func (l local) to(addr string) (datacentre.Receiver, error) {
	if receiver, ok := l[addr]; ok {
		return receiver, nil
	}
	return nil, datacentre.ErrUnreachable.New("%s", addr)
}

func (l local) Sync(ctx context.Context, addr string, req datacentre.SyncRequest) (resp datacentre.SyncResponse, err error) {
	receiver, err := l.to(addr)
	if err != nil {
		return resp, err
	}
	return receiver.ReceiveSync(ctx, req)
}

func (l local) Push(ctx context.Context, addr string, req datacentre.PushRequest) (resp datacentre.PushResponse, err error) {
	receiver, err := l.to(addr)
	if err != nil {
		return resp, err
	}
	return receiver.ReceivePush(ctx, req)
}

func (l local) Pull(ctx context.Context, addr string, req datacentre.PullRequest) (resp datacentre.PullResponse, err error) {
	receiver, err := l.to(addr)
	if err != nil {
		return resp, err
	}
	return receiver.ReceivePull(ctx, req)
}

func (l local) Ping(ctx context.Context, addr string, req datacentre.PingRequest) (resp datacentre.PingResponse, err error) {
	receiver, err := l.to(addr)
	if err != nil {
		return resp, err
	}
	return receiver.ReceivePing(ctx, req)
}

func (l local) PingVia(ctx context.Context, addr string, req datacentre.PingViaRequest) (resp datacentre.PingViaResponse, err error) {
	receiver, err := l.to(addr)
	if err != nil {
		return resp, err
	}
	return receiver.ReceivePingVia(ctx, req)
}

// Two members find each other and learn each other's announcements.
func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	messenger := local{}
	join := func(id instance.ID, seeds ...string) (*datacentre.Membership, *instance.Fleet) {
		fleet := instance.NewFleet()
		member := datacentre.New(datacentre.Config{
			Self: instance.Record{
				ID: id, Incarnation: uint64(time.Now().UnixNano()), DataCentre: "kgl-a", Region: "kigali",
				PeerAddr: string(id) + ":7000", CallerAddr: string(id) + ":8000",
			},
			Fleet: fleet, Messenger: messenger, Seeds: seeds,
		})
		messenger[string(id)+":7000"] = member
		return member, fleet
	}
	first, fleet1 := join("n1", "n2:7000")
	second, fleet2 := join("n2", "n1:7000")
	changes1, unsubscribe1 := fleet1.Subscribe()
	defer unsubscribe1()
	changes2, unsubscribe2 := fleet2.Subscribe()
	defer unsubscribe2()

	ended := make(chan error, 2)
	for _, member := range []*datacentre.Membership{first, second} {
		go func() { ended <- member.Run(ctx) }()
	}
	first.Announce("catalogue", instance.Ready, 12)
	second.Announce("catalogue", instance.Ready, 6)
	for record := range changes2 {
		if record.ID == "n1" && record.State == instance.Ready {
			fmt.Println(record.ID, record.Service, record.Slots)
			break
		}
	}
	for record := range changes1 {
		if record.ID == "n2" && record.State == instance.Ready {
			fmt.Println(record.ID, record.Service, record.Slots)
			break
		}
	}
	first.Leave(ctx) // notifies the known peers before Run ends
	cancel()
	<-ended
	<-ended
	left, _ := fleet2.Get("n1")
	fmt.Println(left.State)
	// Output:
	// n1 catalogue 12
	// n2 catalogue 6
	// left
}
