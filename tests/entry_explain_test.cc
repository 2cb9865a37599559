// Traces three kinds of failed request to their causes by the log, the metrics
// and the explanation of flows.
#include "adapters/http_get.h"
#include "entry_path_fixture.h"

namespace rosemaryreach {
namespace {

constexpr ipv4_endpoint kBookingRoute{0xC6120001, 8080};
constexpr ipv4_endpoint kWatchRoute{0xC6120001, 8443};
constexpr ipv4_endpoint kFilesRoute{0xC6120002, 8443};

// A flow and the reports of its calls.
struct traced_flow {
  flow_key key;
  std::string id;
  std::vector<call_report> reports;
};

// One instance and a caller whose flows can be found in the log by id.
class explain_fixture {
 public:
  explain_fixture() : path_(1) {
    path_.Start(0);
    REQUIRE(Until([this] { return testbed().fabric().ready() == 1; }));
  }

  entry_testbed& testbed() { return path_.testbed(); }

  bool Until(const std::function<bool()>& done) { return path_.RunUntil(done); }

  traced_flow& Open(const ipv4_endpoint& to,
                    const std::string& service,
                    int requests) {
    std::vector<std::string> request_texts;
    request_texts.reserve(static_cast<std::size_t>(requests));
    for (int i = 0; i < requests; ++i) {
      request_texts.push_back(service + " ask " + std::to_string(i));
    }
    flows_.push_back(std::make_unique<traced_flow>());
    traced_flow& flow = *flows_.back();
    flow.key = testbed().OpenCall(
        to, request_texts,
        [&flow](const call_report& report) { flow.reports.push_back(report); });
    flow.id = FormatFlow(flow.key);
    return flow;
  }

  bool Logged(const nlohmann::json& members) {
    return !path_.FindLogLine(0, members).is_null();
  }

  std::string Metrics() { return Get("/metrics"); }

  // Returns the instance's explanation of a flow, requested as rosemaryreachctl
  // does.
  nlohmann::json Explain(const flow_key& flow) {
    return nlohmann::json::parse(
        Get("/v1/flows/explain?source=" + FormatIpv4Endpoint(flow.caller) +
            "&destination=" + FormatIpv4Endpoint(flow.destination)));
  }

  // Returns the instance's answer to a GET of `path`.
  std::string Get(const std::string& path) {
    http_get_client getter(path_.loop(), testbed().ControlAddress(0),
                           1'000'000);
    std::string text;
    getter.Get(path, std::chrono::seconds(10),
               [&text](const result<http_reply>& reply) {
                 text = reply.value().body;
               });
    REQUIRE(Until([&text] { return !text.empty(); }));
    return text;
  }

  // Drains all targets of `service` but one, and returns that one.
  entry_target& DrainAllButOne(const std::string& service) {
    std::vector<std::string> others;
    entry_target* kept = nullptr;
    for (const auto& [id, target] : testbed().targets()) {
      if (target->options().service != service) {
        continue;
      }
      if (kept == nullptr) {
        kept = target.get();
      } else {
        others.push_back(id);
      }
    }
    for (const std::string& id : others) {
      testbed().targets().at(id)->Drain();
    }
    for (const std::string& id : others) {
      REQUIRE(Until([&] {
        return Logged({{"subject", id}, {"outcome", "target_draining"}});
      }));
    }
    return *kept;
  }

 private:
  entry_path_fixture path_;
  std::vector<std::unique_ptr<traced_flow>> flows_;
};

TEST_CASE("A reset booking is traced to the evacuated data centres") {
  explain_fixture fixture;
  for (const char* data_centre : {"dc-a", "dc-b", "dc-c"}) {
    fixture.testbed().Evacuate(data_centre, true);
    REQUIRE(fixture.Until([&] {
      return fixture.Logged(
          {{"subject", data_centre}, {"outcome", "data_centre_out"}});
    }));
  }
  traced_flow& flow = fixture.Open(kBookingRoute, "ledger", 1);
  REQUIRE(fixture.Until([&flow] { return !flow.reports.empty(); }));
  CHECK(flow.reports[0].outcome == call_outcome::kReset);
  CHECK_FALSE(flow.reports[0].opened);
  CHECK(fixture.Logged({{"event", "flow"},
                        {"flow", flow.id},
                        {"rule", "no_target"},
                        {"outcome", "reset"}}));
  CHECK(fixture.Metrics().find(
            "rosemaryreach_entry_packets_total{rule=\"no_target\"} 1") !=
        std::string::npos);
  const nlohmann::json explanation = fixture.Explain(flow.key);
  CHECK(explanation.at("action") == "reset");
  CHECK(explanation.at("rule") == "no_target");
  CHECK(explanation.at("targets") == nlohmann::json{{"no_target", 3}});
  CHECK(explanation.at("configuration_version") == 1);
}

TEST_CASE("A stream that times out is traced to the target that left") {
  explain_fixture fixture;
  entry_target& target = fixture.DrainAllButOne("ledger");
  const std::string id = target.options().id;
  traced_flow& flow = fixture.Open(kWatchRoute, "ledger", 200);
  REQUIRE(fixture.Until([&flow] { return flow.reports.size() >= 2; }));
  const nlohmann::json explanation = fixture.Explain(flow.key);
  CHECK(explanation.at("rule") == "cookie");
  CHECK(explanation.at("target").at("id") == id);
  CHECK(explanation.at("target").at("new_flows") == "least_load");
  target.Drain();
  REQUIRE(fixture.Until([&] {
    return fixture.Logged({{"subject", id}, {"outcome", "target_draining"}});
  }));
  target.Silence();
  target.Deregister();
  REQUIRE(fixture.Until([&flow] {
    return flow.reports.back().outcome == call_outcome::kTimeout;
  }));
  CHECK(fixture.Logged({{"event", "flow"},
                        {"flow", flow.id},
                        {"target", id},
                        {"outcome", "stalled"}}));
  CHECK(fixture.Until([&] {
    return fixture.Logged({{"subject", id}, {"outcome", "target_gone"}});
  }));
  CHECK(fixture.Logged({{"target", id}, {"outcome", "target_unreachable"}}));
}

TEST_CASE("A stalled download is traced to an unreachable target") {
  explain_fixture fixture;
  entry_target& target = fixture.DrainAllButOne("files");
  const std::string id = target.options().id;
  traced_flow& flow = fixture.Open(kFilesRoute, "files", 200);
  REQUIRE(fixture.Until([&flow] { return flow.reports.size() >= 2; }));
  target.Silence();
  REQUIRE(fixture.Until([&] {
    return fixture.Logged({{"event", "flow"},
                           {"flow", flow.id},
                           {"target", id},
                           {"outcome", "stalled"}});
  }));
  REQUIRE(fixture.Until([&] {
    return fixture.Logged({{"target", id}, {"outcome", "target_unreachable"}});
  }));
  CHECK(fixture.Logged(
      {{"event", "flows_at_lost_target"}, {"target", id}, {"flows", flow.id}}));
  const nlohmann::json explanation = fixture.Explain(flow.key);
  CHECK(explanation.at("targets").at("targets_unreachable") == 1);
  CHECK(explanation.at("target").at("last_probe") == "refused");
  CHECK(fixture.Metrics().find("rosemaryreach_entry_stalled_total 1") !=
        std::string::npos);
}

}  // namespace
}  // namespace rosemaryreach
