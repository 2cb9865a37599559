#include "rosemaryreach/patch_log.h"

#include <algorithm>
#include <array>
#include <utility>

#include "config/config_document.h"
#include "config/json_text.h"
#include "config/snapshot.h"
#include "rosemaryreach/config_json.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxReasonBytes = 500;

constexpr std::array<const char*, 10> kVerdictNames = {
    "accepted",  "confirmed", "refused",   "partial", "replay",
    "rewritten", "hole",      "oversized", "corrupt", "stale"};

// Returns whether the verdict is final or an error, and so kept for operators.
bool IsNotable(entry_verdict verdict) {
  return verdict != entry_verdict::kPartial &&
         verdict != entry_verdict::kReplay && verdict != entry_verdict::kGap;
}

// Returns how the digest changes from `before` to `after`, both sorted.
std::uint64_t DigestChange(const configuration& before,
                           const configuration& after) {
  std::uint64_t change = 0;
  std::size_t i = 0;
  for (const service_config& service : after.services) {
    while (i < before.services.size() &&
           before.services[i].name < service.name) {
      change -= ServiceDigest(before.services[i++]);
    }
    const bool known =
        i < before.services.size() && before.services[i].name == service.name;
    if (known && before.services[i] == service) {
      ++i;
      continue;
    }
    change -= known ? ServiceDigest(before.services[i++]) : 0;
    change += ServiceDigest(service);
  }
  for (; i < before.services.size(); ++i) {
    change -= ServiceDigest(before.services[i]);
  }
  return change + GlobalSectionsDigest(after) - GlobalSectionsDigest(before);
}

}  // namespace

const char* VerdictName(entry_verdict verdict) {
  return kVerdictNames.at(static_cast<std::size_t>(verdict));
}

patch_log::patch_log(accepted_handler on_accepted, patch_log_limits limits)
    : on_accepted_(std::move(on_accepted)), limits_(limits) {}

entry_outcome patch_log::ApplyEntry(const log_entry& entry) {
  entry_outcome outcome = Evaluate(entry);
  if (outcome.reason && outcome.reason->detail.size() > kMaxReasonBytes) {
    outcome.reason->detail.resize(kMaxReasonBytes);
  }
  RecordVerdict(outcome);
  return outcome;
}

log_head patch_log::Head() const {
  const std::uint64_t number = current_ == nullptr ? 0 : current_->number;
  return {number, digest_, sequence_};
}

log_position patch_log::Position() const {
  log_position position{sequence_, 0, 0};
  if (!partial_.entries.empty()) {
    position.snapshot_sequence = partial_.entries.front().sequence;
    position.parts = static_cast<std::uint32_t>(partial_.entries.size());
  }
  return position;
}

entry_outcome patch_log::Evaluate(const log_entry& entry) {
  if (entry.text.size() >= kValueLimitBytes) {
    return MakeOutcome(entry.sequence, entry_verdict::kOversized,
                       {errc::kTooLarge, "",
                        "got " + std::to_string(entry.text.size()) +
                            " octets, expected fewer than " +
                            std::to_string(kValueLimitBytes)});
  }
  if (entry.sequence <= sequence_) {
    return EvaluateKnown(entry);
  }
  if (entry.parts == 0 && entry.sequence != sequence_ + 1) {
    return MakeOutcome(entry.sequence, entry_verdict::kGap);
  }
  const result<json> body = ParseJson(entry.text);
  if (!body) {
    return MakeOutcome(entry.sequence, entry_verdict::kCorrupt, body.error());
  }
  return entry.parts == 0 ? EvaluatePatch(entry, body.value())
                          : EvaluatePart(entry, body.value());
}

entry_outcome patch_log::EvaluateKnown(const log_entry& entry) const {
  const auto found = std::find_if(
      digests_.begin(), digests_.end(), [&entry](const digest_record& record) {
        return record.sequence == entry.sequence && record.part == entry.part;
      });
  const bool same =
      found == digests_.end() || found->digest == HashBytes(entry.text);
  if (same || IsPeerStateEntry(entry)) {
    return MakeOutcome(entry.sequence, entry_verdict::kReplay);
  }
  return MakeOutcome(
      entry.sequence, entry_verdict::kRewritten,
      {errc::kStale, "", "differs from the entry processed before"});
}

