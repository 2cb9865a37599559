#include "rosemaryreach/reach.h"

#include <catch2/catch.hpp>

#include "entry_fixture.h"

namespace rosemaryreach {
namespace {

bool IsCutOff(const entry_scene& scene) {
  return CutOff(scene.directory, scene.ledger, "dc-a");
}

TEST_CASE("An instance with targets of its own is not cut off") {
  entry_scene scene;
  scene.Add(Target("l1", 1));
  scene.CutOffTarget(scene.Add(Target("l2", 2, "dc-b")), At(0));
  CHECK_FALSE(IsCutOff(scene));
}

TEST_CASE("An instance that reaches no usable target is cut off") {
  entry_scene scene;
  scene.Add(Target("l1", 1));
  scene.Evacuate("dc-a", true, At(0));
  const target_index remote = scene.Add(Target("l2", 2, "dc-b"));
  CHECK_FALSE(IsCutOff(scene));
  scene.CutOffTarget(remote, At(0));
  CHECK(IsCutOff(scene));
  scene.ledger.TakeProbe(remote, true, At(100));
  CHECK_FALSE(IsCutOff(scene));
}

TEST_CASE("A service that failed everywhere is no reason to leave") {
  entry_scene scene;
  scene.CutOffTarget(scene.Add(Target("l1", 1)), At(0));
  scene.CutOffTarget(scene.Add(Target("l2", 2, "dc-b")), At(0));
  scene.Add(Target("f1", 3, "dc-b", "files"));
  CHECK_FALSE(IsCutOff(scene));
}

}  // namespace
}  // namespace rosemaryreach
