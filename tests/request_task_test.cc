#include "adapters/request_task.h"

#include <catch2/catch.hpp>
#include <random>

#include "request_plane_fixture.h"

namespace rosemaryreach {
namespace {

using standins::h2_call;
using standins::h2_client;

using call_ptr = std::shared_ptr<h2_call>;

TEST_CASE("a request and its response are relayed") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = plane.Call(*caller, {.method = "POST",
                                             .headers = {{"x-request-id", "7"}},
                                             .upload_bytes = 300'000});
  CHECK(call->Succeeded());
  CHECK(call->Header(":status") == "200");
  CHECK(call->Header("x-request-id") == "7");
  CHECK(call->Header("rosemaryreach-run") == "run");
  CHECK(call->body_bytes == 300'000);
}

TEST_CASE("trailers are relayed") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = plane.Call(*caller, {.path = "/trailers"});
  CHECK(call->Succeeded());
  CHECK(FindHeader(call->trailers, "x-checksum") == "abc");
}

TEST_CASE("a caller's cancel reaches the target and frees its slot") {
  request_plane_fixture plane({.slots = 1});
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = caller->Start({.method = "POST", .path = "/never"});
  plane.RunUntil([&] { return plane.targets[0]->stats().running == 1; });
  caller->Cancel(*call);
  plane.RunUntil([&] { return plane.targets[0]->stats().cancelled == 1; });
  const call_ptr next = plane.Call(*caller, {.path = "/bytes/1"});
  CHECK(next->Succeeded());
  CHECK(plane.targets[0]->stats().peak_running == 1);
}

TEST_CASE("an expired deadline is answered and cancelled at the target") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.method = "POST",
                           .path = "/never",
                           .headers = {{"rosemaryreach-timeout-ms", "100"}}});
  CHECK(call->Header(":status") == "504");
  CHECK(call->Header("rosemaryreach-run") == "unknown");
  plane.RunUntil([&] { return plane.targets[0]->stats().cancelled == 1; });
}

TEST_CASE("targets get the remaining time of the deadline") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  plane.Call(*caller, {.method = "POST",
                       .path = "/bytes/1",
                       .headers = {{"grpc-timeout", "3S"},
                                   {"content-type", "application/grpc"}}});
  const h2_headers& headers = plane.targets[0]->last_headers();
  const std::optional<duration> remaining =
      ParseGrpcTimeout(FindHeader(headers, "grpc-timeout"));
  REQUIRE(remaining);
  CHECK(*remaining <= std::chrono::seconds(3));
  CHECK(*remaining > std::chrono::seconds(1));
  CHECK(RequestTimeout(headers) <= std::chrono::seconds(3));
}

TEST_CASE("gRPC callers get errors as trailers only") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.method = "POST",
                           .path = "/never",
                           .headers = {{"content-type", "application/grpc"},
                                       {"grpc-timeout", "50m"}}});
  CHECK(call->Header(":status") == "200");
  CHECK(call->Header("grpc-status") == "4");
  CHECK(call->Header("rosemaryreach-run") == "unknown");
  CHECK(call->body_bytes == 0);
}

TEST_CASE("a download of 1 GiB passes with bounded buffers") {
  constexpr std::uint64_t kGibibyte = 1'024ULL * 1'024 * 1'024;
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call =
      plane.Call(*caller, {.path = "/bytes/" + std::to_string(kGibibyte)});
  CHECK(call->Succeeded());
  CHECK(call->body_bytes == kGibibyte);
  const request_task_settings settings;
  CHECK(plane.tasks[0]->stats().peak_buffered_bytes <=
        settings.upstream_limits.stream_window_bytes);
  CHECK(plane.tasks[0]->stats().buffered_bytes == 0);
}

TEST_CASE("an upload of 64 MiB passes with bounded buffers") {
  constexpr std::uint64_t kUpload = 64ULL * 1'024 * 1'024;
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr call = plane.Call(
      *caller,
      {.method = "POST", .path = "/slow/500", .upload_bytes = kUpload});
  CHECK(call->Succeeded());
  const request_task_settings settings;
  CHECK(plane.tasks[0]->stats().peak_buffered_bytes <=
        settings.max_replay_bytes + settings.caller_limits.stream_window_bytes);
}

TEST_CASE("a stalled download has bounded buffers and blocks no other stream") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr stalled = caller->Start({.path = "/endless", .paused = true});
  plane.RunUntil([&] { return stalled->body_bytes > 0; });
  for (int i = 0; i < 20; ++i) {
    CHECK(plane.Call(*caller, {.path = "/bytes/1000000"})->Succeeded());
  }
  const request_task_settings settings;
  CHECK(plane.tasks[0]->stats().peak_buffered_bytes <=
        2 * settings.upstream_limits.stream_window_bytes);
  CHECK_FALSE(stalled->close);
  stalled->Resume();
  const std::uint64_t before = stalled->body_bytes;
  plane.RunUntil([&] { return stalled->body_bytes > before + 1'000'000; });
}

