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
// After a refusal or a loss; doubles with each further one. Builds that don't
// know this call never answer.
constexpr duration kRetryDelay = std::chrono::milliseconds(200);
constexpr std::size_t kMaxRetryDoublings = 5;
// The oldest peer knows the departures since its start. A second answer is a
// guard against clocks that make a young peer look oldest.
constexpr std::size_t kMaxAnswers = 2;
// Instances that start together ask within less than this time, so that one
// encoding serves them; it makes ages too short by as much.
constexpr duration kAnswerReuseTime = std::chrono::milliseconds(200);

}  // namespace

departed_sync::departed_sync(event_loop& loop,
                             const peer_group& peers,
                             std::uint16_t control_port,
                             item_decoder decode,
                             duration retention,
                             departed_hook on_departed,
                             entry_log& log)
    : loop_(loop),
      peers_(peers),
      control_port_(control_port),
      departed_(std::move(decode), retention),
      on_departed_(std::move(on_departed)),
      log_(log) {}

void departed_sync::Apply(const view_change& change, time_point now) {
  departed_.Apply(change, now);
}

void departed_sync::Tick(time_point now) {
  departed_.Tick(now);
  if (!std::exchange(viewed_, true)) {
    departed_.OnView(now);
  }
  if (PullInProgress() || departed_.Complete(now) || answers_ >= kMaxAnswers ||
      now < retry_at_) {
    return;
  }
  std::uint32_t source = peers_.HistorySource(asked_);
  if (source == 0 && std::exchange(unanswered_, 0) > 0) {
    asked_.clear();
    source = peers_.HistorySource(asked_);
  }
  if (source == 0) {
    return;
  }
  asked_.push_back(source);
  client_ = std::make_unique<store_client>(loop_,
                                           ToEndpoint({source, control_port_}));
  client_->PullDeparted(kPullDeadline,
                        [this, source](const result<departed_answer>& answer) {
                          OnAnswer(answer, source);
                        });
}

void departed_sync::OnAnswer(const result<departed_answer>& answer,
                             std::uint32_t source) {
  const time_point now = BootTimeNow();
  const std::string address = FormatIp(ToEndpoint({source, 0}).address);
  if (!answer) {
    ++unanswered_;
    retry_at_ =
        now + kRetryDelay * (1 << std::min(failures_++, kMaxRetryDoublings));
    const std::string reason = FormatError(answer.error());
    const std::array<log_field, 3> fields = {
        log_field{"outcome", "departed_pull_failed"},
        log_field{"peer", address}, log_field{"detail", reason}};
    log_.LogStateChange("store", fields);
    return;
  }
  ++answers_;
  const std::vector<departed_target> added =
      departed_.Merge(answer.value(), now);
  const std::array<log_field, 4> fields = {
      log_field{"outcome", "departed_targets_learned"},
      log_field{"peer", address},
      log_field{"count", static_cast<std::int64_t>(added.size())},
      log_field{"known_for_ms", ToMillis(answer.value().known_for)}};
  log_.LogStateChange("store", fields);
  if (!added.empty()) {
    on_departed_(added);
  }
}

const std::string& departed_sync::Answer(time_point now) {
  if (cached_answer_.empty() || now - answer_made_ >= kAnswerReuseTime) {
    cached_answer_ = Deflate(EncodeDeparted(departed_.Recent(now)));
    answer_made_ = now;
  }
  return cached_answer_;
}

bool departed_sync::PullInProgress() const {
  return client_ != nullptr && client_->busy();
}

}  // namespace rosemaryreach
