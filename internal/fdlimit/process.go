package fdlimit

import "golang.org/x/sys/unix"

// maxProcessLimit bounds ProcessLimit. Systems without a limit of their own state millions.
const maxProcessLimit = 1 << 16

// ProcessLimit returns how many descriptors the system lets this process open, 0 if that is
// not known.
func ProcessLimit() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return int(min(limit.Cur, maxProcessLimit))
}
