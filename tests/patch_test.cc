#include "rosemaryreach/patch.h"

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include "config_sample.h"

namespace rosemaryreach {
namespace {

using json = nlohmann::json;

patch MakePatch(const char* operations, std::uint64_t base = 1) {
  return {base, "a test", json::parse(operations)};
}

struct bad_patch {
  const char* operations;
  errc code;
};

const std::vector<bad_patch> kBadPatches = {
    {R"([])", errc::kSchemaViolation},
    {R"([{"op":"drop","path":"/services"}])", errc::kSchemaViolation},
    {R"([{"op":"add","path":"/services/x"}])", errc::kSchemaViolation},
    {R"([{"op":"remove","path":"/services/x"}])", errc::kNotFound},
    {R"([{"op":"remove","path":""}])", errc::kNotFound},
    {R"([{"op":"remove","path":"services"}])", errc::kNotFound},
    {R"([{"op":"replace","path":"","value":7}])", errc::kSchemaViolation},
    {R"([{"op":"add","path":"/services/ledger/buckets/x","value":7}])",
     errc::kNotFound},
    {R"([{"op":"test","path":"/services/ledger/buckets","value":7}])",
     errc::kNotFound},
    {R"([{"op":"add","path":"/number","value":7}])", errc::kRuleViolation},
    {R"([{"op":"add","path":"/x","value":7}])", errc::kSchemaViolation},
    {R"([{"op":"remove","path":"/data_centres/almaty-a"}])",
     errc::kRuleViolation},
    {R"([{"op":"replace","path":"/services/ledger/buckets","value":128}])",
     errc::kRuleViolation},
    {R"([{"op":"replace","path":"/services/ledger/plane","value":"requests"}])",
     errc::kRuleViolation},
    {R"([{"op":"remove","path":"/services/ledger/targets/l1"}])",
     errc::kRuleViolation},
    {R"([{"op":"replace","path":"/services/ledger/targets/l1/address",
          "value":"10.2.0.9:6635"}])",
     errc::kRuleViolation},
    {R"([{"op":"remove","path":"/services/ledger/legacy"}])",
     errc::kRuleViolation},
    {R"([{"op":"add","path":"/services/z","value":{"addresses":["10.8.0.1:1"],
          "legacy":{"next_hop":"10.9.0.1:7000","share_percent":1}}}])",
     errc::kRuleViolation},
    {R"([{"op":"copy","from":"/services/ledger","path":"/services/z"}])",
     errc::kRuleViolation},
    {R"([{"op":"add","path":"/services/z","value":[{},"s"]},
         {"op":"move","from":"/services/z/0","path":"/services/z/0/y"}])",
     errc::kNotFound},
};

TEST_CASE("ApplyPatch rejects the whole patch with an error code") {
  const configuration config = SampleConfiguration();
  for (const bad_patch& bad : kBadPatches) {
    CAPTURE(bad.operations);
    const result<configuration> next =
        ApplyPatch(config, MakePatch(bad.operations));
    REQUIRE_FALSE(next);
    CAPTURE(FormatError(next.error()));
    CHECK(next.error().code == bad.code);
  }
}

