#include "adapters/admin_server.h"

#include <catch2/catch.hpp>
#include <optional>

#include "adapters/http_get.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

constexpr std::size_t kMaxBodyBytes = 10'000;
constexpr duration kDeadline = std::chrono::seconds(20);

admin_hooks Hooks() {
  admin_hooks hooks;
  hooks.ready = [] { return readiness{false, "a configuration"}; };
  hooks.metrics = [] { return std::string("up 1\n"); };
  hooks.status = [] { return json{{"number", 7}}; };
  hooks.explain_flow = [](const flow_query& query) -> result<json> {
    if (query.service != "ledger") {
      return Fail(errc::kNotFound, "no such service");
    }
    return json{{"source", FormatEndpoint(query.source)},
                {"udp", query.protocol == transport_protocol::kUdp}};
  };
  hooks.explain_request = [](const request_query& query) -> result<json> {
    return json{{"path", query.path}, {"key", query.idempotency_key}};
  };
  return hooks;
}

http_reply Get(const std::string& path,
               const std::string& server_token = "",
               const std::string& client_token = "") {
  event_loop loop;
  admin_server server(loop, server_token, Hooks());
  const ip_address loopback = ParseIp("127.0.0.1").value();
  const std::uint16_t port = server.Listen({loopback, 0}).value();
  http_get_client client(loop, {loopback, port}, kMaxBodyBytes, client_token);
  http_reply received;
  client.Get(path, kDeadline, [&](const result<http_reply>& reply) {
    received = reply.value();
    loop.Stop();
  });
  loop.Run();
  return received;
}

TEST_CASE("Each path responds with the result of its callback") {
  CHECK(json::parse(Get("/v1/status").body) == json{{"number", 7}});
  CHECK(Get("/healthz").status == 200);
  CHECK(Get("/metrics").body == "up 1\n");
  CHECK(Get("/v1/targets").status == 404);
  CHECK(Get("/x").status == 404);
}

TEST_CASE("/readyz reports what the instance waits for") {
  const http_reply reply = Get("/readyz");
  CHECK(reply.status == 503);
  CHECK(json::parse(reply.body).at("waiting_for") == "a configuration");
}

TEST_CASE("Explain queries are decoded and validated") {
  const std::string flow = "/v1/flows/explain?service=ledger&protocol=udp&";
  const http_reply reply =
      Get(flow + "source=%5B%3A%3A1%5D%3A5&destination=1.2.3.4:80");
  CHECK(json::parse(reply.body) == json{{"source", "[::1]:5"}, {"udp", true}});
  CHECK(Get(flow + "source=x&destination=1.2.3.4:80").status == 400);
  CHECK(Get("/v1/flows/explain?protocol=icmp").status == 400);
  CHECK(
      Get("/v1/flows/explain?source=1.1.1.1:1&destination=1.2.3.4:80").status ==
      404);
  const http_reply request =
      Get("/v1/requests/explain?path=/a%3Fb&idempotency_key=k%26");
  CHECK(json::parse(request.body) == json{{"path", "/a?b"}, {"key", "k&"}});
}

TEST_CASE("All paths but health checks require the token") {
  CHECK(Get("/v1/status", "secret").status == 401);
  CHECK(Get("/v1/status", "secret", "secre7").status == 401);
  CHECK(Get("/v1/status", "secret", "secret").status == 200);
  CHECK(Get("/healthz", "secret").status == 200);
}

}  // namespace
}  // namespace rosemaryreach
