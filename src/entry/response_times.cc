#include "rosemaryreach/response_times.h"

#include <algorithm>
#include <cmath>

namespace rosemaryreach {
namespace {

// Answers that a usual time remembers.
constexpr double kUsualAnswers = 64;
// Answers at the usual speed that every target is assumed to have given, since
// the times of single requests vary as much as their mean.
constexpr double kAssumedAnswers = 4;
// A single answer counts as at most this many times the usual time.
constexpr double kMaxRelative = 8;
// Share by which a longer open time raises the estimate; shorter ones replace
// it, as waiting only adds to the time on the network.
constexpr double kOpenTimeRise = 0.02;
// Assumed between data centres without open times.
constexpr duration kAssumedExtraDelay = std::chrono::milliseconds(2);
// Answers that a report of others counts as. A target in use gives them several
// between two reports, 200 ms apart, but their mean includes waiting. With 2 or
// 4, chance differences between targets of a busy service counted too much.
constexpr double kReportAnswers = 1;
// Answers that the evidence about a target remembers: a busy target that turns
// slow is known as such after 2 or 3 s.
constexpr double kMaxAnswers = 32;
// Targets are forgotten after this many half-lives.
constexpr int kForgetHalfLives = 6;

double DecayAfter(duration elapsed) {
  const std::chrono::duration<double> seconds = elapsed;
  const std::chrono::duration<double> half_life = kEvidenceHalfLife;
  return std::exp2(-seconds / half_life);
}

}  // namespace

double speed_evidence::Speed() const {
  const double speed =
      (kAssumedAnswers + answers) / (kAssumedAnswers + relative);
  return std::clamp(speed, kMinSpeed, kMaxSpeed);
}

void response_times::Learn(usual_time& usual, double us) {
  usual.answers = std::min(usual.answers + 1, kUsualAnswers);
  usual.us += (us - usual.us) / usual.answers;
}

void response_times::OnAnswer(const std::string& service,
                              const std::string& kind,
                              std::uint32_t cookie,
                              duration elapsed,
                              double crowding,
                              time_point now) {
  usual_time& usual = kinds_[{service, kind}];
  const double us = static_cast<double>(elapsed.count()) / crowding;
  const bool fast = us < kFastAnswer * usual.us;
  if (usual.answers == 0) {
    Learn(usual, us);
  }
  // A fast failure is no evidence of speed, and must not make the others slow.
  Add(targets_, cookie, 1,
      fast ? 1 : std::min(us / std::max(usual.us, 1.0), kMaxRelative), now);
  std::uint32_t& in_a_row = targets_[cookie].evidence.fast_in_a_row;
  in_a_row = fast ? in_a_row + 1 : 0;
  const double counted =
      std::clamp(us, kFastAnswer * usual.us, kMaxRelative * usual.us);
  Learn(usual, counted);
  Learn(services_[service], counted);
}

void response_times::OnOpened(const std::string& data_centre,
                              duration elapsed) {
  const double us = static_cast<double>(elapsed.count());
  const auto [found, added] = open_us_.emplace(data_centre, us);
  if (!added) {
    found->second =
        std::min(us, found->second + (us - found->second) * kOpenTimeRise);
  }
}

duration response_times::WorkTime(const std::string& service) const {
  const auto found = services_.find(service);
  return found == services_.end() ? duration(0)
                                  : duration(std::llround(found->second.us));
}

void response_times::OnSharedAnswers(std::uint32_t cookie,
                                     double relative,
                                     time_point now) {
  const double counted =
      relative < kFastAnswer ? 1 : std::min(relative, kMaxRelative);
  Add(shared_, cookie, kReportAnswers, kReportAnswers * counted, now);
}

speed_evidence response_times::Find(const evidence_table& table,
                                    std::uint32_t cookie,
                                    time_point now) {
  const auto found = table.find(cookie);
  if (found == table.end()) {
    return {};
  }
  const double decay = DecayAfter(now - found->second.at);
  speed_evidence evidence = found->second.evidence;
  evidence.answers *= decay;
  evidence.relative *= decay;
  return evidence;
}

void response_times::Add(evidence_table& table,
                         std::uint32_t cookie,
                         double answers,
                         double relative,
                         time_point now) {
  speed_evidence evidence = Find(table, cookie, now);
  evidence.answers += answers;
  evidence.relative += relative;
  const double kept = std::min(1.0, kMaxAnswers / evidence.answers);
  evidence.answers *= kept;
  evidence.relative *= kept;
  table[cookie] = {evidence, now};
}

speed_evidence response_times::EvidenceOf(std::uint32_t cookie,
                                          time_point now) const {
  return Find(targets_, cookie, now);
}

speed_evidence response_times::AllEvidenceOf(std::uint32_t cookie,
                                             time_point now) const {
  speed_evidence evidence = EvidenceOf(cookie, now);
  const speed_evidence others = Find(shared_, cookie, now);
  evidence.answers += others.answers;
  evidence.relative += others.relative;
  return evidence;
}

duration response_times::ExtraDelay(const std::string& data_centre,
                                    const std::string& local) const {
  if (data_centre == local) {
    return duration(0);
  }
  const auto there = open_us_.find(data_centre);
  const auto here = open_us_.find(local);
  if (there == open_us_.end() || here == open_us_.end()) {
    return kAssumedExtraDelay;
  }
  return duration(
      std::llround(2 * std::max(0.0, there->second - here->second)));
}

void response_times::Sweep(time_point now) {
  for (evidence_table* table : {&targets_, &shared_}) {
    std::erase_if(*table, [now](const auto& one) {
      return now - one.second.at > kForgetHalfLives * kEvidenceHalfLife;
    });
  }
}

}  // namespace rosemaryreach
