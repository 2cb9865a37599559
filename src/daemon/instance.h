// One running instance: its tasks, the messages between them, and its lifecycle
// from joining the fleet to a graceful stop.
#ifndef ROSEMARYREACH_DAEMON_INSTANCE_H_
#define ROSEMARYREACH_DAEMON_INSTANCE_H_

#include "rosemaryreach/result.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {

// Runs an instance on the calling thread. SIGTERM or SIGINT starts a graceful
// stop; a second signal or the stop timeout ends it at once. Returns errc::kIo
// if a socket can't be bound, and the errors of ReadSecret().
result<void> RunUntilStopped(const settings& settings);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DAEMON_INSTANCE_H_
