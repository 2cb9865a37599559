#include "rosemaryreach/settings.h"

#include <rapidcheck.h>
#include <sys/stat.h>
#include <unistd.h>
#include <catch2/catch.hpp>

#include <cstdio>
#include <cstdlib>
#include <fstream>

#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

const std::string kSampleSettings = R"json({
  "instance": "a1", "data_centre": "almaty-a", "region": "almaty",
  "address": "127.0.0.1",
  "listeners": {"packet_port": 7000, "packet_workers": 2, "detour_port": 7010},
  "platform": {"directory": "platform"},
  "seeds": ["127.0.0.2:7100"],
  "log": {"level": "warning", "decision_sample": 1}
})json";

std::string TextWith(const std::string& from, const std::string& to) {
  std::string text = kSampleSettings;
  return text.replace(text.find(from), from.size(), to);
}

struct bad_text {
  const char* from;
  const char* to;
  const char* path;
  const char* detail;
};

const std::vector<bad_text> kBadTexts = {
    {"\"a1\"", "\"A 1\"", "s.json#/instance", "got \"A 1\", expected 1 to 63"},
    {"127.0.0.1", "localhost", "s.json#/address", "localhost"},
    {"7000", "70000", "s.json#/listeners/packet_port", "from 1 to 65535"},
    {"7000", "7011", "s.json#/listeners/detour_port", "covers port 7011"},
    {"7010", "65535", "s.json#/listeners/detour_port", "below 65536"},
    {"\"platform\"}", "\"p\", \"http\": \"127.0.0.1:80\"}", "s.json#/platform",
     "got both"},
    {"\"directory\": \"platform\"", "", "s.json#/platform", "got neither"},
    {"warning", "loud", "s.json#/log/level", "expected one of"},
    {"7000", "7000, \"admin\": \"10.0.0.1:80\"",
     "s.json#/listeners/admin_token_file", "beyond loopback"},
    {"\"log\"", "\"logs\"", "s.json#/logs", "unknown member"},
    {"127.0.0.2:7100", "127.0.0.2", "s.json#/seeds/0", "127.0.0.2"},
};

TEST_CASE("CheckSettings reports file, path, value and expectation") {
  for (const bad_text& bad : kBadTexts) {
    CAPTURE(bad.from, bad.to);
    const settings_check check =
        CheckSettings(TextWith(bad.from, bad.to), "s.json");
    REQUIRE(check.errors.size() == 1);
    CAPTURE(FormatError(check.errors.front()));
    CHECK(check.errors.front().path == bad.path);
    CHECK(check.errors.front().detail.find(bad.detail) != std::string::npos);
  }
}

TEST_CASE("CheckSettings reads values and keeps defaults") {
  const settings_check check = CheckSettings(kSampleSettings, "s.json");
  REQUIRE(check.ok());
  CHECK(check.value.listeners.packet_workers == 2);
  CHECK(check.value.listeners.control_port == 7'100);
  CHECK(check.value.log.level == log_level::kWarning);
  CHECK(FormatEndpoint(check.value.listeners.admin) == "127.0.0.1:7200");
}

TEST_CASE("ReadSecret requires a file that only its owner can read") {
  std::string file = "/tmp/rosemaryreach-secret-XXXXXX";
  close(mkstemp(file.data()));
  std::ofstream(file) << "0123456789abcdef\nrest\n";
  chmod(file.c_str(), 0644);
  CHECK(ReadSecret(file).error().code == errc::kRuleViolation);
  chmod(file.c_str(), 0600);
  CHECK(ReadSecret(file).value() == "0123456789abcdef");
  std::ofstream(file) << "short";
  CHECK(ReadSecret(file).error().code == errc::kRuleViolation);
  std::remove(file.c_str());
  CHECK(ReadSecret(file).error().code == errc::kIo);
}

TEST_CASE("LoadSettings reports the secret file that can't be read") {
  const temporary_directory directory;
  const std::string file = directory.path() + "/s.json";
  CHECK(LoadSettings(file).errors.at(0).code == errc::kIo);
  directory.Write("s.json",
                  TextWith("\"seeds\"", R"("key_files": ["/nonexistent"],
      "seeds")"));
  const settings_check check = LoadSettings(file);
  REQUIRE(check.errors.size() == 1);
  CHECK(check.errors[0].path == file + "#/key_files/0");
}

TEST_CASE("Corrupted settings never crash") {
  CHECK(rc::check([] {
    std::string text = kSampleSettings;
    const std::size_t place = *rc::gen::inRange<std::size_t>(0, text.size());
    text[place] = *rc::gen::arbitrary<char>();
    CheckSettings(text, "s.json");
    CheckSettings(*rc::gen::arbitrary<std::string>(), "s.json");
  }));
}

}  // namespace
}  // namespace rosemaryreach
