#include "rosemaryreach/load_exchange.h"

#include <algorithm>
#include <utility>

#include "entry/load_collector.h"
#include "entry/shared_figures.h"

namespace rosemaryreach {
namespace {

// Twice the period and the jitter of the network, but no less than three
// periods of a small data centre.
constexpr duration kMinReportLifetime = std::chrono::milliseconds(600);
constexpr duration kReportJitter = std::chrono::milliseconds(100);
// A call that is late by more than this means that the process was suspended.
constexpr duration kPauseLimit = std::chrono::milliseconds(300);
// After a pause, datagrams that waited in the socket are read within this time.
constexpr duration kDrainTime = std::chrono::milliseconds(50);
// An instance that becomes first collector knows few reports, until beacons
// have told the others; meanwhile the second one goes on. Less than
// kSilenceLimit, after which the others pass over it.
constexpr duration kWarmUp = std::chrono::milliseconds(800);
// A report leaves 10 to 40 ms before the next sums, so that a change is in the
// sums at most 240 ms after it.
constexpr duration kMinReportLead = std::chrono::milliseconds(10);
constexpr std::uint64_t kReportLeadSpreadMs = 30;
// An instance receives 8 KB of sums a second at most.
constexpr double kReceivedBytesPerS = 8'000;
constexpr double kReportedBytesPerS = 8'000;
// Part of its link that a collector uses for sums.
constexpr double kLinkShare = 0.125;
// Of coarse sums. 3 data centres send 24 of them a second in all.
constexpr std::size_t kMaxCoarseBytes = 300;

bool IsEmpty(const load_message& message) {
  return message.targets.empty() && message.services.empty();
}

double Seconds(duration value) {
  return std::chrono::duration<double>(value).count();
}

// Adds the counts of `earlier` to a load that was collected soon after it, for
// a report that replaces the earlier one before it is in any sums.
void AddCounts(const own_load& earlier, own_load& load) {
  for (const target_figures& one : earlier.targets) {
    const auto same = std::find_if(load.targets.begin(), load.targets.end(),
                                   [&one](const target_figures& candidate) {
                                     return candidate.cookie == one.cookie;
                                   });
    target_figures counts;
    counts.cookie = one.cookie;
    target_figures& to =
        same == load.targets.end() ? load.targets.emplace_back(counts) : *same;
    to.answers += one.answers;
    to.response_ms += one.response_ms;
  }
  for (const service_figures& one : earlier.services) {
    const auto same = std::find_if(load.services.begin(), load.services.end(),
                                   [&one](const service_figures& candidate) {
                                     return candidate.service == one.service;
                                   });
    service_figures counts;
    counts.service = one.service;
    service_figures& to = same == load.services.end()
                              ? load.services.emplace_back(counts)
                              : *same;
    to.offered += one.offered;
  }
}

// Keeps what is reported within the range that receivers accept.
void LimitCounts(own_load& load) {
  for (target_figures& one : load.targets) {
    one.answers = std::min(one.answers, kMaxReportedCount);
    one.response_ms = std::min(one.response_ms, kMaxReportedMillis);
    one.unanswered = std::min(one.unanswered, kMaxReportedCount);
  }
  for (service_figures& one : load.services) {
    one.offered = std::min(one.offered, kMaxReportedCount);
  }
}

}  // namespace

const char* LoadDropName(load_drop reason) {
  static constexpr std::array<const char*, kLoadDropReasons> kNames = {
      "malformed",     "foreign", "duplicate",
      "not_collector", "standby", "after_pause"};
  return kNames.at(static_cast<std::size_t>(reason));
}

load_exchange::load_exchange(const peer_group& peers,
                             double link_mbps,
                             load_exchange_hooks hooks,
                             time_point now)
    : peers_(peers),
      link_mbps_(link_mbps),
      hooks_(std::move(hooks)),
      collector_(std::make_unique<load_collector>()),
      figures_(std::make_unique<shared_figures>()),
      collected_at_(now),
      report_due_(now + kLoadPeriod),
      sums_due_(now),
      coarse_due_(now),
      next_due_(now),
      first_heard_(now) {}

load_exchange::~load_exchange() = default;

duration load_exchange::ReportLifetime() const {
  return std::max(kMinReportLifetime, 2 * period_ + kReportJitter);
}

bool load_exchange::IsSilent(std::uint32_t address, time_point now) const {
  const auto found = silent_.find(address);
  return found != silent_.end() && now < found->second;
}

void load_exchange::Tick(time_point now) {
  DetectPause(now);
  UpdateCollectors(now);
  collector_->Expire(ReportLifetime(), now);
  ReportWhenDue(now);
  SendSumsWhenDue(now);
  SendCoarseWhenDue(now);
  PassOverSilentCollector(now);
  UpdateSharing(now);
  ScheduleNext(now);
}

void load_exchange::DetectPause(time_point now) {
  if (now - next_due_ < kPauseLimit) {
    return;
  }
  // What was held is old, and reports of instances that ended meanwhile may
  // still wait in the socket.
  collector_->Clear();
  asked_.clear();
  acting_ = false;
  drain_until_ = now + kDrainTime;
  quiet_until_ = now + kDrainTime + period_;
  first_heard_ = now;
  report_due_ = now;
  sums_due_ = quiet_until_;
  next_due_ = now;
}

void load_exchange::UpdateCollectors(time_point now) {
  std::erase_if(silent_,
                [now](const auto& entry) { return now >= entry.second; });
  const std::uint32_t data_centre = peers_.self().data_centre;
  const std::array<std::uint32_t, 2> current =
      peers_.Collectors(data_centre, [this, now](std::uint32_t address) {
        return address != self() && IsSilent(address, now);
      });
  passes_over_ =
      !silent_.empty() && peers_.Collectors(data_centre, [](std::uint32_t) {
        return false;
      })[0] != current[0];
  if (current == collectors_) {
    return;
  }
  // An instance that knows no other one has had no reports, either.
  const bool was_alone = collectors_[1] == 0;
  const bool was_collector =
      !was_alone && (collectors_[0] == self() || collectors_[1] == self());
  if (current[0] != collectors_[0]) {
    first_heard_ = now;
  }
  if (current[0] == self() && !was_collector) {
    quiet_until_ = std::max(quiet_until_, now + kWarmUp);
  }
  collectors_ = current;
}

void load_exchange::PassOverSilentCollector(time_point now) {
  const std::uint32_t first = collectors_[0];
  if (first == 0 || first == self()) {
    return;
  }
  const time_point since = std::max(first_heard_, active_since_);
  if (active_ && now - since >= kSilenceLimit) {
    silent_[first] = now + kSilentTime;
    UpdateCollectors(now);
  }
}

void load_exchange::UpdateSharing(time_point now) {
  const bool fresh = age(now) < kFadeEnd;
  // Without traffic the sums end; that is no fault.
  const bool expected = active_ && now - active_since_ >= kFadeEnd;
  if (fresh == sharing_ || (!fresh && !expected)) {
    return;
  }
  sharing_ = fresh;
  hooks_.changed(fresh ? "sharing_regained" : "sharing_lost", in_use_);
}

void load_exchange::ScheduleNext(time_point now) {
  next_due_ = std::min(report_due_, now + kLoadPeriod);
  if (collectors_[0] == self() || collectors_[1] == self()) {
    next_due_ = std::min(next_due_, sums_due_);
  }
  if (collectors_[1] == self() && !acting_ && !collector_->empty()) {
    const time_point takeover =
        std::max(first_heard_, collector_->active_since()) + TakeoverDelay();
    next_due_ = std::min(next_due_, takeover);
  }
  if (acting_) {
    next_due_ = std::min(next_due_, coarse_due_);
  }
  next_due_ = std::max(next_due_, now);
}

void load_exchange::ReportSoon(time_point now) {
  report_soon_ = true;
  report_due_ = std::min(report_due_, std::max(now, next_report_allowed_));
  next_due_ = std::min(next_due_, report_due_);
}

void load_exchange::ReportWhenDue(time_point now) {
  if (now < report_due_) {
    return;
  }
  report_due_ = now + period_;
  report_soon_ = false;
  const load_message report = MakeReport(now);
  const bool was_active = std::exchange(active_, !IsEmpty(report));
  if (active_ && !was_active) {
    active_since_ = now;
  }
  if (active_ || was_active) {
    report_ = report;
    SendReport(now);
  }
}

load_message load_exchange::MakeReport(time_point now) {
  duration covered{};
  own_load load = CollectOwnLoad(covered, now);
  load_message report = NewMessage(load_message_kind::kReport);
  report.sequence = report_.sequence + 1;
  report.period = covered;
  const time_point since = std::max(first_heard_, active_since_);
  report.lacks_sums = active_ && (passes_over_ || in_use_ != collectors_[0] ||
                                  now - since >= TakeoverDelay());
  report.services = std::move(load.services);
  report.targets = std::move(load.targets);
  TrimToSize(kMaxLoadMessageBytes - kLoadHeaderBytes, report);
  return report;
}

own_load load_exchange::CollectOwnLoad(duration& covered, time_point now) {
  collected_.insert(collected_.begin(),
                    {hooks_.collect(now), now - collected_at_});
  collected_at_ = now;
  own_load load = collected_.front().load;
  covered = collected_.front().covered;
  std::size_t used = 1;
  while (covered < period_ * 3 / 4 && used < collected_.size()) {
    AddCounts(collected_[used].load, load);
    covered += collected_[used++].covered;
  }
  collected_.resize(used);
  LimitCounts(load);
  return load;
}

void load_exchange::SendReport(time_point now) {
  reported_ = now;
  std::vector<std::uint32_t> to;
  for (const std::uint32_t collector : collectors_) {
    if (collector == self()) {
      collector_->MergeReport(report_, report_.incarnation, now);
    } else if (collector != 0) {
      to.push_back(collector);
    }
  }
  const std::string bytes = EncodeLoadMessage(report_);
  Send(load_message_kind::kReport, to, bytes);
  const double sent = static_cast<double>(bytes.size() * to.size());
  const duration distance = std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(sent / kReportedBytesPerS));
  next_report_allowed_ = now + std::max(distance, kMinReportDistance);
  report_due_ = std::max(report_due_, next_report_allowed_);
}