// A call that is sent again while it is refused as not run.
struct retried_call {
  std::string id;
  h2_client* caller = nullptr;
  standins::call_options options;
  call_ptr call;

  bool IsFinished() {
    if (call->close && call->Header("rosemaryreach-run") == "not-run") {
      call = caller->Start(options);
    }
    return call->close.has_value();
  }
};

TEST_CASE("interleaved requests get their own responses and run once") {
  request_plane_fixture plane({.instances = 2, .targets = 4});
  std::vector<std::unique_ptr<h2_client>> callers;
  std::vector<retried_call> calls(400);
  std::mt19937 random(1);
  callers.reserve(8);
  for (int i = 0; i < 8; ++i) {
    callers.push_back(plane.MakeCaller(i % 2));
  }
  for (std::size_t i = 0; i < calls.size(); ++i) {
    retried_call& retried = calls[i];
    retried.id = std::to_string(i);
    retried.caller = callers[i % callers.size()].get();
    retried.options = {.method = "POST",
                       .path = "/slow/" + std::to_string(random() % 20),
                       .headers = {{"x-request-id", retried.id}}};
    retried.call = retried.caller->Start(retried.options);
  }
  bool all_finished = false;
  while (!all_finished) {
    plane.RunFor(std::chrono::milliseconds(20));
    all_finished = true;
    for (retried_call& retried : calls) {
      all_finished = retried.IsFinished() && all_finished;
    }
  }
  for (const retried_call& retried : calls) {
    INFO(retried.call->Header("rosemaryreach-reason"));
    CHECK(retried.call->Succeeded());
    CHECK(retried.call->Header("x-request-id") == retried.id);
    std::uint64_t runs = 0;
    for (const std::unique_ptr<standins::target_server>& target :
         plane.targets) {
      runs += target->RunCount(retried.id);
    }
    CHECK(runs == 1);
  }
}

TEST_CASE("a graceful stop lets a download finish and takes no new requests") {
  request_plane_fixture plane({.instances = 2, .targets = 2});
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  const call_ptr download =
      caller->Start({.path = "/bytes/50000000", .paused = true});
  plane.RunUntil([&] { return download->body_bytes > 0; });
  plane.Stop(0);
  plane.RunUntil([&] { return caller->draining(); });
  const call_ptr late = plane.Call(*caller, {.path = "/bytes/1"});
  CHECK(late->close->code == NGHTTP2_REFUSED_STREAM);
  CHECK(plane.stopped == 0);
  download->Resume();
  plane.RunUntil([&] { return plane.stopped == 1; });
  CHECK(download->Succeeded());
  CHECK(download->body_bytes == 50'000'000);
}

TEST_CASE("a service is found by its address or its name alone") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  plane.config.services[0].addresses.clear();
  plane.config.number += 1;
  plane.tasks[0]->ApplyConfiguration(
      std::make_shared<configuration>(plane.config));
  const call_ptr named =
      plane.Call(*caller, {.path = "/bytes/1", .authority = "pots:80"});
  CHECK(named->Header(":status") == "200");
  const call_ptr other = plane.Call(*caller, {.authority = "statements"});
  CHECK(other->Header(":status") == "404");
  CHECK(other->Header("rosemaryreach-run") == "not-run");
}

TEST_CASE("the peer listener refuses a request without a valid authenticator") {
  request_plane_fixture plane;
  h2_client forger(plane.loop, plane.tasks[0]->peer_endpoint());
  const call_ptr call =
      plane.Call(forger, {.headers = {{"rosemaryreach-hop", "1"},
                                      {"rosemaryreach-service", "pots"},
                                      {"rosemaryreach-authenticator", "1"}}});
  CHECK(call->Header(":status") == "403");
  CHECK(plane.targets[0]->stats().started == 0);
}

TEST_CASE("hop headers from callers are not passed to targets") {
  request_plane_fixture plane;
  const std::unique_ptr<h2_client> caller = plane.MakeCaller();
  plane.Call(*caller,
             {.path = "/bytes/1", .headers = {{"rosemaryreach-hop", "1"}}});
  CHECK(FindHeader(plane.targets[0]->last_headers(), "rosemaryreach-hop")
            .empty());
}

}  // namespace
}  // namespace rosemaryreach
