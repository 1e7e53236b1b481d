package entryd

import (
	"context"
	"net/http"
	"time"

	"golang.org/x/sys/unix"

	"github.com/limpettrail/limpettrail/internal/ingressd"
)

// arrivalKey is the key, in the context of a request, of the time on the entry's clock at
// which the request had arrived.
type arrivalKey struct{}

// noteArrivals notes when requests arrived, if callers may send their jobs again. A request
// may wait until its connection is accepted, behind another request, or for a busy process,
// and its body may follow later, while its caller counts its deadline from sending it.
func (e *Entry) noteArrivals(next http.Handler) http.Handler {
	if e.opts.Core.ResendDelay == 0 {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if age, ok := lastDataAge(r.Context()); ok {
			r = r.WithContext(context.WithValue(r.Context(), arrivalKey{}, e.now()-age))
		}
		next.ServeHTTP(w, r)
	})
}

// sinceArrival returns the time from the arrival of a request until now, 0 if it is not
// known.
func sinceArrival(ctx context.Context, now time.Duration) time.Duration {
	if arrived, ok := ctx.Value(arrivalKey{}).(time.Duration); ok {
		return now - arrived
	}
	return 0
}

// lastDataAge returns how long ago the last data arrived in the kernel on the connection of
// a request, with the resolution of the kernel's timer, 10 ms or less. Segments without data,
// such as the end of the connection, and repeated ones do not count. If more requests follow
// on the connection, the age is that of the last one. With MPTCP, which Go's listeners accept,
// the kernel tells the age on the first path only, and the data may have come on another one.
func lastDataAge(ctx context.Context) (age time.Duration, ok bool) {
	controlSocket(ingressd.ConnOf(ctx), func(fd int) {
		if p, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_PROTOCOL); err != nil || p != unix.IPPROTO_TCP {
			return
		}
		if info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			age, ok = time.Duration(info.Last_data_recv)*time.Millisecond, true
		}
	})
	return age, ok
}