load_message load_exchange::NewMessage(load_message_kind kind) const {
  load_message message;
  message.kind = kind;
  message.address = self();
  message.incarnation = peers_.self().incarnation;
  message.period = period_;
  return message;
}

void load_exchange::Send(load_message_kind kind,
                         std::span<const std::uint32_t> to,
                         const std::string& bytes) {
  if (to.empty()) {
    return;
  }
  counts_.sent.at(static_cast<std::size_t>(kind)) += to.size();
  counts_.bytes_sent += bytes.size() * to.size();
  hooks_.send(to, bytes);
}

void load_exchange::SendSumsWhenDue(time_point now) {
  const bool first = collectors_[0] == self();
  const bool second = collectors_[1] == self();
  if ((!first && !second) || now < quiet_until_) {
    acting_ = false;
    sums_due_ = std::max(sums_due_, now < quiet_until_ ? quiet_until_ : now);
    return;
  }
  const time_point since = std::max(first_heard_, collector_->active_since());
  const bool takes_over = second && !acting_ && !collector_->empty() &&
                          now - since >= TakeoverDelay();
  if (takes_over) {
    sums_due_ = now;
  }
  acting_ = acting_ || first || takes_over;
  if (now < sums_due_) {
    return;
  }
  sums_due_ = now + period_;
  const std::vector<std::uint32_t> asked(asked_.begin(), asked_.end());
  asked_.clear();
  if (!acting_) {
    if (!asked.empty()) {
      SendSums(asked, now);
    }
    return;
  }
  if (collector_->empty() && std::exchange(last_sums_empty_, true)) {
    return;
  }
  last_sums_empty_ = collector_->empty();
  std::vector<std::uint32_t> all;
  peers_.ForEach([this, &all](const peer_summary& peer) {
    if (peer.data_centre == peers_.self().data_centre) {
      all.push_back(peer.address);
    }
  });
  SendSums(all, now);
}

