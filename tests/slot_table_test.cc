#include "rosemaryreach/slot_table.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const target_id kFirst{1};
const target_id kSecond{2};
const time_point kNow(seconds(100));

// A table of two held, warm targets of two slots.
struct warm_table {
  warm_table() {
    table.Configure(kNow, {{kFirst, {}, {2, 10, {}}, true},
                           {kSecond, {}, {2, 10, {}}, true}});
    for (const target_id target : {kFirst, kSecond}) {
      table.SetHeld(target, true);
      table.ResumeRamp(kNow, target, 100);
    }
  }

  void Start(std::uint64_t attempt,
             target_id target,
             request_class kind = request_class::kInteractive) {
    const duration longest =
        kind == request_class::kWatch ? duration(hours(24)) : seconds(5);
    table.Start(kNow, {{attempt}, target, kind, kNow, kNow + longest});
  }

  slot_table table{milliseconds(250)};
};

TEST_CASE("the target with the lowest utilization is picked") {
  warm_table warm;
  warm.Start(1, kFirst);
  CHECK(warm.table.Pick(kNow, request_class::kInteractive) == kSecond);
  CHECK(warm.table.Pick(kNow, request_class::kInteractive, kSecond) == kFirst);
  warm.Start(2, kSecond);
  warm.Start(3, kFirst);
  warm.Start(4, kSecond);
  CHECK_FALSE(warm.table.Pick(kNow, request_class::kInteractive));
}

TEST_CASE("a cancelled attempt keeps its slot until the cancel is read") {
  warm_table warm;
  warm.Start(1, kFirst);
  warm.table.Cancel(kNow, {1});
  warm.table.Expire(kNow + seconds(5));
  CHECK(warm.table.Running(kFirst) == 1);
  warm.table.End(kNow, {1}, attempt_outcome::kCancelConfirmed);
  CHECK(warm.table.Running(kFirst) == 1);
  warm.table.Expire(kNow + milliseconds(250));
  CHECK(warm.table.Running(kFirst) == 0);
}

TEST_CASE("watches take no slot and delay no handover") {
  warm_table warm;
  warm.Start(1, kFirst, request_class::kWatch);
  warm.Start(2, kFirst);
  CHECK(warm.table.Running(kFirst) == 1);
  CHECK(warm.table.LatestEnd(kNow, kFirst) <= kNow + seconds(6));
  // A lost watch is no longer tracked.
  warm.table.End(kNow, {1}, attempt_outcome::kConnectionLost);
  CHECK(warm.table.Pick(kNow, request_class::kWatch) == kSecond);
  CHECK_FALSE(warm.table.End(kNow, {1}, attempt_outcome::kDone));
}

TEST_CASE("a target that fails twice is backed off") {
  warm_table warm;
  warm.table.SetHeld(kSecond, false);
  warm.Start(1, kFirst);
  warm.table.End(kNow, {1}, attempt_outcome::kTargetNotReached);
  warm.Start(2, kFirst);
  warm.table.End(kNow, {2}, attempt_outcome::kTargetNotReached);
  CHECK_FALSE(warm.table.Pick(kNow, request_class::kInteractive));
  const time_point later = kNow + milliseconds(300);
  CHECK(warm.table.Pick(later, request_class::kInteractive) == kFirst);
}

TEST_CASE("a target back in service ramps up again") {
  warm_table warm;
  const target_capacity slow{2, 10, seconds(10)};
  warm.table.Configure(kNow, {{kFirst, {}, slow, false}});
  warm.table.Configure(kNow, {{kFirst, {}, slow, true}});
  CHECK(warm.table.WarmPercent(kNow, kFirst) == 0);
}

}  // namespace
}  // namespace rosemaryreach
