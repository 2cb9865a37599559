// Read-only interface to the operators' platform: configuration entries and the
// list of instances.
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

// One record of the platform's list of instances. The list may be out of date.
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

// Result of one watch. No entries and an unchanged head sequence mean that the
// wait timed out or that the platform returned stale data.
struct platform_page {
  std::vector<log_entry> entries;
  // Highest sequence number stored by the platform.
  std::uint64_t head_sequence = 0;
};

using entries_callback = std::function<void(result<platform_page>)>;
using instance_list_callback =
    std::function<void(result<std::vector<listed_instance>>)>;

// Each call invokes its callback exactly once, on the caller's task, unless the
// source is destroyed first. Errors: kUnavailable, kTimeout, kInvalidJson,
// kSchemaViolation, kTooLarge, and kLimit when the read rate limit is reached.
class platform_source {
 public:
  virtual ~platform_source() = default;

  // Waits up to `wait` for entries after `after`; zero returns the existing
  // ones at once. A call while another watch is pending fails with kLimit.
  virtual void WatchEntries(const log_position& after,
                            duration wait,
                            entries_callback done) = 0;

  // Reads the list of instances.
  virtual void ReadInstanceList(instance_list_callback done) = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PLATFORM_SOURCE_H_