std::size_t load_exchange::RoundBytes(std::size_t wanted) {
  constexpr double kBytesPerMegabit = 125'000;
  const std::uint32_t receivers = peers_.LocalInstances();
  const duration for_bytes =
      std::chrono::duration_cast<duration>(std::chrono::duration<double>(
          static_cast<double>(wanted) / kReceivedBytesPerS));
  const duration for_receivers =
      kLoadPeriodPerInstance * static_cast<duration::rep>(receivers);
  period_ = std::clamp(std::max(for_bytes, for_receivers), kLoadPeriod,
                       kMaxLoadPeriod);
  const double link_bytes =
      link_mbps_ * kBytesPerMegabit * kLinkShare / receivers;
  return static_cast<std::size_t>(std::min(kReceivedBytesPerS, link_bytes) *
                                  Seconds(period_));
}

void load_exchange::SendSums(std::span<const std::uint32_t> to,
                             time_point now) {
  load_message sums = NewMessage(load_message_kind::kSums);
  collector_->AddSums(peers_.self().data_centre, now, sums);
  const std::size_t room = RoundBytes(ElementBytes(sums));
  sums.period = period_;
  sums_due_ = now + period_;
  sums.sequence = ++sums_sequence_;
  TrimToSize(room, sums);
  const std::vector<load_message> parts = SplitMessage(sums);
  for (const load_message& part : parts) {
    Send(load_message_kind::kSums, to, EncodeLoadMessage(part));
  }
  if (acting_) {
    for (const load_message& part : parts) {
      MergeSums(part, part.incarnation, now);
    }
  }
}

