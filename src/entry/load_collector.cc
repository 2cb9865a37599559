#include "entry/load_collector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace rosemaryreach {
namespace {

// Two periods of coarse sums and the jitter of the network.
constexpr duration kCoarseLifetime = std::chrono::milliseconds(1'250);
// A rate over a shorter time says little.
constexpr duration kMinReportPeriod = std::chrono::milliseconds(50);
// Parts of one round of sums, which receivers reject beyond 16.
constexpr std::size_t kMaxParts = 16;

std::uint32_t InFlight(const target_figures& figures) {
  return figures.running + figures.opening;
}

// The order in which targets are kept when a message is full: those in use
// first, then those with open flows only.
std::uint64_t WeightOf(const target_figures& figures) {
  constexpr std::uint64_t kInUse = 1ULL << 32;
  const std::uint64_t used = std::uint64_t{InFlight(figures)} +
                             figures.unanswered + figures.answers +
                             figures.other_centre;
  return used * kInUse + figures.open;
}

std::uint64_t WeightOf(const service_figures& figures) {
  return std::uint64_t{figures.offered} + figures.in_flight;
}

// Keeps the heaviest elements that fit `room` bytes and reduces `room`.
template <typename Figures>
bool KeepHeaviest(std::vector<Figures>& all, std::size_t& room) {
  std::sort(all.begin(), all.end(), [](const Figures& a, const Figures& b) {
    return WeightOf(a) > WeightOf(b);
  });
  std::size_t kept = 0;
  while (kept < all.size() && EncodedSize(all[kept]) <= room) {
    room -= EncodedSize(all[kept++]);
  }
  const bool left_out = kept < all.size();
  all.resize(kept);
  return left_out;
}

void Add(const target_figures& from, target_figures& to) {
  to.running += from.running;
  to.open += from.open;
  to.answers += from.answers;
  to.response_ms += from.response_ms;
  to.opening += from.opening;
  to.unanswered += from.unanswered;
}

std::vector<target_figures> SortedByCookie(
    const absl::flat_hash_map<std::uint32_t, target_figures>& sums) {
  std::vector<target_figures> sorted;
  sorted.reserve(sums.size());
  for (const auto& [cookie, figures] : sums) {
    sorted.push_back(figures);
  }
  std::sort(sorted.begin(), sorted.end(),
            [](const target_figures& a, const target_figures& b) {
              return a.cookie < b.cookie;
            });
  return sorted;
}

}  // namespace

bool load_sequence::Precedes(const load_message& message,
                             std::uint64_t member_incarnation) const {
  if (message.incarnation == incarnation) {
    return message.sequence > sequence;
  }
  return message.incarnation > incarnation ||
         message.incarnation == member_incarnation;
}

bool load_collector::MergeReport(const load_message& report,
                                 std::uint64_t member_incarnation,
                                 time_point now) {
  held_message& held = reports_[report.address];
  if (!held.position.Precedes(report, member_incarnation)) {
    return false;
  }
  const bool was_empty = empty();
  active_ -= HasFigures(held.message) ? 1 : 0;
  active_ += HasFigures(report) ? 1 : 0;
  held = {{report.incarnation, report.sequence}, now, report};
  if (was_empty && !empty()) {
    active_since_ = now;
  }
  return true;
}

bool load_collector::MergeCoarse(const load_message& coarse,
                                 std::uint32_t data_centre,
                                 std::uint64_t member_incarnation,
                                 time_point now) {
  load_sequence& last = coarse_senders_[coarse.address];
  if (!last.Precedes(coarse, member_incarnation)) {
    return false;
  }
  last = {coarse.incarnation, coarse.sequence};
  coarse_[data_centre] = {last, now, coarse};
  return true;
}

void load_collector::Expire(duration report_lifetime, time_point now) {
  absl::erase_if(reports_, [&](const auto& entry) {
    const held_message& held = entry.second;
    if (now - held.received < report_lifetime) {
      return false;
    }
    active_ -= HasFigures(held.message) ? 1 : 0;
    return true;
  });
  std::erase_if(coarse_, [now](const auto& entry) {
    return now - entry.second.received >= kCoarseLifetime;
  });
}

void load_collector::Clear() {
  reports_.clear();
  coarse_.clear();
  coarse_senders_.clear();
  active_ = 0;
}

void load_collector::AddReports(target_sums& sums) const {
  for (const auto& [address, held] : reports_) {
    for (const target_figures& one : held.message.targets) {
      target_figures& sum = sums[one.cookie];
      sum.cookie = one.cookie;
      Add(one, sum);
    }
  }
}

std::vector<service_figures> load_collector::ServiceSums(
    std::uint32_t data_centre) const {
  std::map<std::uint32_t, std::pair<service_figures, double>> sums;
  for (const auto& [address, held] : reports_) {
    const double seconds = std::chrono::duration<double>(
                               std::max(held.message.period, kMinReportPeriod))
                               .count();
    for (const service_figures& one : held.message.services) {
      auto& [sum, rate] = sums[one.service];
      sum.service = one.service;
      sum.data_centre = data_centre;
      ++sum.instances;
      sum.in_flight += one.in_flight;
      rate += one.offered / seconds;
    }
  }
  std::vector<service_figures> services;
  for (auto& [service, entry] : sums) {
    entry.first.offered = static_cast<std::uint32_t>(std::ceil(entry.second));
    services.push_back(entry.first);
  }
  return services;
}

duration load_collector::MeanAge(time_point now) const {
  duration total{};
  for (const auto& [address, held] : reports_) {
    total += HasFigures(held.message) ? now - held.received : duration{};
  }
  return active_ == 0 ? duration{}
                      : total / static_cast<duration::rep>(active_);
}

void load_collector::AddSums(std::uint32_t data_centre,
                             time_point now,
                             load_message& sums) const {
  target_sums targets;
  AddReports(targets);
  sums.age = MeanAge(now);
  sums.services = ServiceSums(data_centre);
  for (const auto& [centre, held] : coarse_) {
    sums.other_centre_age =
        std::max(sums.other_centre_age, now - held.received + held.message.age);
    sums.services.insert(sums.services.end(), held.message.services.begin(),
                         held.message.services.end());
    for (const target_figures& one : held.message.targets) {
      target_figures& sum = targets[one.cookie];
      sum.cookie = one.cookie;
      sum.other_centre += one.running;
    }
  }
  sums.targets = SortedByCookie(targets);
}

void load_collector::AddCoarse(std::uint32_t data_centre,
                               time_point now,
                               load_message& coarse) const {
  target_sums targets;
  AddReports(targets);
  coarse.age = MeanAge(now);
  coarse.services = ServiceSums(data_centre);
  for (target_figures one : SortedByCookie(targets)) {
    if (InFlight(one) > 0) {
      target_figures in_flight;
      in_flight.cookie = one.cookie;
      in_flight.running = InFlight(one);
      coarse.targets.push_back(in_flight);
    }
  }
}

std::size_t ElementBytes(const load_message& message) {
  std::size_t bytes = 0;
  for (const service_figures& one : message.services) {
    bytes += EncodedSize(one);
  }
  for (const target_figures& one : message.targets) {
    bytes += EncodedSize(one);
  }
  return bytes;
}

bool TrimToSize(std::size_t max_bytes, load_message& message) {
  if (ElementBytes(message) <= max_bytes) {
    std::sort(message.targets.begin(), message.targets.end(),
              [](const target_figures& a, const target_figures& b) {
                return a.cookie < b.cookie;
              });
    return false;
  }
  // Limits of services need all of their demand, so they come first, but leave
  // half of the room to targets.
  std::size_t services_room = max_bytes / 2;
  const std::size_t before = services_room;
  bool left_out = KeepHeaviest(message.services, services_room);
  std::size_t room = max_bytes - (before - services_room);
  left_out = KeepHeaviest(message.targets, room) || left_out;
  std::sort(message.targets.begin(), message.targets.end(),
            [](const target_figures& a, const target_figures& b) {
              return a.cookie < b.cookie;
            });
  return left_out;
}

std::vector<load_message> SplitMessage(const load_message& whole) {
  constexpr std::size_t kRoom = kMaxLoadMessageBytes - kLoadHeaderBytes;
  load_message empty = whole;
  empty.services.clear();
  empty.targets.clear();
  std::vector<load_message> parts = {empty};
  std::size_t used = 0;
  const auto part_for = [&](std::size_t bytes) -> load_message& {
    if (used + bytes > kRoom) {
      parts.push_back(empty);
      used = 0;
    }
    used += bytes;
    return parts.back();
  };
  for (const service_figures& one : whole.services) {
    part_for(EncodedSize(one)).services.push_back(one);
  }
  for (const target_figures& one : whole.targets) {
    part_for(EncodedSize(one)).targets.push_back(one);
  }
  parts.resize(std::min(parts.size(), kMaxParts));
  for (std::size_t i = 0; i < parts.size(); ++i) {
    parts[i].part = static_cast<std::uint32_t>(i);
    parts[i].parts = static_cast<std::uint32_t>(parts.size());
  }
  return parts;
}

}  // namespace rosemaryreach
