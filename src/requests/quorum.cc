#include "requests/quorum.h"

#include <cstddef>

namespace rosemaryreach {

namespace {

bool IsMost(std::size_t part, std::size_t whole) {
  return 2 * part > whole;
}

}  // namespace

void quorum::Apply(time_point now, const fleet_view& view) {
  for (auto& [id, known] : members_) {
    known.in_view = false;
  }
  for (const instance_info& instance : view.instances) {
    members_[instance.id] = {instance, true, now};
    if (instance.id == view.self) {
      self_ = instance;
    }
  }
  std::erase_if(members_, [](const auto& item) {
    const member& known = item.second;
    return !known.in_view && known.info.state != instance_state::kActive;
  });
}

bool quorum::Expire(time_point now) {
  return std::erase_if(members_, [now](const auto& item) {
           const member& known = item.second;
           return !known.in_view && known.seen + kMemory <= now;
         }) > 0;
}

bool quorum::HoldsRegion() const {
  std::size_t seen = 0;
  std::size_t all = 0;
  for (const auto& [id, known] : members_) {
    if (known.info.region == self_.region) {
      seen += known.in_view ? 1 : 0;
      ++all;
    }
  }
  return IsMost(seen, all);
}

bool quorum::HoldsDataCentre() const {
  std::size_t seen = 0;
  std::size_t all = 0;
  for (const auto& [id, known] : members_) {
    if (known.info.data_centre == self_.data_centre) {
      seen += known.in_view ? 1 : 0;
      ++all;
    }
  }
  return IsMost(seen, all);
}

std::set<std::string> quorum::LostDataCentres() const {
  std::set<std::string> lost;
  for (const auto& [id, known] : members_) {
    if (!known.in_view) {
      lost.insert(known.info.data_centre);
    }
  }
  for (const auto& [id, known] : members_) {
    if (known.in_view && known.info.state == instance_state::kActive) {
      lost.erase(known.info.data_centre);
    }
  }
  return lost;
}

}  // namespace rosemaryreach