void load_exchange::SendCoarseWhenDue(time_point now) {
  if (!acting_ || now < coarse_due_) {
    return;
  }
  coarse_due_ = now + kCoarsePeriod;
  if (collector_->empty()) {
    return;
  }
  std::set<std::uint32_t> others;
  peers_.ForEach(
      [&others](const peer_summary& peer) { others.insert(peer.data_centre); });
  others.erase(peers_.self().data_centre);
  std::vector<std::uint32_t> to;
  for (const std::uint32_t data_centre : others) {
    for (const std::uint32_t address :
         peers_.Collectors(data_centre, [](std::uint32_t) { return false; })) {
      if (address != 0) {
        to.push_back(address);
      }
    }
  }
  load_message coarse = NewMessage(load_message_kind::kCoarse);
  coarse.sequence = ++coarse_sequence_;
  collector_->AddCoarse(peers_.self().data_centre, now, coarse);
  TrimToSize(kMaxCoarseBytes, coarse);
  Send(load_message_kind::kCoarse, to, EncodeLoadMessage(coarse));
}

void load_exchange::OnDatagram(std::uint32_t from,
                               std::string_view bytes,
                               time_point now) {
  counts_.bytes_received += bytes.size();
  DetectPause(now);
  if (now < drain_until_) {
    Drop(load_drop::kAfterPause);
    return;
  }
  const std::optional<load_message> message = DecodeLoadMessage(bytes);
  if (!message) {
    Drop(load_drop::kMalformed);
    return;
  }
  const peer_summary* sender = peers_.Find(from);
  if (sender == nullptr || message->address != from) {
    Drop(load_drop::kForeign);
    return;
  }
  ++counts_.received.at(static_cast<std::size_t>(message->kind));
  OnMessage(*message, *sender, now);
}

