#include "rosemaryreach/ownership.h"

#include <catch2/catch.hpp>

namespace rosemaryreach {
namespace {

fleet_view MakeView(int count) {
  fleet_view view;
  for (int i = 0; i < count; ++i) {
    instance_info info;
    info.name = "i" + std::to_string(i);
    info.id = MakeInstanceId(info.name);
    info.data_centre = i % 2 == 0 ? "a" : "b";
    info.region = "r";
    info.state = instance_state::kActive;
    view.instances.push_back(info);
  }
  return view;
}

TEST_CASE("the successor becomes owner when the owner leaves") {
  const fleet_view view = MakeView(9);
  const owner_ranking before(view, "r");
  for (std::uint32_t bucket = 0; bucket < 1'000; ++bucket) {
    const std::uint64_t key = BucketKey("s", bucket);
    const owner_pair pair = before.Owners(key);
    fleet_view without = view;
    std::erase_if(without.instances, [&](const instance_info& info) {
      return info.id == pair.owner;
    });
    CHECK(owner_ranking(without, "r").Owners(key).owner == pair.successor);
  }
}

TEST_CASE("only active instances of the scope are candidates") {
  fleet_view view = MakeView(6);
  view.instances[0].state = instance_state::kJoining;
  CHECK(owner_ranking(view, "r").candidates().size() == 5);
  CHECK(owner_ranking(view, "r", "a").candidates().size() == 2);
  CHECK(owner_ranking(view, "x").candidates().empty());
  CHECK_FALSE(owner_ranking(view, "x").Owners(7).owner);
}

}  // namespace
}  // namespace rosemaryreach
