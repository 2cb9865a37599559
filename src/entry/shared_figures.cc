#include "entry/shared_figures.h"

#include <algorithm>
#include <cmath>

#include "rosemaryreach/load_exchange.h"

namespace rosemaryreach {
namespace {

// The weight of an answer in the mean response time halves in this time.
constexpr duration kAnswerHalfLife = std::chrono::seconds(1);
// After this time without an answer there is no recent response time.
constexpr duration kResponseTimeLifetime = std::chrono::seconds(5);
// The time of the last answer is forgotten after this time.
constexpr duration kAnswerLifetime = std::chrono::seconds(60);

// Returns 1 up to `begin` and 0 from `end` on.
double Fade(duration age, duration begin, duration end) {
  const double left = static_cast<double>((end - age).count()) /
                      static_cast<double>((end - begin).count());
  return std::clamp(left, 0.0, 1.0);
}

std::uint32_t Less(std::uint32_t sum, std::uint32_t own) {
  return sum - std::min(sum, own);
}

target_figures Subtract(const target_figures& sum, const target_figures& own) {
  target_figures others = sum;
  others.running = Less(sum.running, own.running);
  others.open = Less(sum.open, own.open);
  others.answers = Less(sum.answers, own.answers);
  others.response_ms = Less(sum.response_ms, own.response_ms);
  others.opening = Less(sum.opening, own.opening);
  others.unanswered = Less(sum.unanswered, own.unanswered);
  return others;
}

const target_figures* FindTarget(const load_message& message,
                                 std::uint32_t cookie) {
  const auto found =
      std::lower_bound(message.targets.begin(), message.targets.end(), cookie,
                       [](const target_figures& figures, std::uint32_t value) {
                         return figures.cookie < value;
                       });
  return found != message.targets.end() && found->cookie == cookie ? &*found
                                                                   : nullptr;
}

}  // namespace

merge_outcome shared_figures::Merge(const load_message& part,
                                    std::uint64_t member_incarnation,
                                    const load_message& own,
                                    time_point now) {
  round& held = rounds_[part.address];
  const bool same_round = held.position.incarnation == part.incarnation &&
                          held.position.sequence == part.sequence &&
                          !held.parts.empty();
  if (!same_round) {
    if (!held.position.Precedes(part, member_incarnation)) {
      return merge_outcome::kDuplicate;
    }
    held = {{part.incarnation, part.sequence}, 0, {}};
  }
  const std::uint32_t bit = 1U << part.part;
  const bool fits =
      held.parts.empty() || held.parts.front().parts == part.parts;
  if (!fits || (held.parts_seen & bit) != 0) {
    return merge_outcome::kDuplicate;
  }
  held.parts_seen |= bit;
  held.parts.push_back(part);
  if (held.parts.size() < part.parts) {
    return merge_outcome::kIncomplete;
  }
  PutInForce(held, own, now);
  held.parts.resize(1);  // marks the round as known
  return merge_outcome::kInForce;
}

void shared_figures::PutInForce(const round& complete,
                                const load_message& own,
                                time_point now) {
  const load_message& header = complete.parts.front();
  any_ = true;
  received_ = now;
  age_at_receipt_ = header.age;
  other_centre_age_ = header.other_centre_age;
  targets_.clear();
  services_.clear();
  own_in_flight_.clear();
  for (const load_message& part : complete.parts) {
    for (const target_figures& sum : part.targets) {
      const target_figures* mine = FindTarget(own, sum.cookie);
      const target_figures others =
          mine == nullptr ? sum : Subtract(sum, *mine);
      targets_[sum.cookie] = others;
      AddAnswers(others, now - header.age);
    }
    for (const service_figures& sum : part.services) {
      services_.emplace(sum.service, sum);
    }
  }
  for (const service_figures& mine : own.services) {
    own_in_flight_[mine.service] = mine.in_flight;
  }
  PurgeAnswers(now);
}

void shared_figures::AddAnswers(const target_figures& others,
                                time_point answered) {
  if (others.answers == 0) {
    return;
  }
  recent_answers& recent = answers_[others.cookie];
  const double half_lives =
      static_cast<double>((answered - recent.last).count()) /
      static_cast<double>(kAnswerHalfLife.count());
  const double weight = std::exp2(-std::max(0.0, half_lives));
  recent.answers = recent.answers * weight + others.answers;
  recent.response_ms = recent.response_ms * weight + others.response_ms;
  recent.last = std::max(recent.last, answered);
}

void shared_figures::PurgeAnswers(time_point now) {
  if (now - purged_ < kAnswerLifetime) {
    return;
  }
  purged_ = now;
  absl::erase_if(answers_, [now](const auto& entry) {
    return now - entry.second.last >= kAnswerLifetime;
  });
}

duration shared_figures::age(time_point now) const {
  return any_ ? now - received_ + age_at_receipt_ : duration::max();
}

std::optional<shared_target_load> shared_figures::Target(std::uint32_t cookie,
                                                         time_point now) const {
  const duration known_for = age(now);
  if (known_for >= kFadeEnd) {
    return std::nullopt;
  }
  shared_target_load load;
  load.age = known_for;
  const auto answers = answers_.find(cookie);
  if (answers != answers_.end()) {
    const recent_answers& recent = answers->second;
    load.since_answer = now - recent.last;
    if (load.since_answer < kResponseTimeLifetime) {
      constexpr double kMicrosPerMilli = 1'000;
      load.response_time = duration(
          std::llround(recent.response_ms / recent.answers * kMicrosPerMilli));
    }
  }
  const auto found = targets_.find(cookie);
  if (found == targets_.end()) {
    return load;
  }
  const target_figures& others = found->second;
  const double fade = Fade(known_for, kFadeBegin, kFadeEnd);
  const double coarse_fade = Fade(now - received_ + other_centre_age_,
                                  kCoarseFadeBegin, kCoarseFadeEnd);
  load.running = others.running * fade + others.other_centre * coarse_fade;
  load.opening = others.opening * fade;
  load.open = others.open * fade;
  load.unanswered = others.unanswered * fade;
  return load;
}

std::optional<shared_service_load> shared_figures::Service(
    std::uint32_t service,
    time_point now) const {
  const duration known_for = age(now);
  if (known_for >= kFadeEnd) {
    return std::nullopt;
  }
  shared_service_load load;
  load.age = known_for;
  const auto [begin, end] = services_.equal_range(service);
  double in_flight = 0;
  for (auto row = begin; row != end; ++row) {
    const service_figures& sum = row->second;
    load.demand.push_back(
        {sum.data_centre, static_cast<double>(sum.offered), sum.instances});
    in_flight += sum.in_flight;
  }
  const auto own = own_in_flight_.find(service);
  in_flight -= own == own_in_flight_.end() ? 0 : own->second;
  load.in_flight =
      std::max(0.0, in_flight) * Fade(known_for, kFadeBegin, kFadeEnd);
  return load;
}

}  // namespace rosemaryreach
