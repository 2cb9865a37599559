// Rules of a configuration that a schema can't express.
#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <bit>

#include "rosemaryreach/config_json.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kMaxNameBytes = 63;
constexpr std::size_t kMaxServices = 10'000;
constexpr std::uint32_t kMinBuckets = 16;
constexpr std::uint32_t kMaxBuckets = 65'536;
constexpr std::uint32_t kMaxPercent = 100;
constexpr std::string_view kReservedTargetName = "legacy";

struct endpoint_hash {
  std::size_t operator()(const endpoint& item) const {
    const char* bytes =
        reinterpret_cast<const char*>(item.address.bytes.data());
    return HashBytes({bytes, item.address.bytes.size()}, item.port);
  }
};

bool IsNameCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '.' ||
         c == '_' || c == '-';
}

bool IsName(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::all_of(name.begin(), name.end(), IsNameCharacter);
}

std::string JoinPath(const std::string& parent, const std::string& name) {
  return parent + "/" + name;
}

// Collects the rule violations of one configuration.
class rule_checker {
 public:
  explicit rule_checker(const configuration& config) : config_(config) {}

  std::vector<error> Run() {
    CheckNames(config_.data_centres, "/data_centres");
    CheckNames(config_.services, "/services");
    if (config_.services.size() > kMaxServices) {
      AddError("/services", "got " + std::to_string(config_.services.size()) +
                                ", expected at most 10000");
    }
    CollectServiceAddresses();
    for (const service_config& service : config_.services) {
      CheckService(service, "/services/" + service.name);
    }
    if (config_.default_legacy) {
      CheckNextHop(*config_.default_legacy, "/default_legacy");
    }
    return std::move(errors_);
  }

 private:
  // Service names by address. Views point into config_.
  using service_by_address =
      absl::flat_hash_map<endpoint, std::string_view, endpoint_hash>;

  struct target_owner {
    std::string_view service;
    std::string_view target;
  };

  void AddError(std::string path, std::string detail) {
    errors_.push_back(
        {errc::kRuleViolation, std::move(path), std::move(detail)});
  }

  // Items read from a document are already sorted by name.
  template <typename Item>
  void CheckNames(const std::vector<Item>& items, const std::string& path) {
    for (std::size_t i = 0; i < items.size(); ++i) {
      const std::string& name = items[i].name;
      if (!IsName(name)) {
        AddError(JoinPath(path, name),
                 "expected a name of 1 to 63 lower-case letters, digits, dots, "
                 "dashes or underscores");
      }
      if (i > 0 && items[i - 1].name >= name) {
        AddError(JoinPath(path, name), "expected names sorted and used once");
      }
    }
  }

  void CollectServiceAddresses() {
    for (const service_config& service : config_.services) {
      for (std::size_t i = 0; i < service.addresses.size(); ++i) {
        const endpoint& address = service.addresses[i];
        const std::string path =
            "/services/" + service.name + "/addresses/" + std::to_string(i);
        CheckPort(address, path);
        const auto [found, added] = ServiceAddresses(service.protocol)
                                        .try_emplace(address, service.name);
        if (!added) {
          AddError(path, "got " + FormatEndpoint(address) +
                             ", which service \"" + std::string(found->second) +
                             "\" has; expected an address of one service");
        }
      }
    }
  }

  // A TCP and a UDP service may share an address; two services of one protocol
  // may not.
  service_by_address& ServiceAddresses(transport_protocol protocol) {
    return protocol == transport_protocol::kTcp ? tcp_addresses_
                                                : udp_addresses_;
  }

  bool IsServiceAddress(const endpoint& address) const {
    return tcp_addresses_.contains(address) || udp_addresses_.contains(address);
  }

  void CheckService(const service_config& service, const std::string& path) {
    if (!std::has_single_bit(service.buckets) ||
        service.buckets < kMinBuckets || service.buckets > kMaxBuckets) {
      AddError(path + "/buckets", "got " + std::to_string(service.buckets) +
                                      ", expected a power of two from 16 to "
                                      "65536");
    }
    if (service.legacy) {
      CheckLegacy(service, path + "/legacy");
    }
    CheckDeadlines(service.requests, path);
    CheckNames(service.targets, path + "/targets");
    CheckWeights(service, path);
    for (const target_config& target : service.targets) {
      CheckTarget(service, target, path + "/targets/" + target.name);
    }
  }

  void CheckLegacy(const service_config& service, const std::string& path) {
    const legacy_config& legacy = *service.legacy;
    CheckNextHop(legacy.next_hop, path + "/next_hop");
    if (legacy.share_percent > kMaxPercent) {
      AddError(path + "/share_percent",
               "got " + std::to_string(legacy.share_percent) +
                   ", expected 0 to 100");
    }
    if (service.plane == service_plane::kRequests) {
      AddError(path,
               "got a legacy next hop, which the request plane can't use");
    }
  }

  void CheckDeadlines(const request_policy& policy, const std::string& path) {
    if (policy.default_deadline_ms > policy.max_deadline_ms) {
      AddError(path + "/requests/default_deadline_ms",
               "got " + std::to_string(policy.default_deadline_ms) +
                   ", expected at most max_deadline_ms, " +
                   std::to_string(policy.max_deadline_ms));
    }
  }

  void CheckWeights(const service_config& service, const std::string& path) {
    std::uint64_t sum = 0;
    bool active = false;
    for (const target_config& target : service.targets) {
      const bool counts = target.state == target_state::kActive;
      active = active || counts;
      sum += counts ? target.weight : 0;
    }
    if (active && sum == 0) {
      AddError(path + "/targets",
               "got a sum of 0 over the weights of active targets, expected "
               "more");
    }
  }

  void CheckTarget(const service_config& service,
                   const target_config& target,
                   const std::string& path) {
    CheckPort(target.address, path + "/address");
    if (target.name == kReservedTargetName) {
      AddError(path, "got a name that is kept for the legacy next hop");
    }
    if (target.probe) {
      CheckPort(*target.probe, path + "/probe");
    }
    if (FindDataCentre(config_, target.data_centre) == nullptr) {
      AddError(path + "/data_centre", "got \"" + target.data_centre +
                                          "\", expected one of data_centres");
    }
    if (IsServiceAddress(target.address)) {
      AddError(path + "/address", "got " + FormatEndpoint(target.address) +
                                      ", which is a service's own address");
    }
    const auto [found, added] = targets_.try_emplace(
        target.address, target_owner{service.name, target.name});
    if (!added) {
      AddError(path + "/address",
               "got " + FormatEndpoint(target.address) + ", which target \"" +
                   std::string(found->second.target) + "\" of service \"" +
                   std::string(found->second.service) +
                   "\" has; expected an address of one target");
    }
  }

  void CheckNextHop(const endpoint& next_hop, const std::string& path) {
    CheckPort(next_hop, path);
    if (IsServiceAddress(next_hop)) {
      AddError(path, "got " + FormatEndpoint(next_hop) +
                         ", which is a service's own address");
    }
  }

  void CheckPort(const endpoint& item, const std::string& path) {
    if (item.port == 0) {
      AddError(path,
               "got " + FormatEndpoint(item) + ", expected a port above 0");
    }
  }

  const configuration& config_;
  service_by_address tcp_addresses_;
  service_by_address udp_addresses_;
  absl::flat_hash_map<endpoint, target_owner, endpoint_hash> targets_;
  std::vector<error> errors_;
};

}  // namespace

std::vector<error> CheckRules(const configuration& config) {
  return rule_checker(config).Run();
}

}  // namespace rosemaryreach
