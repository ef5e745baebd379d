package hvprocesstest

import (
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// firstPort to firstPort+blockCount*blockPorts is below the ephemeral port range. A
	// port from that range could be taken by another process before the one that it is
	// meant for listens on it.
	firstPort  = 12000
	blockCount = 50
	// blockPorts is the number of ports of a block. The first one is held open while the
	// block is in use.
	blockPorts = 400
)

// portBlock is a range of ports that belongs to one process.
type portBlock struct {
	first int
	lock  net.Listener
	// last is never reset, so that no two callers get the same port before all ports have
	// been used.
	last atomic.Int64
}

// ownBlock is the block of this process.
var ownBlock = sync.OnceValues(claimBlock)

// FreeAddr returns a free address of the loopback network that no other caller in any
// process gets.
func FreeAddr() (string, error) {
	b, err := ownBlock()
	if err != nil {
		return "", err
	}
	return b.freeAddr()
}

// claimBlock returns a block of ports that no other process holds.
func claimBlock() (*portBlock, error) {
	for first := firstPort; first < firstPort+blockCount*blockPorts; first += blockPorts {
		if l, err := net.Listen("tcp", loopback(first)); err == nil {
			return &portBlock{first: first, lock: l}, nil
		}
	}
	return nil, errors.New("all blocks of ports are in use")
}

func (b *portBlock) freeAddr() (string, error) {
	for range blockPorts {
		addr := loopback(b.first + 1 + int(b.last.Add(1)-1)%(blockPorts-1))
		if l, err := net.Listen("tcp", addr); err == nil {
			return addr, l.Close()
		}
	}
	return "", fmt.Errorf("no port from %d to %d is free", b.first+1, b.first+blockPorts-1)
}

func loopback(port int) string { return net.JoinHostPort("127.0.0.1", strconv.Itoa(port)) }
