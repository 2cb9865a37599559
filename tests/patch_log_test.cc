#include "rosemaryreach/patch_log.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

#include "config_sample.h"
#include "rosemaryreach/patch.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kPartBytes = 500;

log_entry PatchEntry(std::uint64_t sequence,
                     std::uint64_t base,
                     std::uint32_t weight) {
  const json operations = {{{"op", "replace"},
                            {"path", "/services/ledger/targets/l1/weight"},
                            {"value", weight}}};
  return {sequence, 0, 0, FormatPatch({base, "a test", operations})};
}

std::vector<log_entry> FirstSnapshot() {
  return MakeSnapshot(SampleConfiguration(), snapshot_kind::kPublished, 1,
                      kPartBytes);
}

// A log at number 1 that counts the accepted configurations.
struct log_fixture {
  explicit log_fixture(patch_log_limits limits = {})
      : log([this](const accepted_change& change) { OnAccepted(change); },
            limits) {
    for (const log_entry& entry : FirstSnapshot()) {
      log.ApplyEntry(entry);
    }
  }

  void OnAccepted(const accepted_change& change) {
    in_order = in_order && change.previous == last;
    last = change.current;
    ++accepted;
  }

  std::shared_ptr<const configuration> last;
  bool in_order = true;
  int accepted = 0;
  patch_log log;
};

TEST_CASE("A snapshot takes effect with its last part") {
  const std::vector<log_entry> parts = FirstSnapshot();
  REQUIRE(parts.size() == 2);
  patch_log log(nullptr);
  CHECK(log.ApplyEntry(parts[0]).verdict == entry_verdict::kPartial);
  CHECK(log.Head().number == 0);
  CHECK(log.ApplyEntry(parts[1]).verdict == entry_verdict::kAccepted);
  CHECK(*log.current() == SampleConfiguration());
  CHECK(log.Head().digest == ConfigurationDigest(SampleConfiguration()));
}

TEST_CASE("Patches are accepted only against the current number") {
  log_fixture fixture;
  CHECK(fixture.log.ApplyEntry(PatchEntry(2, 1, 5)).verdict ==
        entry_verdict::kAccepted);
  const entry_outcome refused = fixture.log.ApplyEntry(PatchEntry(3, 1, 6));
  CHECK(refused.verdict == entry_verdict::kRefused);
  CHECK(refused.reason->code == errc::kWrongBase);
  CHECK(fixture.log.ApplyEntry(PatchEntry(4, 2, 7)).verdict ==
        entry_verdict::kAccepted);
  CHECK(fixture.log.Head().number == 3);
  CHECK(fixture.log.Head().digest ==
        ConfigurationDigest(*fixture.log.current()));
  CHECK(fixture.accepted == 3);
  CHECK(fixture.in_order);
}

TEST_CASE("Entries other than the next one change nothing") {
  log_fixture fixture;
  fixture.log.ApplyEntry(PatchEntry(2, 1, 5));
  const log_head head = fixture.log.Head();
  log_entry altered = PatchEntry(3, 2, 6);
  altered.text.replace(altered.text.find("a test"), 6, "a tesu");
  const log_entry big{3, 0, 0, std::string(kValueLimitBytes, 'x')};
  const std::vector<std::pair<log_entry, entry_verdict>> cases = {
      {PatchEntry(2, 1, 5), entry_verdict::kReplay},
      {PatchEntry(2, 1, 6), entry_verdict::kRewritten},
      {PatchEntry(4, 2, 6), entry_verdict::kGap},
      {PatchEntry(0, 2, 6), entry_verdict::kReplay},
      {big, entry_verdict::kOversized},
      {{3, 0, 0, "{"}, entry_verdict::kCorrupt},
      {{3, 1, 1, "{}"}, entry_verdict::kCorrupt},
      {altered, entry_verdict::kCorrupt},
  };
  for (const auto& [entry, verdict] : cases) {
    CHECK(VerdictName(fixture.log.ApplyEntry(entry).verdict) ==
          VerdictName(verdict));
    CHECK(fixture.log.Head() == head);
  }
  CHECK(fixture.log.ApplyEntry(PatchEntry(3, 2, 6)).verdict ==
        entry_verdict::kAccepted);
}

