#include "packets/peer_table.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

constexpr std::chrono::seconds kViewConvergenceTime(3);

}  // namespace

bool peer_table::Apply(const fleet_view& view, time_point now) {
  const instance_info* self = FindInstance(view, view.self);
  if (self != nullptr) {
    self_ = *self;
  }
  self_.id = view.self;
  const std::vector<peer> previous_peers = std::move(peers_);
  peers_.clear();
  bool appeared = false;
  for (const instance_info& info : view.instances) {
    if (info.id == view.self || info.region != self_.region) {
      continue;
    }
    peer added{info.id,
               info.incarnation,
               info.state,
               info.address,
               info.detour_port,
               info.packet_workers,
               info.configuration_number};
    bool known_before = false;
    for (const peer& previous : previous_peers) {
      if (previous.id == info.id && previous.incarnation == info.incarnation) {
        added.configuration_number =
            std::max(added.configuration_number, previous.configuration_number);
        known_before = true;
      }
    }
    appeared |= !known_before && info.state == instance_state::kActive;
    peers_.push_back(added);
  }
  const owner_ranking ranking(view, self_.region);
  digest_ = ViewDigest(view);
  previous_incarnations_.clear();
  for (const peer& previous : previous_peers) {
    previous_incarnations_[previous.id.value] = previous.incarnation;
  }
  if (ranking.candidates() != ranking_.candidates()) {
    previous_ranking_ = ranking_;
    ranking_ = ranking;
    changed_at_ = now;
  }
  return appeared;
}

void peer_table::RecordConfigurationNumber(instance_id id,
                                           std::uint64_t configuration_number) {
  for (peer& candidate : peers_) {
    if (candidate.id == id) {
      candidate.configuration_number =
          std::max(candidate.configuration_number, configuration_number);
      return;
    }
  }
}

const peer* peer_table::Find(instance_id id) const {
  for (const peer& candidate : peers_) {
    if (candidate.id == id) {
      return &candidate;
    }
  }
  return nullptr;
}

bool peer_table::ConfigurationNumbersWithin(std::uint64_t lowest,
                                            std::uint64_t highest) const {
  return std::all_of(peers_.begin(), peers_.end(), [&](const peer& candidate) {
    return candidate.configuration_number >= lowest &&
           candidate.configuration_number <= highest;
  });
}

bool peer_table::IsSameProcess(instance_id id) const {
  const peer* found = Find(id);
  if (found == nullptr || found->state == instance_state::kJoining) {
    return false;
  }
  const auto before = previous_incarnations_.find(id.value);
  return before != previous_incarnations_.end() &&
         before->second == found->incarnation;
}

std::optional<owner_pair> peer_table::PreviousOwners(std::uint64_t key,
                                                     time_point now) const {
  if (!changed_at_ || now - *changed_at_ > kViewConvergenceTime) {
    return std::nullopt;
  }
  return previous_ranking_.Owners(key);
}

endpoint peer_table::DetourEndpoint(instance_id id,
                                    std::uint32_t bucket) const {
  const peer* found = Find(id);
  if (found == nullptr) {
    const std::uint32_t worker =
        bucket % std::max<std::uint32_t>(self_.packet_workers, 1);
    return {self_.address,
            static_cast<std::uint16_t>(self_.detour_port + worker)};
  }
  const std::uint32_t worker =
      bucket % std::max<std::uint32_t>(found->packet_workers, 1);
  return {found->address,
          static_cast<std::uint16_t>(found->detour_port + worker)};
}

}  // namespace rosemaryreach