TEST_CASE("Objects without open connections may be removed") {
  configuration config = SampleConfiguration();
  config.data_centres[0].state = data_centre_state::kOut;
  config.services[0].legacy->share_percent = 100;
  CHECK(ApplyPatch(config, MakePatch(R"([
      {"op":"remove","path":"/services/ledger/targets/l1"},
      {"op":"remove","path":"/services/ledger/legacy"},
      {"op":"remove","path":"/services/statements"}])")));
}

TEST_CASE("ApplyPatch rejects another base") {
  const patch change =
      MakePatch(R"([{"op":"remove","path":"/services/ledger/targets/l1"}])", 2);
  CHECK(ApplyPatch(SampleConfiguration(), change).error().code ==
        errc::kWrongBase);
}

TEST_CASE("Copies that double the document are rejected") {
  json operations = json::array();
  for (int i = 0; i < 200; ++i) {
    operations.push_back({{"op", "copy"},
                          {"from", "/services"},
                          {"path", "/services/c" + std::to_string(i)}});
  }
  const patch change{1, "", operations};
  CHECK(ApplyPatch(SampleConfiguration(), change).error().code ==
        errc::kTooLarge);
}

TEST_CASE("The builders change only the named object") {
  const configuration config = SampleConfiguration();
  configuration wanted = config;
  wanted.number = 2;
  SECTION("data centre out") {
    wanted.data_centres[0].state = data_centre_state::kOut;
    const result<patch> change =
        SetDataCentreState(config, "almaty-a", data_centre_state::kOut);
    CHECK(ApplyPatch(config, change.value()).value() == wanted);
  }
  SECTION("drain") {
    wanted.services[0].targets[1].state = target_state::kDraining;
    const result<patch> change =
        SetTargetState(config, "ledger", "l2", target_state::kDraining);
    CHECK(ApplyPatch(config, change.value()).value() == wanted);
  }
  SECTION("add a target") {
    target_config target = config.services[0].targets[1];
    target.name = "l3";
    target.address.port = 1;
    wanted.services[0].targets.push_back(target);
    const result<patch> change = AddTarget(config, "ledger", target);
    CHECK(ApplyPatch(config, change.value()).value() == wanted);
    CHECK_FALSE(AddTarget(wanted, "ledger", target));
  }
  SECTION("remove a target that drains") {
    configuration draining = config;
    draining.services[0].targets[1].state = target_state::kDraining;
    wanted.services[0].targets.pop_back();
    const result<patch> change = RemoveTarget(draining, "ledger", "l2");
    CHECK(ApplyPatch(draining, change.value()).value() == wanted);
  }
  SECTION("share") {
    wanted.services[0].legacy->share_percent = 50;
    const result<patch> change = SetServiceShare(config, "ledger", 50);
    CHECK(ApplyPatch(config, change.value()).value() == wanted);
  }
}

TEST_CASE("The builders reject unknown names") {
  const configuration config = SampleConfiguration();
  CHECK_FALSE(SetDataCentreState(config, "x", data_centre_state::kOut));
  CHECK_FALSE(SetTargetState(config, "x", "l1", target_state::kDraining));
  CHECK_FALSE(RemoveTarget(config, "ledger", "x"));
  CHECK_FALSE(SetServiceShare(config, "statements", 5));
}

TEST_CASE("DiffConfigurations gives a patch from one to the other") {
  const configuration from = SampleConfiguration();
  configuration to = from;
  to.services.erase(to.services.begin());
  to.data_centres[1].state = data_centre_state::kOut;
  to.default_legacy = ParseEndpoint("10.9.9.9:1").value();
  to.number = 2;
  CHECK(ApplyPatch(from, DiffConfigurations(from, to, "")).value() == to);
}

TEST_CASE("ParsePatch reads what FormatPatch writes and detects corruption") {
  const patch change =
      MakePatch(R"([{"op":"remove","path":"/services/ledger"}])");
  std::string text = FormatPatch(change);
  CHECK(ParsePatch(text).value() == change);
  text.replace(text.find("ledger"), 6, "lodger");
  CHECK(ParsePatch(text).error().code == errc::kInvalidJson);
  CHECK(ParsePatch(std::string(kValueLimitBytes, ' ')).error().code ==
        errc::kTooLarge);
}

json ArbitraryValue() {
  switch (*rc::gen::inRange(0, 5)) {
    case 0:
      return json::object();
    case 1:
      return json::array({json::object(), "s"});
    case 2:
      return *rc::gen::arbitrary<int>();
    case 3:
      return nullptr;
    default:
      return "out";
  }
}

// Changes nothing, but makes a patch touch all services.
const json kCopyAllServices = {{"op", "copy"},
                               {"from", "/services"},
                               {"path", "/services"}};

json ArbitraryOperation() {
  const std::string path = *rc::gen::element<std::string>(
      "", "/", "/services", "/services/ledger", "/services/ledger/targets/l1",
      "/services/ledger/addresses/0", "/services/ledger/addresses/-",
      "/services/ledger/addresses/01", "/services/ledger/legacy/share_percent",
      "/data_centres/almaty-a/state", "/services/n", "/services/n/0", "~2");
  const std::string from =
      *rc::gen::element<std::string>("", "/services", "/services/ledger/legacy",
                                     "/services/ledger/addresses/0", "/x");
  const std::string op = *rc::gen::element<std::string>(
      "add", "remove", "replace", "move", "copy", "test");
  return {
      {"op", op}, {"path", path}, {"from", from}, {"value", ArbitraryValue()}};
}

TEST_CASE("Any patch gives an error or the same valid configuration") {
  const configuration config = SampleConfiguration();
  const bool holds = rc::check([&config] {
    json operations = json::array();
    const int count = *rc::gen::inRange(0, 6);
    for (int i = 0; i < count; ++i) {
      operations.push_back(ArbitraryOperation());
    }
    const result<configuration> next =
        ApplyPatch(config, {1, "any", operations});
    operations.insert(operations.begin(), kCopyAllServices);
    const result<configuration> whole =
        ApplyPatch(config, {1, "any", operations});
    RC_ASSERT(next.has_value() == whole.has_value() || operations.size() == 1);
    if (next) {
      RC_ASSERT(next.value() == whole.value());
      RC_ASSERT(next.value().number == 2u);
      RC_ASSERT(CheckRules(next.value()).empty());
    }
  });
  CHECK(holds);
}

}  // namespace
}  // namespace rosemaryreach
