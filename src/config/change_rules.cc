#include "config/change_rules.h"

#include <algorithm>
#include <string>

namespace rosemaryreach {
namespace {

constexpr std::uint32_t kFullShare = 100;

// Compares one service before and after a change.
class service_change {
 public:
  service_change(const configuration& after_config,
                 const service_config& before,
                 const service_config& after,
                 std::vector<error>& errors)
      : after_config_(after_config),
        before_(before),
        after_(after),
        errors_(errors) {}

  void Check() {
    Require(before_.buckets == after_.buckets, "/buckets", kImmutable);
    Require(before_.protocol == after_.protocol, "/protocol", kImmutable);
    Require(before_.plane == after_.plane, "/plane", kImmutable);
    const bool removes_legacy = before_.legacy && !after_.legacy;
    Require(!removes_legacy || before_.legacy->share_percent == kFullShare,
            "/legacy", "expected a share of 100 before it is removed");
    for (const target_config& target : before_.targets) {
      CheckTarget(target);
    }
  }

 private:
  static constexpr const char* kImmutable =
      "expected no change while it is declared";

  void Require(bool holds, const std::string& path, const char* detail) {
    if (!holds) {
      errors_.push_back(
          {errc::kRuleViolation, "/services/" + after_.name + path, detail});
    }
  }

  void CheckTarget(const target_config& target) {
    const auto found =
        std::find_if(after_.targets.begin(), after_.targets.end(),
                     [&target](const target_config& other) {
                       return other.name == target.name;
                     });
    const std::string path = "/targets/" + target.name;
    if (found != after_.targets.end()) {
      Require(found->address == target.address, path + "/address", kImmutable);
      return;
    }
    Require(IsRemovable(target), path,
            "expected it to be draining, or its data centre out, before it is "
            "removed");
  }

  bool IsRemovable(const target_config& target) const {
    const data_centre_config* centre =
        FindDataCentre(after_config_, target.data_centre);
    return target.state == target_state::kDraining || centre == nullptr ||
           centre->state == data_centre_state::kOut;
  }

  const configuration& after_config_;
  const service_config& before_;
  const service_config& after_;
  std::vector<error>& errors_;
};

// A service migrated from the legacy system starts with a share of 0, so that
// its existing connections stay there when the share is raised.
void CheckNewService(const service_config& service,
                     std::vector<error>& errors) {
  if (service.legacy && service.legacy->share_percent != 0) {
    errors.push_back({errc::kRuleViolation,
                      "/services/" + service.name + "/legacy/share_percent",
                      "got " + std::to_string(service.legacy->share_percent) +
                          ", expected 0 in the patch that declares a service"});
  }
}

}  // namespace

std::vector<error> CheckChange(const configuration& before,
                               const configuration& after) {
  std::vector<error> errors;
  auto old = before.services.begin();
  for (const service_config& service : after.services) {
    while (old != before.services.end() && old->name < service.name) {
      ++old;
    }
    if (old == before.services.end() || old->name != service.name) {
      CheckNewService(service, errors);
    } else if (!(*old == service)) {
      service_change(after, *old, service, errors).Check();
    }
  }
  return errors;
}

}  // namespace rosemaryreach
