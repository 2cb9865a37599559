#include "adapters/target_prober.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

// A target's health endpoint with a configurable response.
class health_endpoint {
 public:
  explicit health_endpoint(event_loop& loop) : http_(evhttp_new(loop.base())) {
    evhttp_bound_socket* socket =
        evhttp_bind_socket_with_handle(http_, "127.0.0.1", 0);
    sockaddr_in bound{};
    socklen_t size = sizeof(bound);
    getsockname(evhttp_bound_socket_get_fd(socket),
                reinterpret_cast<sockaddr*>(&bound), &size);
    address_ = ParseEndpoint("127.0.0.1:0").value();
    address_.port = ntohs(bound.sin_port);
    evhttp_set_gencb(http_, &health_endpoint::OnRequest, this);
  }
  ~health_endpoint() { evhttp_free(http_); }
  health_endpoint(const health_endpoint&) = delete;
  health_endpoint& operator=(const health_endpoint&) = delete;

  const endpoint& address() const { return address_; }

  int status = 200;
  std::string body = "{}";
  int request_count = 0;

 private:
  static void OnRequest(evhttp_request* request, void* context) {
    health_endpoint* self = static_cast<health_endpoint*>(context);
    ++self->request_count;
    evbuffer_add(evhttp_request_get_output_buffer(request), self->body.data(),
                 self->body.size());
    evhttp_send_reply(request, self->status, nullptr, nullptr);
  }

  evhttp* http_;
  endpoint address_;
};

struct prober_fixture {
  prober_fixture() {
    probes.interval_ms = 10;
    probes.timeout_ms = 200;
  }

  std::shared_ptr<const configuration> Configuration() const {
    configuration config;
    config.number = 1;
    config.data_centres = {{"a", "r", data_centre_state::kIn}};
    service_config service;
    service.name = "ledger";
    target_config target;
    target.name = "t0";
    target.data_centre = "a";
    target.probe = health.address();
    service.targets = {target};
    config.services = {service};
    return std::make_shared<const configuration>(config);
  }

  static fleet_view View(const std::string& data_centre) {
    instance_info info;
    info.name = "i0";
    info.id = MakeInstanceId(info.name);
    info.data_centre = data_centre;
    info.region = "r";
    info.state = instance_state::kActive;
    return {info.id, {info}, 1};
  }

  // Runs the loop until `count` condition changes have been reported.
  void RunUntil(std::size_t count) {
    loop_timer watch(loop, [&] {
      if (changes.size() >= count) {
        loop.Stop();
      }
    });
    watch.StartEvery(milliseconds(1));
    loop.Run();
  }

  probe_settings probes;
  event_loop loop;
  health_endpoint health{loop};
  std::vector<target_condition> changes;
};

TEST_CASE(
    "a target is reported cold, then healthy, following its probe replies") {
  prober_fixture fixture;
  target_prober prober(fixture.loop, fixture.probes, 1,
                       [&](std::string_view service, std::string_view target,
                           target_condition condition) {
                         CHECK(service == "ledger");
                         CHECK(target == "t0");
                         fixture.changes.push_back(condition);
                         fixture.health.body = "{}";
                       });
  fixture.health.body = R"({"state": "cold"})";
  prober.ApplyView(prober_fixture::View("a"));
  prober.ApplyConfiguration(fixture.Configuration());
  fixture.RunUntil(2);
  CHECK(fixture.changes[0] == target_condition::kCold);
  CHECK(fixture.changes[1] == target_condition::kHealthy);
}

TEST_CASE("a target that answers probes with 503 is reported unhealthy") {
  prober_fixture fixture;
  target_prober prober(
      fixture.loop, fixture.probes, 1,
      [&](std::string_view, std::string_view, target_condition condition) {
        fixture.changes.push_back(condition);
      });
  fixture.health.status = 503;
  prober.ApplyView(prober_fixture::View("a"));
  prober.ApplyConfiguration(fixture.Configuration());
  fixture.RunUntil(1);
  CHECK(fixture.changes[0] != target_condition::kHealthy);
}

TEST_CASE("a target of another data centre is not probed by this instance") {
  prober_fixture fixture;
  target_prober prober(
      fixture.loop, fixture.probes, 1,
      [](std::string_view, std::string_view, target_condition) {});
  prober.ApplyView(prober_fixture::View("b"));
  prober.ApplyConfiguration(fixture.Configuration());
  CHECK(prober.size() == 0);
  prober.ApplyView(prober_fixture::View("a"));
  CHECK(prober.size() == 1);
}

}  // namespace
}  // namespace rosemaryreach