TEST_CASE("A published snapshot must equal the current configuration") {
  log_fixture fixture;
  const configuration same = SampleConfiguration();
  configuration other = same;
  other.services.pop_back();
  const auto apply = [&fixture](const configuration& config,
                                std::uint64_t sequence) {
    return fixture.log
        .ApplyEntry(
            MakeSnapshot(config, snapshot_kind::kPublished, sequence, 9'999)
                .front())
        .verdict;
  };
  CHECK(apply(same, 2) == entry_verdict::kConfirmed);
  CHECK(apply(other, 3) == entry_verdict::kRefused);
  other.number = 2;
  CHECK(apply(other, 4) == entry_verdict::kRefused);
  CHECK(*fixture.log.current() == same);
  CHECK(fixture.log.Head().sequence == 4);
}

TEST_CASE("An old peer state never lowers the number") {
  log_fixture fixture;
  fixture.log.ApplyEntry(PatchEntry(2, 1, 5));
  const std::vector<log_entry> old = MakeSnapshot(
      SampleConfiguration(), snapshot_kind::kPeerState, 9, kPartBytes);
  fixture.log.ApplyEntry(old[0]);
  CHECK(fixture.log.ApplyEntry(old[1]).verdict == entry_verdict::kStale);
  CHECK(fixture.log.Head().number == 2);
  CHECK(fixture.log.Head().sequence == 2);
}

// Pulls from `donor` until it returns no more entries.
void PullAll(patch_log& donor, patch_log& reader, std::size_t max_bytes) {
  for (int i = 0; i < 100; ++i) {
    const std::vector<log_entry> entries =
        donor.EntriesAfter(reader.Position(), max_bytes);
    for (const log_entry& entry : entries) {
      reader.ApplyEntry(entry);
    }
    if (entries.empty()) {
      return;
    }
  }
}

TEST_CASE("A new reader catches up from a peer in small replies") {
  for (const std::size_t retained : {100'000U, 600U, 1U}) {
    patch_log_limits limits;
    limits.retained_bytes = retained;
    limits.part_bytes = kPartBytes;
    log_fixture donor(limits);
    for (std::uint32_t i = 1; i <= 20; ++i) {
      donor.log.ApplyEntry(PatchEntry(i + 1, i, i));
    }
    patch_log reader(nullptr);
    PullAll(donor.log, reader, 10);
    CHECK(reader.Head() == donor.log.Head());
    CHECK(*reader.current() == *donor.log.current());
    donor.log.ApplyEntry(PatchEntry(22, 21, 77));
    PullAll(donor.log, reader, 10);
    CHECK(reader.Head() == donor.log.Head());
  }
}

TEST_CASE("A snapshot with mismatched parts is dropped") {
  patch_log log(nullptr);
  configuration other = SampleConfiguration();
  other.services[1].targets[0].slots = 3;
  const std::vector<log_entry> parts = FirstSnapshot();
  const std::vector<log_entry> mixed =
      MakeSnapshot(other, snapshot_kind::kPublished, 1, kPartBytes);
  log.ApplyEntry(parts[0]);
  CHECK(log.ApplyEntry(mixed[1]).verdict == entry_verdict::kGap);
  log_entry forged = parts[1];
  forged.text.replace(forged.text.find("\"slots\":2"), 9, "\"slots\":4");
  log.ApplyEntry(parts[0]);
  CHECK(log.ApplyEntry(forged).verdict == entry_verdict::kCorrupt);
  CHECK(log.Head() == log_head{});
  CHECK(log.Position() == log_position{});
}

// A published sequence of valid and invalid patches after the first snapshot.
std::vector<log_entry> ArbitrarySequence() {
  std::vector<log_entry> entries = FirstSnapshot();
  const std::uint64_t count = *rc::gen::inRange<std::uint64_t>(1, 12);
  std::uint64_t number = 1;
  for (std::uint64_t sequence = 2; sequence < count + 2; ++sequence) {
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        entries.push_back(PatchEntry(sequence, number + 7, 1));
        break;
      case 1:
        entries.push_back(PatchEntry(sequence, number, 10'001));
        break;
      case 2:
        entries.push_back({sequence, 0, 0, "{\"kind\": 3}"});
        break;
      default:
        entries.push_back(PatchEntry(
            sequence, number++, *rc::gen::inRange<std::uint32_t>(1, 9'999)));
    }
  }
  return entries;
}

using verdict_map = std::map<std::uint64_t, entry_verdict>;

// Applies `entries` in random order with repeats, corruption and gaps, then
// once in order; returns the final verdicts.
verdict_map ApplyWithFaults(const std::vector<log_entry>& entries,
                            patch_log& log) {
  verdict_map verdicts;
  std::uint64_t highest = 0;
  const auto apply = [&](const log_entry& entry) {
    const entry_outcome outcome = log.ApplyEntry(entry);
    RC_ASSERT(log.Head().number >= highest);
    highest = log.Head().number;
    const bool final = outcome.verdict == entry_verdict::kAccepted ||
                       outcome.verdict == entry_verdict::kRefused;
    if (final) {
      RC_ASSERT(verdicts.emplace(entry.sequence, outcome.verdict).second);
    }
  };
  const int noise = *rc::gen::inRange(0, 40);
  for (int i = 0; i < noise; ++i) {
    log_entry entry = *rc::gen::elementOf(entries);
    if (*rc::gen::inRange(0, 4) == 0) {
      entry.text.resize(*rc::gen::inRange<std::size_t>(0, entry.text.size()));
    }
    apply(entry);
  }
  std::for_each(entries.begin(), entries.end(), apply);
  return verdicts;
}

TEST_CASE("Logs converge despite reordering, repeats, gaps and corruption") {
  const bool holds = rc::check([] {
    const std::vector<log_entry> entries = ArbitrarySequence();
    patch_log one(nullptr);
    patch_log two(nullptr);
    RC_ASSERT(ApplyWithFaults(entries, one) == ApplyWithFaults(entries, two));
    RC_ASSERT(one.Head() == two.Head());
    RC_ASSERT(*one.current() == *two.current());
    RC_ASSERT(one.Head().sequence == entries.back().sequence);
  });
  CHECK(holds);
}

TEST_CASE("Garbage entries never change the configuration") {
  const bool holds = rc::check([](const std::string& text) {
    log_fixture fixture;
    const log_head head = fixture.log.Head();
    const std::uint32_t part = *rc::gen::inRange<std::uint32_t>(0, 3);
    fixture.log.ApplyEntry({*rc::gen::inRange<std::uint64_t>(0, 4), part,
                            *rc::gen::inRange<std::uint32_t>(0, 3), text});
    RC_ASSERT(fixture.log.Head().number == head.number);
    RC_ASSERT(fixture.log.Head().digest == head.digest);
  });
  CHECK(holds);
}

}  // namespace
}  // namespace rosemaryreach