void load_exchange::OnMessage(const load_message& message,
                              const peer_summary& sender,
                              time_point now) {
  const bool local = sender.data_centre == peers_.self().data_centre;
  if (local == (message.kind == load_message_kind::kCoarse)) {
    Drop(load_drop::kForeign);
    return;
  }
  switch (message.kind) {
    case load_message_kind::kReport:
      OnReport(message, sender, now);
      return;
    case load_message_kind::kSums:
      OnSums(message, sender, now);
      return;
    case load_message_kind::kCoarse:
      OnCoarse(message, sender, now);
      return;
  }
}

void load_exchange::OnReport(const load_message& report,
                             const peer_summary& sender,
                             time_point now) {
  if (!collector_->MergeReport(report, sender.incarnation, now)) {
    Drop(load_drop::kDuplicate);
    return;
  }
  if (report.lacks_sums) {
    asked_.insert(report.address);
  }
  ScheduleNext(now);
}

void load_exchange::OnSums(const load_message& sums,
                           const peer_summary& sender,
                           time_point now) {
  if (silent_.erase(sums.address) > 0) {
    // Its sums are incomplete until the others report to it again.
    UpdateCollectors(now);
    Drop(load_drop::kNotCollector);
    return;
  }
  const bool from_first = sums.address == collectors_[0];
  if (!from_first && sums.address != collectors_[1]) {
    Drop(load_drop::kNotCollector);
    return;
  }
  const bool first_sends =
      in_use_ == collectors_[0] && now - first_heard_ < TakeoverDelay();
  if (!from_first && first_sends) {
    Drop(load_drop::kStandby);
    return;
  }
  MergeSums(sums, sender.incarnation, now);
  ScheduleNext(now);
}

void load_exchange::MergeSums(const load_message& sums,
                              std::uint64_t member_incarnation,
                              time_point now) {
  // A report that is no longer sent has expired at the collector, too.
  static const load_message kNone;
  const bool own_counts = now - reported_ < ReportLifetime();
  const merge_outcome outcome = figures_->Merge(
      sums, member_incarnation, own_counts ? report_ : kNone, now);
  if (outcome == merge_outcome::kDuplicate) {
    Drop(load_drop::kDuplicate);
    return;
  }
  if (outcome == merge_outcome::kIncomplete) {
    return;
  }
  if (sums.address == collectors_[0]) {
    first_heard_ = now;
    acting_ = sums.address == self();
  }
  if (std::exchange(in_use_, sums.address) != sums.address) {
    hooks_.changed("collector_changed", in_use_);
  }
  period_ = std::clamp(sums.period, kLoadPeriod, kMaxLoadPeriod);
  const duration lead =
      kMinReportLead +
      std::chrono::milliseconds(HashPair(self(), 1) % kReportLeadSpreadMs);
  if (!report_soon_) {
    report_due_ = std::max(now + period_ - lead, next_report_allowed_);
  }
  UpdateSharing(now);
}

void load_exchange::OnCoarse(const load_message& coarse,
                             const peer_summary& sender,
                             time_point now) {
  const std::array<std::uint32_t, 2> senders = peers_.Collectors(
      sender.data_centre, [](std::uint32_t) { return false; });
  if (coarse.address != senders[0] && coarse.address != senders[1]) {
    Drop(load_drop::kNotCollector);
    return;
  }
  // Demand of a third data centre would count twice.
  const bool states_own =
      std::all_of(coarse.services.begin(), coarse.services.end(),
                  [&sender](const service_figures& one) {
                    return one.data_centre == sender.data_centre;
                  });
  if (!states_own) {
    Drop(load_drop::kForeign);
    return;
  }
  if (!collector_->MergeCoarse(coarse, sender.data_centre, sender.incarnation,
                               now)) {
    Drop(load_drop::kDuplicate);
  }
}

std::optional<shared_target_load> load_exchange::TargetLoad(
    std::uint32_t cookie,
    time_point now) const {
  return figures_->Target(cookie, now);
}

std::optional<shared_service_load> load_exchange::ServiceLoad(
    std::string_view service,
    time_point now) const {
  return figures_->Service(ServiceHash(service), now);
}

duration load_exchange::age(time_point now) const {
  return figures_->age(now);
}

}  // namespace rosemaryreach
