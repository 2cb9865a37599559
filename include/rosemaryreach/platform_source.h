// The port to the operators' platform, which can only be read and watched.
#ifndef ROSEMARYREACH_PLATFORM_SOURCE_H_
#define ROSEMARYREACH_PLATFORM_SOURCE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rosemaryreach/patch_log.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

enum class listed_instance_state : std::uint8_t { kLive, kLeaving };

// One line of the platform's list of instances, which lags.
struct listed_instance {
  std::string name;
  std::string data_centre;
  std::string region;
  ip_address address;
  std::uint16_t control_port = 0;
  std::uint16_t grpc_port = 0;
  listed_instance_state state = listed_instance_state::kLive;

  bool operator==(const listed_instance&) const = default;
};

// What one watch returned. No entries and an old head mean that the wait ended
// or that the platform is stale.
struct platform_page {
  std::vector<log_entry> entries;
  // Highest sequence that the platform holds.
  std::uint64_t head_sequence = 0;
};

using entries_callback = std::function<void(result<platform_page>)>;
using instance_list_callback =
    std::function<void(result<std::vector<listed_instance>>)>;

// Reads the platform. Each call is answered once, on the caller's task, unless
// the source is destroyed first. Errors: kUnavailable, kTimeout, kInvalidJson,
// kSchemaViolation, kTooLarge, and kLimit when the budget of reads is spent.
class platform_source {
 public:
  virtual ~platform_source() = default;

  // Waits up to `wait` for entries after `after`; zero asks for those there
  // are. A second call before the answer to the first fails with kLimit.
  virtual void WatchEntries(const log_position& after,
                            duration wait,
                            entries_callback done) = 0;

  // Reads the list of instances.
  virtual void ReadInstanceList(instance_list_callback done) = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PLATFORM_SOURCE_H_