entry_outcome patch_log::EvaluatePatch(const log_entry& entry,
                                       const json& body) {
  result<patch> parsed = ReadPatch(body);
  if (!parsed && parsed.error().code == errc::kInvalidJson) {
    return MakeOutcome(entry.sequence, entry_verdict::kCorrupt, parsed.error());
  }
  AdvanceBy(entry);
  if (!parsed) {
    return MakeOutcome(entry.sequence, entry_verdict::kRefused, parsed.error());
  }
  const configuration empty;
  result<configuration> next =
      ApplyPatch(current_ == nullptr ? empty : *current_, parsed.value());
  if (next) {
    const std::uint64_t digest =
        digest_ + DigestChange(*current_, next.value());
    Accept(std::move(next.value()), digest, entry.sequence);
  }
  entry_outcome outcome =
      next ? MakeOutcome(entry.sequence, entry_verdict::kAccepted)
           : MakeOutcome(entry.sequence, entry_verdict::kRefused, next.error());
  outcome.author = parsed.value().author;
  return outcome;
}

entry_outcome patch_log::EvaluatePart(const log_entry& entry,
                                      const json& body) {
  const result<json> header = ReadPartHeader(entry, body);
  if (!header) {
    return MakeOutcome(entry.sequence, entry_verdict::kCorrupt, header.error());
  }
  if (entry.part == 1) {
    partial_ = {};
    partial_.header = header.value();
    partial_.document = {{"services", json::object()}};
  } else if (!ContinuesPartial(entry, header.value())) {
    partial_ = {};
    return MakeOutcome(entry.sequence, entry_verdict::kGap);
  }
  partial_.bytes += entry.text.size();
  if (partial_.bytes > limits_.snapshot_bytes) {
    partial_ = {};
    return MakeOutcome(entry.sequence, entry_verdict::kOversized,
                       {errc::kTooLarge, "", "the parts exceed the limit"});
  }
  MergePart(body, partial_.document);
  partial_.entries.push_back(entry);
  if (entry.part < entry.parts) {
    return MakeOutcome(entry.sequence, entry_verdict::kPartial);
  }
  return EvaluateSnapshot(std::exchange(partial_, {}));
}

bool patch_log::ContinuesPartial(const log_entry& entry,
                                 const json& header) const {
  return !partial_.entries.empty() && partial_.header == header &&
         partial_.entries.front().sequence == entry.sequence &&
         partial_.entries.size() + 1 == entry.part;
}

entry_outcome patch_log::EvaluateSnapshot(const partial_snapshot& received) {
  const std::uint64_t sequence = received.entries.front().sequence;
  configuration_check check = ReadDocument(received.document);
  if (!check.ok()) {
    return MakeOutcome(sequence, entry_verdict::kCorrupt, check.errors.front());
  }
  const std::uint64_t digest = ConfigurationDigest(check.value);
  if (received.header.at("digest") != FormatHex(digest)) {
    return MakeOutcome(sequence, entry_verdict::kCorrupt,
                       {errc::kInvalidJson, "/digest",
                        "got " + DescribeValue(received.header.at("digest")) +
                            ", expected " + FormatHex(digest)});
  }
  check.value.number = received.header.at("number").get<std::uint64_t>();
  const bool published = received.header.at("kind") == "snapshot";
  return published && sequence == sequence_ + 1
             ? ApplyNextSnapshot(received, {std::move(check.value), digest})
             : ApplyCatchUpSnapshot(sequence, {std::move(check.value), digest});
}

bool patch_log::IsCurrent(const verified_snapshot& received) const {
  return received.value.number == Head().number && received.digest == digest_;
}

// Applies a published snapshot that follows the last processed entry.
entry_outcome patch_log::ApplyNextSnapshot(const partial_snapshot& received,
                                           verified_snapshot next) {
  for (const log_entry& entry : received.entries) {
    AdvanceBy(entry);
  }
  const std::uint64_t sequence = sequence_;
  const std::vector<error> errors = CheckRules(next.value);
  if (!errors.empty()) {
    return MakeOutcome(sequence, entry_verdict::kRefused, errors.front());
  }
  if (current_ == nullptr) {
    Accept(std::move(next.value), next.digest, sequence);
    return MakeOutcome(sequence, entry_verdict::kAccepted);
  }
  if (IsCurrent(next)) {
    return MakeOutcome(sequence, entry_verdict::kConfirmed);
  }
  return MakeOutcome(
      sequence, entry_verdict::kRefused,
      {errc::kWrongBase, "/number",
       "expected the content of number " + std::to_string(current_->number)});
}

