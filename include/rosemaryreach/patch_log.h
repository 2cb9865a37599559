// Applies the published sequence of snapshots and patches. The verdict on each
// entry is a pure function of the sequence, so that every instance agrees.
#ifndef ROSEMARYREACH_PATCH_LOG_H_
#define ROSEMARYREACH_PATCH_LOG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rosemaryreach/config.h"
#include "rosemaryreach/result.h"

namespace rosemaryreach {

// One entry of the published sequence. Sequence numbers start at 1. The parts
// of one snapshot share a sequence number and are ordered by part number.
struct log_entry {
  std::uint64_t sequence = 0;
  // 1 to `parts` for a part of a snapshot; both 0 for a patch.
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  std::string text;

  bool operator==(const log_entry&) const = default;
};

// Read position: all entries up to `sequence`, and `parts` parts of the
// snapshot at `snapshot_sequence`, which is zero if no snapshot is incomplete.
struct log_position {
  std::uint64_t sequence = 0;
  std::uint64_t snapshot_sequence = 0;
  std::uint32_t parts = 0;

  bool operator==(const log_position&) const = default;
};

// Only kAccepted changes the configuration. kAccepted, kConfirmed and kRefused
// are final and the same on all instances; the others don't advance the
// sequence, and the entry may be applied again.
enum class entry_verdict : std::uint8_t {
  kAccepted,   // the patch or snapshot is now current
  kConfirmed,  // a snapshot equal to the current configuration
  kRefused,    // well-formed, but base, schema, rules or digest are wrong
  kPartial,    // part of a snapshot that is not complete yet
  kReplay,     // processed before, same content
  kRewritten,  // processed before, with other content
  kGap,        // preceding entries are missing
  kOversized,  // not below kValueLimitBytes
  kCorrupt,    // bad JSON, checksum or digest
  kStale,      // a snapshot older than the current number, or at
               // the same number with other content
};

// Returns the stable lower-case name of `verdict`.
const char* VerdictName(entry_verdict verdict);

// The verdict on one entry.
struct entry_outcome {
  std::uint64_t sequence = 0;
  entry_verdict verdict = entry_verdict::kCorrupt;
  // The current configuration number afterwards.
  std::uint64_t number = 0;
  std::string author;
  // Set for errors; not for kAccepted, kConfirmed, kPartial, kReplay and kGap.
  std::optional<error> reason;
};

// The number and digest of the current configuration, and the sequence number
// of the last entry processed.
struct log_head {
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::uint64_t sequence = 0;

  bool operator==(const log_head&) const = default;
};

// A change of the current configuration. `previous` is null for the first.
struct accepted_change {
  std::shared_ptr<const configuration> previous;
  std::shared_ptr<const configuration> current;
  std::uint64_t sequence = 0;
};

// Called for each accepted configuration, in order.
using accepted_handler = std::function<void(const accepted_change&)>;

struct patch_log_limits {
  // Text of processed entries kept for peers, in octets.
  std::size_t retained_bytes = 2'000'000;
  // Number of outcomes kept for operators.
  std::size_t retained_verdicts = 256;
  // Number of digests kept to distinguish replayed from rewritten entries.
  std::size_t retained_digests = 8'192;
  // Target size of a part of a snapshot, in octets.
  std::size_t part_bytes = 500'000;
  // Largest snapshot accepted, in octets.
  std::size_t snapshot_bytes = 64'000'000;
};

// Applies entries and holds the current configuration. Not thread-safe.
class patch_log {
 public:
  explicit patch_log(accepted_handler on_accepted,
                     patch_log_limits limits = {});

  // Applies `entry` and returns its verdict. Entries from the platform and
  // from peers may arrive in any order and repeatedly.
  entry_outcome ApplyEntry(const log_entry& entry);

  // Returns the current number, digest and sequence; zeros before the first
  // configuration.
  log_head Head() const;

  // Returns the position from which to read on, at the platform or a peer.
  log_position Position() const;

  // Returns entries for a peer at `after`: at least one if any exists, and no
  // more than `max_bytes` of text in all if there are several. Returns a
  // snapshot if the entries that follow `after` are no longer retained.
  std::vector<log_entry> EntriesAfter(const log_position& after,
                                      std::size_t max_bytes);

  // Returns the current configuration, or null before the first.
  std::shared_ptr<const configuration> current() const { return current_; }

  // Returns the latest outcomes, oldest first, without partial, replayed and
  // gap ones.
  const std::deque<entry_outcome>& verdicts() const { return verdicts_; }

 private:
  struct digest_record {
    std::uint64_t sequence = 0;
    std::uint32_t part = 0;
    std::uint64_t digest = 0;
  };

  // A snapshot of which not all parts have been received.
  struct partial_snapshot {
    // Members of the first part that all others must repeat.
    nlohmann::json header;
    nlohmann::json document;
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
  };

  // A complete snapshot whose digest was verified.
  struct verified_snapshot {
    configuration value;
    std::uint64_t digest = 0;
  };

  entry_outcome Evaluate(const log_entry& entry);
  entry_outcome EvaluateKnown(const log_entry& entry) const;
  entry_outcome EvaluatePatch(const log_entry& entry,
                              const nlohmann::json& body);
  entry_outcome EvaluatePart(const log_entry& entry,
                             const nlohmann::json& body);
  entry_outcome EvaluateSnapshot(const partial_snapshot& received);
  bool IsCurrent(const verified_snapshot& received) const;
  entry_outcome ApplyNextSnapshot(const partial_snapshot& received,
                                  verified_snapshot next);
  entry_outcome ApplyCatchUpSnapshot(std::uint64_t sequence,
                                     verified_snapshot next);
  bool ContinuesPartial(const log_entry& entry,
                        const nlohmann::json& header) const;
  void AdvanceBy(const log_entry& entry);
  void JumpTo(std::uint64_t sequence);
  void Accept(configuration next, std::uint64_t digest, std::uint64_t sequence);
  void RecordVerdict(const entry_outcome& outcome);
  void TrimRetained();
  void AppendPeerState(const log_position& after,
                       std::size_t max_bytes,
                       std::vector<log_entry>& entries);
  entry_outcome MakeOutcome(std::uint64_t sequence,
                            entry_verdict verdict) const;
  entry_outcome MakeOutcome(std::uint64_t sequence,
                            entry_verdict verdict,
                            error reason) const;

  accepted_handler on_accepted_;
  patch_log_limits limits_;
  std::shared_ptr<const configuration> current_;
  std::uint64_t digest_ = 0;
  std::uint64_t sequence_ = 0;
  // Processed entries with sequences above retained_after_, ordered, no gaps.
  std::deque<log_entry> retained_;
  std::uint64_t retained_after_ = 0;
  std::size_t retained_bytes_ = 0;
  // Snapshot at peer_state_sequence_, for peers too far behind for retained_.
  std::vector<log_entry> peer_state_;
  std::uint64_t peer_state_sequence_ = 0;
  partial_snapshot partial_;
  std::deque<digest_record> digests_;
  std::deque<entry_outcome> verdicts_;
};

// A published snapshot is an entry of the sequence. A peer state is sent by one
// instance to another and replaces all entries up to its sequence number.
enum class snapshot_kind : std::uint8_t { kPublished, kPeerState };

// Returns the parts of a snapshot of `config` at `sequence`, each of about
// `part_bytes` octets. No service is split across parts.
std::vector<log_entry> MakeSnapshot(const configuration& config,
                                    snapshot_kind kind,
                                    std::uint64_t sequence,
                                    std::size_t part_bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PATCH_LOG_H_
