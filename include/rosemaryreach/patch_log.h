// The published sequence of snapshots and patches, and the verdict on each
// entry: a pure function of the sequence, so that every instance agrees.
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

// One value of the published sequence. Sequences start at 1. The parts of one
// snapshot share a sequence and follow each other by part.
struct log_entry {
  std::uint64_t sequence = 0;
  // 1 to `parts` for a part of a snapshot; both 0 for a patch.
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  std::string text;

  bool operator==(const log_entry&) const = default;
};

// How far a reader has come: all up to `sequence`, and `parts` parts of a
// snapshot as of `snapshot_sequence`, which is zero if none is on its way.
struct log_position {
  std::uint64_t sequence = 0;
  std::uint64_t snapshot_sequence = 0;
  std::uint32_t parts = 0;

  bool operator==(const log_position&) const = default;
};

// Only kAccepted changes the configuration. kAccepted, kConfirmed and kRefused
// are final and the same on all instances; the others leave the sequence where
// it is, and the entry may be offered again.
enum class entry_verdict : std::uint8_t {
  kAccepted,   // the patch or snapshot is in force
  kConfirmed,  // a snapshot equal to what is in force
  kRefused,    // well-formed, but base, schema, rules or digest don't hold
  kPartial,    // part of a snapshot, more to come
  kReplay,     // judged before, same content
  kRewritten,  // judged before, with other content
  kGap,        // entries before it are missing
  kOversized,  // not below kValueLimitBytes
  kCorrupt,    // no entry at all: bad JSON, checksum or digest
  kStale,      // a snapshot behind the number in force, or that contradicts it
};

// Returns the stable lower-case name of `verdict`.
const char* VerdictName(entry_verdict verdict);

// The verdict on one entry.
struct entry_outcome {
  std::uint64_t sequence = 0;
  entry_verdict verdict = entry_verdict::kCorrupt;
  // The number in force afterwards.
  std::uint64_t number = 0;
  std::string author;
  // Why, unless accepted.
  std::optional<error> reason;
};

// The number in force with the digest of its content.
struct log_head {
  std::uint64_t number = 0;
  std::uint64_t digest = 0;
  std::uint64_t sequence = 0;

  bool operator==(const log_head&) const = default;
};

// One configuration coming into force. `previous` is null for the first.
struct accepted_change {
  std::shared_ptr<const configuration> previous;
  std::shared_ptr<const configuration> current;
  std::uint64_t sequence = 0;
};

// Called for each configuration in the order in which they come into force.
using accepted_handler = std::function<void(const accepted_change&)>;

struct patch_log_limits {
  // Judged entries kept to serve peers, in octets of text.
  std::size_t retained_bytes = 2'000'000;
  // Verdicts kept for operators.
  std::size_t retained_verdicts = 256;
  // Digests kept to tell a replay from a rewritten entry.
  std::size_t retained_digests = 8'192;
  // Size aimed at for a part of a snapshot, in octets.
  std::size_t part_bytes = 500'000;
  // Largest snapshot taken in, in octets.
  std::size_t snapshot_bytes = 64'000'000;
};

// Judges entries and holds the configuration in force. Not thread-safe.
class patch_log {
 public:
  explicit patch_log(accepted_handler on_accepted,
                     patch_log_limits limits = {});

  // Judges `entry`. Entries may come in any order, repeatedly, from the
  // platform or from peers.
  entry_outcome ApplyEntry(const log_entry& entry);

  // Returns the number, digest and sequence in force; zeros before the first
  // configuration.
  log_head Head() const;

  // Returns where a reader of the platform or of a peer goes on.
  log_position Position() const;

  // Returns entries for a peer at `after`, at least one if there is any, and
  // no more than `max_bytes` of text beyond the first. Starts with a snapshot
  // if the entries that follow `after` are no longer held.
  std::vector<log_entry> EntriesAfter(const log_position& after,
                                      std::size_t max_bytes);

  // Returns the configuration in force, or null before the first.
  std::shared_ptr<const configuration> current() const { return current_; }

  // Returns the latest final verdicts and refusals, oldest first.
  const std::deque<entry_outcome>& verdicts() const { return verdicts_; }

 private:
  struct digest_record {
    std::uint64_t sequence = 0;
    std::uint32_t part = 0;
    std::uint64_t digest = 0;
  };

  // A snapshot of which not all parts have come yet.
  struct partial_snapshot {
    // Members of the first part that all others must repeat.
    nlohmann::json header;
    nlohmann::json document;
    std::vector<log_entry> entries;
    std::size_t bytes = 0;
  };

  // A whole snapshot whose digest was checked.
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
  // Judged entries after retained_from_, in order, without holes.
  std::deque<log_entry> retained_;
  std::uint64_t retained_after_ = 0;
  std::size_t retained_bytes_ = 0;
  // The state for peers that are too far behind, as of state_sequence_.
  std::vector<log_entry> peer_state_;
  std::uint64_t peer_state_sequence_ = 0;
  partial_snapshot partial_;
  std::deque<digest_record> digests_;
  std::deque<entry_outcome> verdicts_;
};

// A published snapshot is judged as an entry of the sequence; a state is what
// one instance gives another, and stands for all entries up to its sequence.
enum class snapshot_kind : std::uint8_t { kPublished, kPeerState };

// Returns `config` as entries that together are one snapshot at `sequence`,
// whole services to a part, each part about `part_bytes`.
std::vector<log_entry> MakeSnapshot(const configuration& config,
                                    snapshot_kind kind,
                                    std::uint64_t sequence,
                                    std::size_t part_bytes);

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_PATCH_LOG_H_
