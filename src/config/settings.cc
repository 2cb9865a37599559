#include "rosemaryreach/settings.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

#include "config/json_reader.h"
#include "config/json_text.h"
#include "config/schema_check.h"
#include "config/schemas.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxFileBytes = 1'000'000;
constexpr std::size_t kMinSecretBytes = 16;
constexpr std::uint16_t kDefaultAdminPort = 7'200;
constexpr std::uint8_t kLoopbackFirstOctet = 127;

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info",
                                                         "warning", "error"};

// Closes a file descriptor at the end of its scope.
class file_descriptor {
 public:
  explicit file_descriptor(int value) : value_(value) {}
  ~file_descriptor() {
    if (value_ >= 0) {
      close(value_);
    }
  }
  file_descriptor(const file_descriptor&) = delete;
  file_descriptor& operator=(const file_descriptor&) = delete;

  int value() const { return value_; }

 private:
  int value_;
};

error SystemError(const std::string& file) {
  return {errc::kIo, file, std::strerror(errno)};
}

result<std::string> ReadAll(int descriptor, const std::string& file) {
  std::string text;
  std::array<char, 4'096> block{};
  while (text.size() <= kMaxFileBytes) {
    const ssize_t count = read(descriptor, block.data(), block.size());
    if (count < 0) {
      return boost::outcome_v2::failure(SystemError(file));
    }
    if (count == 0) {
      return text;
    }
    text.append(block.data(), static_cast<std::size_t>(count));
  }
  return Fail(errc::kTooLarge,
              "expected at most " + std::to_string(kMaxFileBytes) + " octets",
              file);
}

result<std::string> ReadFile(const std::string& file) {
  const file_descriptor opened(open(file.c_str(), O_RDONLY | O_CLOEXEC));
  if (opened.value() < 0) {
    return boost::outcome_v2::failure(SystemError(file));
  }
  return ReadAll(opened.value(), file);
}

void ReadListeners(const json_reader& reader, listener_settings& out) {
  reader.Read("packet_port", out.packet_port);
  reader.Read("packet_workers", out.packet_workers);
  reader.Read("detour_port", out.detour_port);
  reader.Read("control_port", out.control_port);
  reader.Read("grpc_port", out.grpc_port);
  if (reader.Has("answer_next_hop")) {
    out.answer_next_hop.emplace();
    reader.ReadEndpoint("answer_next_hop", *out.answer_next_hop);
  }
  reader.ReadEndpoints("requests", out.requests);
  reader.Read("peer_request_port", out.peer_request_port);
  reader.ReadEndpoint("admin", out.admin);
  reader.Read("admin_token_file", out.admin_token_file);
}

void ReadPlatform(const json_reader& reader, platform_settings& out) {
  if (reader.Has("http")) {
    out.http.emplace();
    reader.ReadEndpoint("http", *out.http);
  }
  reader.Read("directory", out.directory);
  reader.Read("poll_ms", out.poll_ms);
  reader.Read("reads_per_minute", out.reads_per_minute);
}

void ReadLog(const json_reader& reader, log_settings& out) {
  std::string level(kLevelNames.at(static_cast<std::size_t>(out.level)));
  reader.Read("level", level);
  for (std::size_t i = 0; i < kLevelNames.size(); ++i) {
    if (kLevelNames[i] == level) {
      out.level = static_cast<log_level>(i);
    }
  }
  reader.Read("decision_sample", out.decision_sample);
}

void ReadLimits(const json_reader& reader, limit_settings& out) {
  reader.Read("memory_bytes", out.memory_bytes);
  reader.Read("control_bytes_per_s", out.control_bytes_per_s);
}

void ReadProbes(const json_reader& reader, probe_settings& out) {
  reader.Read("interval_ms", out.interval_ms);
  reader.Read("timeout_ms", out.timeout_ms);
}

// Reads the section `name` if the document has it.
template <typename Section>
void ReadSection(const json_reader& reader,
                 const char* name,
                 void (*read)(const json_reader&, Section&),
                 Section& out) {
  if (reader.Has(name)) {
    read(reader.Member(name), out);
  }
}

bool IsLoopback(const ip_address& address) {
  const std::size_t first_v4_octet = 12;
  return address.is_v4() ? address.bytes[first_v4_octet] == kLoopbackFirstOctet
                         : address == ParseIp("::1").value();
}

// Checks that the UDP and TCP ports of the instance's address don't collide.
void CheckPorts(const json_reader& reader, const listener_settings& listeners) {
  const std::uint32_t first = listeners.detour_port;
  const std::uint32_t last = first + listeners.packet_workers - 1;
  if (last > UINT16_MAX) {
    reader.AddError("listeners/detour_port",
                    "got " + std::to_string(first) +
                        ", expected room for one port a worker below 65536");
  }
  for (const std::uint16_t port :
       {listeners.packet_port, listeners.control_port}) {
    if (port >= first && port <= last) {
      reader.AddError("listeners/detour_port",
                      "got " + std::to_string(first) + " to " +
                          std::to_string(last) + ", which covers port " +
                          std::to_string(port));
    }
  }
  if (listeners.packet_port == listeners.control_port) {
    reader.AddError("listeners/control_port",
                    "got the same as packet_port, expected another");
  }
  if (listeners.grpc_port == listeners.peer_request_port) {
    reader.AddError("listeners/peer_request_port",
                    "got the same as grpc_port, expected another");
  }
}

