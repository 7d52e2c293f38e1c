package peers

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"fescuerill/host"
	"fescuerill/internal/fleet/feed"
	"fescuerill/internal/observe/traffic"
	"fescuerill/internal/schema/fleet"
	"fescuerill/owner"
)

// updateMethod is the JSON-RPC method that requests an update of the store.
const updateMethod = "store/items"

// minReaderHosts is the minimum number of live hosts of a data centre that has a
// designated reader of its own, a host that reads the store on behalf of the others.
const minReaderHosts = 4

const (
	// currentPeers is the number of hosts that are asked for their position before a full
	// update is requested from one of them.
	currentPeers = 3
	// currentLocalPeers is the number of those in the data centre of this host.
	currentLocalPeers = currentPeers - 1
	// currentTimeout bounds the wait for their replies.
	currentTimeout = 200 * time.Millisecond
)

// futurePosition is a position that the store does not reach. An update with the changes
// after it has no items.
var futurePosition = feed.At(math.MaxInt64/2, math.MaxInt64/2)

// withoutEraFor is how long a host that knows of no eras of the store, since it runs an earlier
// version, is not followed as reader. It may have been updated after that.
const withoutEraFor = 30 * time.Second

// errNoPeer is returned when there is no other host to request an update from.
var errNoPeer = errors.New("no other host is alive")

// UpdateSource provides the updates that this host sends to other hosts.
type UpdateSource interface {
	// UpdateSince returns the changes of the store after a position, or all items if they
	// are requested. It reports false if the host has not read the store.
	UpdateSince(now time.Time, r feed.Request) (feed.Update, bool)
}

// Serve answers update requests of other hosts on the listener until ctx ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener, source UpdateSource) {
	p.updates = source
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		conn, err := l.Accept()
		if err != nil {
			if ctx.Err() == nil {
				p.log.Error("accept connection from other host failed; update requests are no longer served", "error", err)
			}
			return
		}
		stream := jsonrpc2.NewPlainObjectStream(p.meter.Conn(conn, traffic.Update, p.scopeOfIP(conn.RemoteAddr())))
		_ = jsonrpc2.NewConn(ctx, stream, jsonrpc2.HandlerWithError(p.handleRequest))
	}
}

// scopeOfIP returns where the host with the IP address of a connection is. All hosts use the
// same port for messages of other hosts.
func (p *Peers) scopeOfIP(remote net.Addr) traffic.Scope {
	ip, _, err := net.SplitHostPort(remote.String())
	if err != nil {
		return traffic.Elsewhere
	}
	_, port, err := net.SplitHostPort(p.self.Address)
	if err != nil {
		return traffic.Elsewhere
	}
	return p.scope(net.JoinHostPort(ip, port))
}

func (p *Peers) handleRequest(_ context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) (any, error) {
	if r.Method != updateMethod || r.Params == nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "unknown method"}
	}
	var request fleet.UpdateRequest
	if err := json.Unmarshal(*r.Params, &request); err != nil {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: err.Error()}
	}
	now := time.Now()
	update, ok := p.updates.UpdateSince(now, decodeUpdateRequest(request))
	if !ok {
		return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "nothing known"}
	}
	reply := encodeUpdate(now, update)
	reply.PartsPerSecond = p.recordLoad(now, request)
	if request.Packed != nil && *request.Packed && request.DataCentre != p.self.DataCentre {
		if err := packItems(&reply); err != nil {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()}
		}
	}
	return reply, nil
}

// HasLive implements feed.Peers.
func (p *Peers) HasLive() bool {
	_, ok := p.randomPeer()
	return ok
}

// HasReader implements feed.Peers.
func (p *Peers) HasReader() bool {
	_, ok := p.reader()
	return ok
}

// reader returns the address of the designated reader, which reads the store on behalf of
// this host, and whether that is another host. A data centre with at least minReaderHosts
// live hosts has a reader of its own, the others share one. It is one of the hosts with the
// most cores, as it sends each change to all others. A host that knows of no eras of the store
// is left out by those that do, as its revisions may be of a lost era.
func (p *Peers) reader() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	sizes := map[string]int{p.self.DataCentre: 1}
	p.members.Each(func(u host.Update) {
		if p.state(u) == host.Alive {
			sizes[p.dataCentres[u.ID]]++
		}
	})
	group := func(dataCentre string) string {
		if sizes[dataCentre] >= minReaderHosts {
			return dataCentre
		}
		return ""
	}
	ownGroup := group(p.self.DataCentre)
	best, cores := p.self.Address, p.self.Cores
	now := time.Now()
	p.members.Each(func(u host.Update) {
		if p.state(u) != host.Alive || group(p.dataCentres[u.ID]) != ownGroup || now.Before(p.withoutEra[u.ID]) {
			return
		}
		c := p.cores[u.ID]
		if c > cores || c == cores && owner.RendezvousWeight(ownGroup, u.ID) > owner.RendezvousWeight(ownGroup, best) {
			best, cores = u.ID, c
		}
	})
	return best, best != p.self.Address
}

