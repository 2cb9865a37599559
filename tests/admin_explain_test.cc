#include "adapters/admin_explain.h"

#include <catch2/catch.hpp>

#include "config_sample.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

fleet_view ThreeInstances() {
  fleet_view view;
  for (const char* name : {"a1", "a2", "a3"}) {
    instance_info info;
    info.name = name;
    info.id = MakeInstanceId(name);
    info.data_centre = "almaty-a";
    info.region = "almaty";
    info.state = instance_state::kActive;
    view.instances.push_back(info);
  }
  view.self = view.instances[0].id;
  return view;
}

flow_query MakeFlowQuery(const std::string& service,
                         const std::string& destination) {
  return {service, transport_protocol::kTcp,
          ParseEndpoint("10.0.0.7:40000").value(),
          ParseEndpoint(destination).value()};
}

TEST_CASE("Every instance gives the same explanation for a flow") {
  configuration config = SampleConfiguration();
  config.services[0].legacy.reset();
  fleet_view view = ThreeInstances();
  const flow_query query = MakeFlowQuery("ledger", "10.1.0.1:80");
  const json first = ExplainFlow(config, view, query).value();
  CHECK(first.at("action") == "target");
  CHECK(first.at("rule") == "steady");
  CHECK(first.at("target").get<std::string>().starts_with("l"));
  CHECK(first.at("owner").get<std::string>().starts_with("a"));
  CHECK(first.at("owner") != first.at("successor"));
  view.self = view.instances[1].id;
  CHECK(ExplainFlow(config, view, query).value() == first);
}

TEST_CASE(
    "A flow explanation reflects data centres, shares and the default next "
    "hop") {
  configuration config = SampleConfiguration();
  const fleet_view view = ThreeInstances();
  config.services[0].legacy->share_percent = 0;
  const flow_query query = MakeFlowQuery("", "10.1.0.1:80");
  CHECK(ExplainFlow(config, view, query).value().at("action") == "legacy");
  config.services[0].legacy.reset();
  config.data_centres[0].state = data_centre_state::kOut;
  CHECK(ExplainFlow(config, view, query).value().at("target") == "l2");
  const flow_query unknown = MakeFlowQuery("", "10.1.0.99:80");
  CHECK(ExplainFlow(config, view, unknown).value().at("rule") ==
        "unknown_address");
  config.default_legacy = ParseEndpoint("10.9.9.9:7000").value();
  CHECK(ExplainFlow(config, view, unknown).value().at("next_hop") ==
        "10.9.9.9:7000");
  CHECK(ExplainFlow(config, view, MakeFlowQuery("x", "10.1.0.1:80"))
            .error()
            .code == errc::kNotFound);
}

TEST_CASE("A request explanation lists targets and their owners") {
  const configuration config = SampleConfiguration();
  const fleet_view view = ThreeInstances();
  request_query query;
  query.service = "statements";
  const json response = ExplainRequest(config, view, query).value();
  CHECK(response.at("targets").at("s1").at("new_work") == true);
  const json& target = response.at("targets").at("s1");
  CHECK(target.at("owner").get<std::string>().starts_with("a"));
  query.service = "ledger";
  CHECK(ExplainRequest(config, view, query).error().code == errc::kNotFound);
}

}  // namespace
}  // namespace rosemaryreach