void CheckSemantics(const json_reader& reader, const settings& value) {
  CheckPorts(reader, value.listeners);
  const bool both = value.platform.http && !value.platform.directory.empty();
  const bool neither = !value.platform.http && value.platform.directory.empty();
  if (both || neither) {
    reader.AddError("platform", std::string("got ") +
                                    (both ? "both" : "neither") +
                                    ", expected exactly one of http and "
                                    "directory");
  }
  if (!IsLoopback(value.listeners.admin.address) &&
      value.listeners.admin_token_file.empty()) {
    reader.AddError(
        "listeners/admin_token_file",
        "got nothing, expected a file when admin is beyond loopback");
  }
  if (value.probes.timeout_ms > value.probes.interval_ms) {
    reader.AddError("probes/timeout_ms",
                    "got " + std::to_string(value.probes.timeout_ms) +
                        ", expected at most interval_ms, " +
                        std::to_string(value.probes.interval_ms));
  }
}

void CheckSecret(const std::string& secret,
                 const std::string& place,
                 std::vector<error>& errors) {
  const result<std::string> read = ReadSecret(secret);
  if (!read) {
    errors.push_back(
        {read.error().code, place, secret + ": " + read.error().detail});
  }
}

void CheckSecrets(const settings& value,
                  const std::string& file,
                  std::vector<error>& errors) {
  for (std::size_t i = 0; i < value.key_files.size(); ++i) {
    CheckSecret(value.key_files[i], file + "#/key_files/" + std::to_string(i),
                errors);
  }
  const std::string& token_file = value.listeners.admin_token_file;
  if (!token_file.empty()) {
    CheckSecret(token_file, file + "#/listeners/admin_token_file", errors);
  }
}

}  // namespace

settings_check CheckSettings(std::string_view text, std::string_view file) {
  static const json_schema kSchema(kSettingsSchema);
  settings_check check;
  const std::string prefix = std::string(file) + "#";
  const result<json> document = ParseJson(text);
  if (!document) {
    check.errors.push_back(
        {document.error().code, prefix, document.error().detail});
    return check;
  }
  check.errors = kSchema.Check(document.value());
  if (check.ok()) {
    settings& out = check.value;
    out.listeners.admin = {ParseIp("127.0.0.1").value(), kDefaultAdminPort};
    const json_reader reader(document.value(), "", check.errors);
    reader.Read("instance", out.instance);
    reader.Read("data_centre", out.data_centre);
    reader.Read("region", out.region);
    reader.ReadAddress("address", out.address);
    ReadSection(reader, "listeners", ReadListeners, out.listeners);
    ReadSection(reader, "platform", ReadPlatform, out.platform);
    reader.ReadEndpoints("seeds", out.seeds);
    reader.Read("key_files", out.key_files);
    ReadSection(reader, "limits", ReadLimits, out.limits);
    ReadSection(reader, "log", ReadLog, out.log);
    ReadSection(reader, "probes", ReadProbes, out.probes);
    reader.Read("stop_timeout_ms", out.stop_timeout_ms);
    CheckSemantics(reader, out);
  }
  for (error& found : check.errors) {
    found.path = prefix + found.path;
  }
  return check;
}

settings_check LoadSettings(const std::string& file) {
  const result<std::string> text = ReadFile(file);
  if (!text) {
    return {{}, {text.error()}};
  }
  settings_check check = CheckSettings(text.value(), file);
  if (check.ok()) {
    CheckSecrets(check.value, file, check.errors);
  }
  return check;
}

result<std::string> ReadSecret(const std::string& file) {
  const file_descriptor opened(open(file.c_str(), O_RDONLY | O_CLOEXEC));
  struct stat status {};
  if (opened.value() < 0 || fstat(opened.value(), &status) != 0) {
    return boost::outcome_v2::failure(SystemError(file));
  }
  const bool owner_only = (status.st_mode & (S_IRWXG | S_IRWXO)) == 0;
  if (!owner_only) {
    return Fail(errc::kRuleViolation,
                "others may read it, expected mode 0600 or 0400", file);
  }
  BOOST_OUTCOME_TRY(text, ReadAll(opened.value(), file));
  std::string line = text.substr(0, text.find('\n'));
  if (line.size() < kMinSecretBytes) {
    return Fail(errc::kRuleViolation,
                "got " + std::to_string(line.size()) +
                    " octets in the first line, expected at least " +
                    std::to_string(kMinSecretBytes),
                file);
  }
  return line;
}

}  // namespace rosemaryreach