// RendezvousRank returns the number of live hosts that come before this one in the order
// of rendezvous hashing for a key.
func (p *Peers) RendezvousRank(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	weight, n := owner.RendezvousWeight(key, p.self.Address), 0
	p.members.Each(func(u host.Update) {
		if u.State == host.Alive && owner.RendezvousWeight(key, u.ID) > weight {
			n++
		}
	})
	return n
}

func (p *Peers) randomPeer() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	found := p.members.RandomAlive(nil, 1, "")
	if len(found) == 0 {
		return "", false
	}
	return found[0], true
}

// FetchUpdate implements feed.Peers. A full update is requested from the most current of a
// few random hosts: some may be cut off from the store themselves.
func (p *Peers) FetchUpdate(ctx context.Context, r feed.Request) (feed.Update, error) {
	address, fromReader := p.reader()
	ok := fromReader
	switch {
	case r.Full:
		fromReader = false
		address, ok = p.mostCurrentPeer(ctx)
	case !ok:
		address, ok = p.randomPeer()
	}
	if !ok {
		return feed.Update{}, errNoPeer
	}
	reply, err := p.requestUpdate(ctx, address, r)
	if err != nil {
		return feed.Update{}, err
	}
	now := time.Now()
	if fromReader {
		p.setTotalLoad(now, reply.PartsPerSecond)
		p.noteReaderEra(now, address, r, reply)
	}
	return decodeUpdate(now, reply)
}

// noteReaderEra stops following a reader that knows of no eras of the store, if this host does.
func (p *Peers) noteReaderEra(now time.Time, address string, r feed.Request, reply fleet.UpdateReply) {
	if reply.Era != nil || r.After.Era() == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withoutEra[address] = now.Add(withoutEraFor)
	p.stats.Add("readers-without-era", 1)
	p.log.Info("reader knows of no store eras", "host", address, "known", r.After)
}

// requestUpdate requests an update from the host at an address.
func (p *Peers) requestUpdate(ctx context.Context, address string, r feed.Request) (fleet.UpdateReply, error) {
	var reply fleet.UpdateReply
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return reply, errors.Wrap(err, "connect to host")
	}
	client := jsonrpc2.NewConn(ctx, jsonrpc2.NewPlainObjectStream(p.meter.Conn(conn, traffic.Update, p.scope(address))), jsonrpc2.HandlerWithError(
		func(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) (any, error) {
			return nil, &jsonrpc2.Error{Code: jsonrpc2.CodeMethodNotFound, Message: "no methods here"}
		}))
	defer func() { _ = client.Close() }()
	readsPacked, era := true, int(r.After.Era())
	request := fleet.UpdateRequest{
		Revision: int(r.After.Revision()), Era: &era, Whole: r.Full, Packed: &readsPacked, From: p.self.Address, DataCentre: p.self.DataCentre, PartsPerSecond: p.ownLoad(),
	}
	if err := client.Call(ctx, updateMethod, request, &reply); err != nil {
		return reply, errors.Wrap(err, "fetch store update from host "+address)
	}
	return reply, nil
}

// mostCurrentPeer returns the address of the host with the latest position among up to
// currentPeers random hosts that reply within currentTimeout, and whether one has replied.
func (p *Peers) mostCurrentPeer(ctx context.Context) (string, bool) {
	addresses := p.updateCandidates()
	ctx, cancel := context.WithTimeout(ctx, currentTimeout)
	defer cancel()
	candidates := make([]UpdateCandidate, len(addresses))
	var requests sync.WaitGroup
	for i, address := range addresses {
		requests.Go(func() {
			reply, err := p.requestUpdate(ctx, address, feed.Request{After: futurePosition})
			candidates[i] = UpdateCandidate{
				Replied: err == nil, Position: position(reply), Age: milliseconds(reply.AgeMs),
				Local: p.scope(address) == traffic.Local,
			}
		})
	}
	requests.Wait()
	best := ChooseUpdateSource(candidates)
	if best < 0 {
		return "", false
	}
	return addresses[best], true
}

// updateCandidates returns the addresses of currentPeers random live hosts, some of them in
// the data centre of this host if there are any.
func (p *Peers) updateCandidates() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	random := p.members.RandomAlive(nil, p.members.Len(), "")
	slices.SortStableFunc(random, func(a, b string) int {
		return cmp.Compare(p.distance(a), p.distance(b))
	})
	local := 0
	for local < len(random) && p.distance(random[local]) == 0 {
		local++
	}
	return slices.Concat(random[:min(local, currentLocalPeers)], random[local:min(len(random), local+max(1, currentPeers-local))])
}

// distance returns 0 for a host of the data centre of this one, and 1 for others. The caller
// must hold p.mu.
func (p *Peers) distance(address string) int {
	if p.dataCentres[address] == p.self.DataCentre {
		return 0
	}
	return 1
}
