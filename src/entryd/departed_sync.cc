#include "entryd/departed_sync.h"

#include <algorithm>
#include <array>
#include <utility>

#include "adapters/deflate.h"
#include "rosemaryreach/view_codec.h"

namespace rosemaryreach {
namespace {

// Several round trips between regions; peers answer from memory.
constexpr duration kPullDeadline = std::chrono::milliseconds(400);
// Instances that start together ask within less than this time, so that one
// encoding serves them; it makes ages too short by as much.
constexpr duration kAnswerReuseTime = std::chrono::milliseconds(200);
// A store that sends its history slowly is still of use.
constexpr duration kHistoryDeadline = std::chrono::seconds(2);
}  // namespace

departed_sync::departed_sync(event_loop& loop,
                             const entry_settings& settings,
                             const peer_group& peers,
                             const item_cache& view,
                             item_decoder decode,
                             duration retention,
                             departed_hook on_departed,
                             entry_log& log,
                             entry_metrics& metrics)
    : loop_(loop),
      settings_(settings),
      peers_(peers),
      view_(view),
      departed_(std::move(decode), retention),
      schedule_(retention, settings.store_history),
      on_departed_(std::move(on_departed)),
      log_(log),
      metrics_(metrics) {}

void departed_sync::Apply(const view_change& change, time_point now) {
  departed_.Apply(change, now);
  cached_answer_.clear();
}

void departed_sync::Reload(const entry_settings& settings) {
  settings_ = settings;
}

void departed_sync::Tick(time_point now) {
  departed_.Tick(now);
  departed_.OnView(now);
  schedule_.OnView(now);
  if (busy()) {
    return;
  }
  const departed_question question = schedule_.Next(peers_, now);
  switch (question.source) {
    case departed_source::kNone:
      return;
    case departed_source::kPeer:
      AskPeer(question.peer);
      return;
    case departed_source::kHistory:
      ReadHistory();
      return;
  }
}

void departed_sync::AskPeer(std::uint32_t peer) {
  metrics_.DepartedQuestions("peer").Add();
  client_ = std::make_unique<store_client>(
      loop_, ToEndpoint({peer, settings_.control_endpoint.port}));
  client_->PullDeparted(kPullDeadline,
                        [this, peer](const result<departed_answer>& answer) {
                          OnAnswer(answer, peer);
                        });
}

void departed_sync::ReadHistory() {
  metrics_.DepartedQuestions("history").Add();
  const std::uint64_t cursor = view_.cursor().revision;
  const std::uint64_t after =
      cursor - std::min(cursor, schedule_.HistoryDepth());
  client_ = std::make_unique<store_client>(loop_, settings_.store_endpoint);
  client_->ReadHistory(after, kHistoryDeadline,
                       [this, after](const result<store_answer>& answer) {
                         OnHistory(answer, after);
                       });
}

void departed_sync::OnAnswer(const result<departed_answer>& answer,
                             std::uint32_t peer) {
  const time_point now = BootTimeNow();
  const std::string giver = FormatIp(ToEndpoint({peer, 0}).address);
  if (!answer) {
    schedule_.OnNoAnswer(now);
    LogFailed(giver, answer.error());
    return;
  }
  const std::vector<departed_target> added =
      departed_.Merge(answer.value(), now);
  schedule_.OnAnswer(answer.value().known_for, !added.empty(), now);
  LogLearned(giver, added.size(), answer.value().known_for);
  PassOn(added);
}

void departed_sync::PassOn(std::span<const departed_target> added) {
  if (!added.empty()) {
    cached_answer_.clear();
    on_departed_(added);
  }
}

void departed_sync::OnHistory(const result<store_answer>& answer,
                              std::uint64_t after) {
  const time_point now = BootTimeNow();
  if (!answer) {
    OnHistoryFailed(answer.error());
    return;
  }
  if (answer.value().cursor.era != view_.cursor().era) {
    OnHistoryFailed({errc::kUnavailable, "", "the store was restored"});
    return;
  }
  const std::vector<departed_target> added =
      departed_.MergeHistory(answer.value().items, view_, now);
  schedule_.OnHistoryRead(after == 0);
  departed_.OnView(now - schedule_.HistoryKnownFor());
  LogLearned("the store, " + std::to_string(answer.value().items.size()) +
                 " changes after revision " + std::to_string(after),
             added.size(), schedule_.HistoryKnownFor());
  PassOn(added);
}

void departed_sync::OnHistoryFailed(const error& error) {
  const time_point now = BootTimeNow();
  if (error.code == errc::kStale || error.code == errc::kTooLarge) {
    schedule_.OnHistoryGone();
  } else {
    schedule_.OnHistoryFailed(now);
  }
  departed_.OnView(now - schedule_.HistoryKnownFor());
  LogFailed("the store", error);
}

void departed_sync::LogLearned(std::string_view giver,
                               std::size_t count,
                               duration known_for) {
  const std::array<log_field, 4> fields = {
      log_field{"outcome", "departed_targets_learned"},
      log_field{"peer", giver},
      log_field{"count", static_cast<std::int64_t>(count)},
      log_field{"known_for_ms", ToMillis(known_for)}};
  log_.LogStateChange("store", fields);
}

void departed_sync::LogFailed(std::string_view giver, const error& error) {
  const std::string reason = FormatError(error);
  const std::array<log_field, 3> fields = {
      log_field{"outcome", "departed_pull_failed"}, log_field{"peer", giver},
      log_field{"detail", reason}};
  log_.LogStateChange("store", fields);
}

const std::string& departed_sync::Answer(time_point now) {
  if (cached_answer_.empty() || now - answer_made_ >= kAnswerReuseTime) {
    cached_answer_ = Deflate(EncodeDeparted(departed_.Recent(now)));
    answer_made_ = now;
  }
  return cached_answer_;
}

}  // namespace rosemaryreach
