// Package loopback gives listen addresses to processes that tests and
// experiments start again on the same port.
package loopback

import (
	"fmt"
	"os"
	"sync/atomic"
)

// Any listens on 127.0.0.1 with a free port. It is for listeners that are not
// started again.
const Any = "127.0.0.1:0"

// given numbers the addresses that this process has handed out.
var given atomic.Uint32

// Own returns a listen address with a free port on a loopback address that no one
// else uses. Outgoing connections have the source 127.0.0.1 and take their ports
// from the same range as listeners, so on 127.0.0.1 the port of a process that
// ended can be taken before the process is started again.
func Own() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d:0", 192+(pid>>8)%63, pid%256, 1+given.Add(1)%250)
}
