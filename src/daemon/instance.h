// One running instance: its tasks, the messages between them, and its life
// from joining the fleet to a graceful stop.
#ifndef ROSEMARYREACH_DAEMON_INSTANCE_H_
#define ROSEMARYREACH_DAEMON_INSTANCE_H_

#include "rosemaryreach/result.h"
#include "rosemaryreach/settings.h"

namespace rosemaryreach {

// Runs an instance on the calling thread until SIGTERM or SIGINT has stopped
// it gracefully, a second one at once, or the stop timeout has passed. Returns
// errc::kIo if a socket can't be bound, and the errors of ReadSecret().
result<void> RunUntilStopped(const settings& settings);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_DAEMON_INSTANCE_H_
