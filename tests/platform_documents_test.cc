#include "adapters/platform_documents.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>

#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

TEST_CASE("Entries are sorted by sequence and part, other files are ignored") {
  const temporary_directory directory;
  for (const char* name :
       {"10.json", "0000000002.json", "1.2-of-2.json", "1.1-of-2.json",
        ".3.json", "3.json.tmp", "3.json~", "x.json", "3.1of2.json", "3"}) {
    directory.Write(std::string("entries/") + name, name);
  }
  const result<platform_page> page = ReadDirectory(directory.path(), {});
  REQUIRE(page);
  const std::vector<log_entry> expected = {{1, 1, 2, "1.1-of-2.json"},
                                           {1, 2, 2, "1.2-of-2.json"},
                                           {2, 0, 0, "0000000002.json"},
                                           {10, 0, 0, "10.json"}};
  CHECK(page.value().entries == expected);
  CHECK(page.value().head_sequence == 10);
}

TEST_CASE("A read resumes in the middle of a snapshot") {
  const temporary_directory directory;
  directory.Write("entries/5.1-of-2.json", "a");
  directory.Write("entries/5.2-of-2.json", "b");
  directory.Write("entries/3.json", "c");
  const result<platform_page> page = ReadDirectory(directory.path(), {3, 5, 1});
  REQUIRE(page.value().entries.size() == 1);
  CHECK(page.value().entries[0].text == "b");
}

TEST_CASE("A missing directory is an error, not an empty page") {
  CHECK(ReadDirectory("/nonexistent", {}).error().code == errc::kUnavailable);
}

TEST_CASE("ParsePage restores a formatted page with unchanged texts") {
  const platform_page page{{{1, 1, 2, "a\"\n{"}, {2, 0, 0, "\u00e9"}}, 9};
  const result<platform_page> parsed = ParsePage(FormatPage(page).value());
  REQUIRE(parsed);
  CHECK(parsed.value().entries == page.entries);
  CHECK(parsed.value().head_sequence == 9);
  CHECK_FALSE(FormatPage({{{1, 0, 0, "\xff"}}, 1}));
  CHECK_FALSE(ParsePage("{\"head\": 1}"));
}

TEST_CASE("ParseInstanceList reports the path of an invalid value") {
  const std::string text =
      R"({"instances": [{"name": "a1", "data_centre": "a", "region": "r",
          "address": "10.0.0.1", "control_port": 1, "grpc_port": 2,
          "state": "leaving"}]})";
  const result<std::vector<listed_instance>> list = ParseInstanceList(text);
  REQUIRE(list);
  CHECK(list.value()[0].state == listed_instance_state::kLeaving);
  std::string bad = text;
  bad.replace(bad.find("10.0.0.1"), 8, "10.0.0.x");
  CHECK(ParseInstanceList(bad).error().path == "/instances/0/address");
}

}  // namespace
}  // namespace rosemaryreach
