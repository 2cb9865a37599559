#include "rosemaryreach/idempotency_table.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

using std::chrono::seconds;

const instance_id kHolder = MakeInstanceId("a");
const time_point kNow(seconds(100));

key_reserve Reservation(std::uint64_t request) {
  return {7, {request}, seconds(5), seconds(600)};
}

TEST_CASE("only the request that holds a key is granted it again") {
  idempotency_table table(10);
  CHECK(table.Reserve(kNow, kHolder, Reservation(1)) == key_verdict::kGranted);
  CHECK(table.Reserve(kNow, kHolder, Reservation(1)) == key_verdict::kGranted);
  CHECK(table.Reserve(kNow, kHolder, Reservation(2)) ==
        key_verdict::kInProgress);
}

TEST_CASE("a reservation that was never finished becomes unknown") {
  idempotency_table table(10);
  table.Reserve(kNow, kHolder, Reservation(1));
  CHECK(table.Reserve(kNow + seconds(5), kHolder, Reservation(2)) ==
        key_verdict::kUnknown);
}

TEST_CASE("a key is free again only after not-run") {
  idempotency_table table(10);
  table.Reserve(kNow, kHolder, Reservation(1));
  CHECK_FALSE(table.Finish(MakeInstanceId("b"), {7, {1}, run_state::kNotRun}));
  CHECK(table.Finish(kHolder, {7, {1}, run_state::kNotRun}));
  // A late duplicate of the first reservation does not reserve the key again.
  CHECK(table.Reserve(kNow, kHolder, Reservation(1)) ==
        key_verdict::kUnavailable);
  CHECK(table.Reserve(kNow, kHolder, Reservation(2)) == key_verdict::kGranted);
  CHECK(table.Finish(kHolder, {7, {2}, run_state::kRun}));
  CHECK(table.Reserve(kNow, kHolder, Reservation(3)) == key_verdict::kDone);
}

TEST_CASE("an older copy never replaces a newer state") {
  idempotency_table owner(10);
  idempotency_table successor(10);
  owner.Reserve(kNow, kHolder, Reservation(1));
  const key_record reserved = *owner.Find(kNow, 7);
  owner.Finish(kHolder, {7, {1}, run_state::kNotRun});
  const key_record freed = *owner.Find(kNow, 7);
  owner.Reserve(kNow, kHolder, Reservation(2));
  CHECK(successor.MergeRecord(kNow, *owner.Find(kNow, 7)));
  CHECK_FALSE(successor.MergeRecord(kNow, freed));
  CHECK_FALSE(successor.MergeRecord(kNow, reserved));
  CHECK(successor.Reserve(kNow, kHolder, Reservation(3)) ==
        key_verdict::kInProgress);
}

TEST_CASE("a full table grants nothing until a window has passed") {
  idempotency_table table(1);
  table.Reserve(kNow, kHolder, Reservation(1));
  key_reserve other = Reservation(2);
  other.key = 8;
  CHECK(table.Reserve(kNow, kHolder, other) == key_verdict::kUnavailable);
  table.Expire(kNow + seconds(600));
  CHECK(table.Reserve(kNow + seconds(600), kHolder, other) ==
        key_verdict::kGranted);
}

}  // namespace
}  // namespace rosemaryreach
