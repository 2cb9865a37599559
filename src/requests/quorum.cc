#include "requests/quorum.h"

#include <cstddef>

namespace rosemaryreach {

namespace {

bool IsMajority(std::size_t part, std::size_t whole) {
  return 2 * part > whole;
}

}  // namespace

void quorum::Apply(time_point now, const fleet_view& view) {
  for (auto& [id, entry] : members_) {
    entry.in_view = false;
  }
  for (const instance_info& instance : view.instances) {
    members_[instance.id] = {instance, true, now};
    if (instance.id == view.self) {
      self_ = instance;
    }
  }
  std::erase_if(members_, [](const auto& item) {
    const member& entry = item.second;
    return !entry.in_view && entry.info.state != instance_state::kActive;
  });
}

bool quorum::Expire(time_point now) {
  return std::erase_if(members_, [now](const auto& item) {
           const member& entry = item.second;
           return !entry.in_view && entry.last_seen + kRetention <= now;
         }) > 0;
}

bool quorum::HasRegionMajority() const {
  std::size_t visible = 0;
  std::size_t all = 0;
  for (const auto& [id, entry] : members_) {
    if (entry.info.region == self_.region) {
      visible += entry.in_view ? 1 : 0;
      ++all;
    }
  }
  return IsMajority(visible, all);
}

bool quorum::HasDataCentreMajority() const {
  std::size_t visible = 0;
  std::size_t all = 0;
  for (const auto& [id, entry] : members_) {
    if (entry.info.data_centre == self_.data_centre) {
      visible += entry.in_view ? 1 : 0;
      ++all;
    }
  }
  return IsMajority(visible, all);
}

std::set<std::string> quorum::UnreachableDataCentres() const {
  std::set<std::string> unreachable;
  for (const auto& [id, entry] : members_) {
    if (!entry.in_view) {
      unreachable.insert(entry.info.data_centre);
    }
  }
  for (const auto& [id, entry] : members_) {
    if (entry.in_view && entry.info.state == instance_state::kActive) {
      unreachable.erase(entry.info.data_centre);
    }
  }
  return unreachable;
}

}  // namespace rosemaryreach
