// The settings of one instance, read once at start.
#ifndef ROSEMARYREACH_SETTINGS_H_
#define ROSEMARYREACH_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "rosemaryreach/log.h"
#include "rosemaryreach/result.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach {

// Ports that the instance listens on, all on settings::address but the admin
// interface.
struct listener_settings {
  // IP-in-UDP packets from the fabric; all workers share the port.
  std::uint16_t packet_port = 7'000;
  std::uint16_t packet_workers = 1;
  // UDP, first of packet_workers ports.
  std::uint16_t detour_port = 7'010;
  std::uint16_t control_port = 7'100;
  std::uint16_t grpc_port = 7'101;
  // Next hop of IP-in-UDP packets to callers; without it no reset is sent.
  std::optional<endpoint> answer_next_hop;
  // Callers' HTTP/2 requests, each endpoint for one or more services.
  std::vector<endpoint> requests;
  std::uint16_t peer_request_port = 7'102;
  endpoint admin;
  // File with the admin interface's token; required if the interface doesn't
  // listen on loopback.
  std::string admin_token_file;

  bool operator==(const listener_settings&) const = default;
};

// Source of the configuration: exactly one of http and directory is set.
struct platform_settings {
  std::optional<endpoint> http;
  std::string directory;
  std::uint32_t poll_ms = 500;
  std::uint32_t reads_per_minute = 240;

  bool operator==(const platform_settings&) const = default;
};

struct limit_settings {
  std::uint64_t memory_bytes = 256'000'000;
  std::uint32_t control_bytes_per_s = 5'000;

  bool operator==(const limit_settings&) const = default;
};

struct log_settings {
  log_level level = log_level::kInfo;
  // Logs every n-th decision; 0 logs none.
  std::uint32_t decision_sample = 100;

  bool operator==(const log_settings&) const = default;
};

// How targets are probed from this instance.
struct probe_settings {
  std::uint32_t interval_ms = 1'000;
  std::uint32_t timeout_ms = 500;

  bool operator==(const probe_settings&) const = default;
};

struct settings {
  std::string instance;
  std::string data_centre;
  std::string region;
  ip_address address;
  listener_settings listeners;
  platform_settings platform;
  // Control endpoints of the peers contacted first.
  std::vector<endpoint> seeds;
  // Files with the keys of the control traffic; the first signs, all verify.
  std::vector<std::string> key_files;
  limit_settings limits;
  log_settings log;
  probe_settings probes;
  std::uint32_t stop_timeout_ms = 30'000;

  bool operator==(const settings&) const = default;
};

// Settings, or all errors found.
struct settings_check {
  settings value;
  std::vector<error> errors;

  bool ok() const { return errors.empty(); }
};

// Checks the text of a settings file against its schema and rules. Each error
// holds `file` and a JSON pointer, the value found and what is expected.
settings_check CheckSettings(std::string_view text, std::string_view file);

// Reads and checks a settings file, and checks that only their owner can read
// its key and token files.
settings_check LoadSettings(const std::string& file);

// Returns the first line of a key or token file; kIo if it can't be read,
// kRuleViolation if others than its owner may read it or it is too short.
result<std::string> ReadSecret(const std::string& file);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SETTINGS_H_
