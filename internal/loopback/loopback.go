// Package loopback provides listen addresses for processes that tests and
// experiments restart on the same port.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// AnyPort is the listen address for a free port on 127.0.0.1. It is for listeners
// that are not restarted.
const AnyPort = "127.0.0.1:0"

// allocated counts the addresses that this process has allocated.
var allocated atomic.Uint32

// UniqueAddr returns a listen address with a free port on a loopback address that
// nothing else uses. On 127.0.0.1, the port of a stopped process could be taken
// before its restart: outgoing connections have the source address 127.0.0.1 and
// their ports come from the same range as those of listeners.
func UniqueAddr() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 192+(pid>>8)%63, pid%256, 1+allocated.Add(1)%250)
}
