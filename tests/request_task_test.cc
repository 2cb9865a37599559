#include "adapters/request_task.h"

#include <catch2/catch.hpp>

#include "request_plane.h"

namespace rosemaryreach {
namespace {

using standins::h2_call;
using standins::h2_client;

using call_ptr = std::shared_ptr<h2_call>;

TEST_CASE("a request and its answer pass both ways") {
  request_plane plane;
  const std::unique_ptr<h2_client> caller = plane.Caller();
  const call_ptr call = plane.Call(*caller, {.method = "POST",
                                             .headers = {{"x-request-id", "7"}},
                                             .upload_bytes = 300'000});
  CHECK(call->whole());
  CHECK(call->Header(":status") == "200");
  CHECK(call->Header("x-request-id") == "7");
  CHECK(call->Header("rosemaryreach-run") == "run");
  CHECK(call->body_bytes == 300'000);
}

TEST_CASE("trailers pass") {
  request_plane plane;
  const std::unique_ptr<h2_client> caller = plane.Caller();
  const call_ptr call = plane.Call(*caller, {.path = "/trailers"});
  CHECK(call->whole());
  CHECK(FindHeader(call->trailers, "x-checksum") == "abc");
}

}  // namespace
}  // namespace rosemaryreach
