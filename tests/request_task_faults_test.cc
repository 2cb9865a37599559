// request_task with targets that refuse, crash, stop responding or drain.
#include <catch2/catch.hpp>
#include <list>

#include "adapters/request_task.h"
#include "request_plane_fixture.h"

namespace rosemaryreach {
namespace {

using standins::h2_call;
using standins::h2_client;

using call_ptr = std::shared_ptr<h2_call>;

TEST_CASE("a response aborted by a reset is relayed as a reset") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = plane.Call(*caller, {.path = "/cut/100000"});
  CHECK_FALSE(call->ended);
  CHECK(call->close->code == NGHTTP2_INTERNAL_ERROR);
}

TEST_CASE("a response aborted by a target's crash is relayed as a reset") {
  request_plane_fixture plane({.targets = 2});
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = plane.Call(*caller, {.path = "/die/100000"});
  CHECK_FALSE(call->ended);
  CHECK(call->close->code == NGHTTP2_INTERNAL_ERROR);
  CHECK(plane.Call(*caller, {.path = "/bytes/1"})->Succeeded());
}

TEST_CASE("a refusal by the only target is reported as not run") {
  request_plane_fixture plane;
  plane.targets[0]->SetLoadShedding(true);
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.method = "POST",
                           .path = "/bytes/1",
                           .headers = {{"rosemaryreach-timeout-ms", "500"}}});
  CHECK(call->Header(":status") == "503");
  CHECK(call->Header("rosemaryreach-run") == "not-run");
  CHECK(plane.targets[0]->stats().started == 0);
}

TEST_CASE("a non-idempotent request is not retried after its target crashed") {
  request_plane_fixture plane({.targets = 2});
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = caller->Start(
      {.method = "POST", .path = "/never", .headers = {{"x-request-id", "b"}}});
  const auto runs = [&] {
    return plane.targets[0]->RunCount("b") + plane.targets[1]->RunCount("b");
  };
  plane.RunUntil([&] { return runs() == 1; });
  const std::size_t ran = plane.targets[0]->RunCount("b") == 1 ? 0 : 1;
  plane.targets[ran]->Crash();
  plane.RunUntil([&] { return call->close.has_value(); });
  CHECK(call->Header(":status") == "502");
  CHECK(call->Header("rosemaryreach-run") == "unknown");
  CHECK(runs() == 1);
}

TEST_CASE(
    "an idempotent request is retried elsewhere after its target crashed") {
  request_plane_fixture plane({.targets = 2});
  plane.WarmUp(20);
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      caller->Start({.path = "/slow/300", .headers = {{"x-request-id", "g"}}});
  plane.RunUntil([&] {
    return plane.targets[0]->RunCount("g") + plane.targets[1]->RunCount("g") ==
           1;
  });
  const std::size_t ran = plane.targets[0]->RunCount("g") == 1 ? 0 : 1;
  plane.targets[ran]->Crash();
  plane.RunUntil([&] { return call->close.has_value(); });
  CHECK(call->Succeeded());
  CHECK(plane.targets[1 - ran]->RunCount("g") == 1);
}

TEST_CASE("a draining target finishes its requests and gets a new connection") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr running =
      caller->Start({.method = "POST", .path = "/slow/1500"});
  plane.RunUntil([&] { return plane.targets[0]->stats().running == 1; });
  plane.targets[0]->Drain();
  plane.RunFor(std::chrono::milliseconds(700));
  CHECK(
      plane.Call(*caller, {.method = "POST", .path = "/bytes/1"})->Succeeded());
  plane.RunUntil([&] { return running->close.has_value(); });
  CHECK(running->Succeeded());
}

TEST_CASE("a request to an unresponsive target is answered with 502") {
  request_plane_fixture plane;
  // Accepts connections and never reads or writes.
  std::list<int> accepted;
  result<std::unique_ptr<h2_listener>> silent = h2_listener::Listen(
      plane.loop, Loopback(),
      [&accepted](int descriptor) { accepted.push_back(descriptor); });
  REQUIRE(silent);
  plane.config.services[0].targets[0].address = silent.value()->local();
  plane.config.number += 1;
  plane.tasks[0]->ApplyConfiguration(
      std::make_shared<configuration>(plane.config));
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.method = "POST",
                           .path = "/bytes/1",
                           .headers = {{"rosemaryreach-timeout-ms", "30000"}}});
  CHECK(call->Header(":status") == "502");
  CHECK(call->Header("rosemaryreach-run") == "unknown");
  for (const int descriptor : accepted) {
    close(descriptor);
  }
}

TEST_CASE("a request to an unreachable target is reported as not run") {
  request_plane_fixture plane;
  plane.targets[0]->Crash();
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.method = "POST",
                           .path = "/bytes/1",
                           .headers = {{"rosemaryreach-timeout-ms", "1000"}}});
  CHECK(call->Header("rosemaryreach-run") == "not-run");
}

TEST_CASE("requests are forwarded through the owner of the target") {
  request_plane_fixture plane({.instances = 3, .targets = 1});
  for (std::size_t i = 0; i < 3; ++i) {
    const std::unique_ptr<h2_client> caller = plane.MakeCaller(i);
    const call_ptr call =
        plane.Call(*caller, {.method = "POST", .upload_bytes = 200'000});
    CHECK(call->Succeeded());
    CHECK(call->body_bytes == 200'000);
    CHECK(call->Header("rosemaryreach-load").empty());
  }
}

TEST_CASE("a cancel is forwarded through the owner of the target") {
  request_plane_fixture plane({.instances = 3, .targets = 1});
  for (std::size_t i = 0; i < 3; ++i) {
    const std::unique_ptr<h2_client> caller = plane.MakeCaller(i);
    const call_ptr call = caller->Start({.method = "POST", .path = "/never"});
    plane.RunUntil([&] { return plane.targets[0]->stats().running == 1; });
    caller->Cancel(*call);
    plane.RunUntil(
        [&] { return plane.targets[0]->stats().cancelled == i + 1; });
  }
}

}  // namespace
}  // namespace rosemaryreach
