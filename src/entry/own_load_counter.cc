#include "entry/own_load_counter.h"

#include <map>
#include <utility>

namespace rosemaryreach {
namespace {

// A request left unanswered is reported this long, unless an answer follows: a
// silent target gets no new flows that would change the figure.
constexpr duration kStallLifetime = std::chrono::seconds(2);

bool IsEmpty(const target_figures& figures) {
  return figures.running == 0 && figures.opening == 0 && figures.answers == 0 &&
         figures.unanswered == 0;
}

}  // namespace

own_load_counter::counts& own_load_counter::Touch(target_index target) {
  if (target >= counts_.size()) {
    counts_.resize(target + 1);
  }
  counts& one = counts_[target];
  if (!std::exchange(one.touched, true)) {
    touched_.push_back(target);
  }
  return one;
}

void own_load_counter::OnAnswered(target_index target, duration elapsed) {
  counts& one = Touch(target);
  ++one.answers;
  one.response_ms += static_cast<std::uint32_t>(ToMillis(elapsed));
}

void own_load_counter::OnStalled(target_index target, time_point now) {
  counts& one = Touch(target);
  const bool ended = tracker_.StatusOf(target).last_answer > one.stalled_at ||
                     now - one.stalled_at >= kStallLifetime;
  one.stalled = ended ? 1 : one.stalled + 1;
  one.stalled_at = now;
}

void own_load_counter::OnOffered(const std::string& service) {
  ++offered_[ServiceHash(service)];
}

void own_load_counter::OnRemoved(target_index target) {
  if (target < counts_.size()) {
    const bool touched = counts_[target].touched;
    counts_[target] = {};
    counts_[target].touched = touched;
  }
}

target_figures own_load_counter::FiguresOf(target_index target,
                                           time_point now) {
  const target_status& status = tracker_.StatusOf(target);
  counts& one = counts_[target];
  target_figures figures;
  figures.cookie = directory_.Find(target)->cookie;
  figures.running = status.running;
  figures.open = status.open;
  figures.opening = status.opening;
  figures.answers = std::exchange(one.answers, 0);
  figures.response_ms = std::exchange(one.response_ms, 0);
  if (status.last_answer < one.stalled_at &&
      now - one.stalled_at < kStallLifetime) {
    figures.unanswered = one.stalled;
  }
  if (now - status.opening_since >= kOpenAnswerTimeout) {
    figures.unanswered += status.opening;
  }
  return figures;
}

own_load own_load_counter::Collect(time_point now) {
  own_load load;
  std::map<std::uint32_t, service_figures> services;
  bool in_use = !offered_.empty();
  std::erase_if(touched_, [&](target_index target) {
    const known_target* known = directory_.Find(target);
    if (known == nullptr) {
      counts_[target] = {};
      return true;
    }
    const target_figures figures = FiguresOf(target, now);
    if (IsEmpty(figures) && figures.open == 0) {
      counts_[target].touched = false;
      return true;
    }
    in_use = in_use || !IsEmpty(figures);
    load.targets.push_back(figures);
    const std::uint32_t in_flight = figures.running + figures.opening;
    if (in_flight > 0) {
      services[ServiceHash(known->record.service)].in_flight += in_flight;
    }
    return false;
  });
  if (!in_use) {
    return {};
  }
  for (const auto& [service, offered] : offered_) {
    services[service].offered = offered;
  }
  offered_.clear();
  for (auto& [service, figures] : services) {
    figures.service = service;
    load.services.push_back(figures);
  }
  return load;
}

}  // namespace rosemaryreach