// Applies a snapshot that replaces entries which were not received.
entry_outcome patch_log::ApplyCatchUpSnapshot(std::uint64_t sequence,
                                              verified_snapshot next) {
  const std::uint64_t number = Head().number;
  const bool same = IsCurrent(next);
  if (next.value.number <= number && !same) {
    return MakeOutcome(sequence, entry_verdict::kStale,
                       {errc::kStale, "/number",
                        "got " + std::to_string(next.value.number) + " while " +
                            std::to_string(number) + " is in force"});
  }
  const std::vector<error> errors = CheckRules(next.value);
  if (!errors.empty()) {
    return MakeOutcome(sequence, entry_verdict::kCorrupt, errors.front());
  }
  JumpTo(sequence);
  if (!same) {
    Accept(std::move(next.value), next.digest, sequence);
  }
  return MakeOutcome(
      sequence, same ? entry_verdict::kConfirmed : entry_verdict::kAccepted);
}

void patch_log::AdvanceBy(const log_entry& entry) {
  sequence_ = entry.sequence;
  digests_.push_back({entry.sequence, entry.part, HashBytes(entry.text)});
  if (digests_.size() > limits_.retained_digests) {
    digests_.pop_front();
  }
  retained_bytes_ += entry.text.size();
  retained_.push_back(entry);
  TrimRetained();
  const bool superseded = !partial_.entries.empty() &&
                          partial_.entries.front().sequence <= sequence_;
  if (superseded) {
    partial_ = {};
  }
}

void patch_log::JumpTo(std::uint64_t sequence) {
  sequence_ = sequence;
  retained_after_ = sequence;
  retained_.clear();
  retained_bytes_ = 0;
}

void patch_log::TrimRetained() {
  while (retained_bytes_ > limits_.retained_bytes) {
    retained_after_ = retained_.front().sequence;
    while (!retained_.empty() &&
           retained_.front().sequence == retained_after_) {
      retained_bytes_ -= retained_.front().text.size();
      retained_.pop_front();
    }
  }
}

void patch_log::Accept(configuration next,
                       std::uint64_t digest,
                       std::uint64_t sequence) {
  std::shared_ptr<const configuration> previous = std::move(current_);
  current_ = std::make_shared<const configuration>(std::move(next));
  digest_ = digest;
  if (on_accepted_) {
    on_accepted_({previous, current_, sequence});
  }
}

void patch_log::RecordVerdict(const entry_outcome& outcome) {
  const bool known = std::any_of(verdicts_.begin(), verdicts_.end(),
                                 [&outcome](const entry_outcome& old) {
                                   return old.sequence == outcome.sequence &&
                                          old.verdict == outcome.verdict;
                                 });
  if (known || !IsNotable(outcome.verdict)) {
    return;
  }
  verdicts_.push_back(outcome);
  if (verdicts_.size() > limits_.retained_verdicts) {
    verdicts_.pop_front();
  }
}

std::vector<log_entry> patch_log::EntriesAfter(const log_position& after,
                                               std::size_t max_bytes) {
  std::vector<log_entry> entries;
  if (after.sequence < retained_after_) {
    AppendPeerState(after, max_bytes, entries);
    return entries;
  }
  std::size_t bytes = 0;
  for (const log_entry& entry : retained_) {
    const bool already_received =
        entry.sequence == after.snapshot_sequence && entry.part <= after.parts;
    if (entry.sequence <= after.sequence || already_received) {
      continue;
    }
    bytes += entry.text.size();
    if (!entries.empty() && bytes > max_bytes) {
      break;
    }
    entries.push_back(entry);
  }
  return entries;
}

void patch_log::AppendPeerState(const log_position& after,
                                std::size_t max_bytes,
                                std::vector<log_entry>& entries) {
  if (current_ == nullptr) {
    return;
  }
  if (peer_state_.empty() || peer_state_sequence_ < retained_after_) {
    peer_state_ = MakeSnapshot(*current_, snapshot_kind::kPeerState, sequence_,
                               limits_.part_bytes);
    peer_state_sequence_ = sequence_;
  }
  const bool resumed = after.snapshot_sequence == peer_state_sequence_ &&
                       after.parts < peer_state_.size();
  std::size_t bytes = 0;
  for (std::size_t i = resumed ? after.parts : 0; i < peer_state_.size(); ++i) {
    bytes += peer_state_[i].text.size();
    if (!entries.empty() && bytes > max_bytes) {
      return;
    }
    entries.push_back(peer_state_[i]);
  }
}

entry_outcome patch_log::MakeOutcome(std::uint64_t sequence,
                                     entry_verdict verdict) const {
  return {sequence, verdict, Head().number, {}, std::nullopt};
}

entry_outcome patch_log::MakeOutcome(std::uint64_t sequence,
                                     entry_verdict verdict,
                                     error reason) const {
  return {sequence, verdict, Head().number, {}, std::move(reason)};
}

}  // namespace rosemaryreach
