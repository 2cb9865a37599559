// Tests of rosemaryreachctl's commands that work on files.
#include <sys/resource.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "ctl/ctl_commands.h"
#include "temporary_directory.h"

namespace rosemaryreach {
namespace {

// Limits the size of the files that this process writes, as a full disk does.
class file_size_limit {
 public:
  explicit file_size_limit(rlim_t bytes) {
    std::signal(SIGXFSZ, SIG_IGN);
    getrlimit(RLIMIT_FSIZE, &before_);
    const rlimit limited{bytes, before_.rlim_max};
    setrlimit(RLIMIT_FSIZE, &limited);
  }
  ~file_size_limit() { setrlimit(RLIMIT_FSIZE, &before_); }
  file_size_limit(const file_size_limit&) = delete;
  file_size_limit& operator=(const file_size_limit&) = delete;

 private:
  rlimit before_{};
};

// A directory with a configuration file and a log without entries.
struct snapshot_fixture {
  snapshot_fixture() {
    std::ofstream(file)
        << R"({"number": 1, "data_centres": {"dc-a": {"region": "r"}},
                               "services": {}})";
  }

  int Write(const std::string& sequence) const {
    const std::vector<std::string> arguments = {directory.path(), sequence,
                                                file};
    return WriteSnapshot({}, arguments);
  }

  std::size_t Entries() const {
    const std::filesystem::directory_iterator entries(directory.path() +
                                                      "/entries");
    return static_cast<std::size_t>(
        std::distance(begin(entries), end(entries)));
  }

  temporary_directory directory;
  std::string file = directory.path() + "/config.json";
};

TEST_CASE("A snapshot is written under its sequence") {
  const snapshot_fixture fixture;
  CHECK(fixture.Write("12") == kExitOk);
  CHECK(std::filesystem::exists(fixture.directory.path() +
                                "/entries/12.1-of-1.json"));
}

TEST_CASE("A sequence that is not a number above 0 is refused") {
  const snapshot_fixture fixture;
  for (const char* sequence :
       {"12abc", "abc", "", "0", "-1", "+1", " 1", "18446744073709551616"}) {
    CHECK(fixture.Write(sequence) == kExitUsage);
  }
  CHECK(fixture.Entries() == 0);
}

TEST_CASE("A snapshot that could not be written whole is not published") {
  const snapshot_fixture fixture;
  const file_size_limit limit(10);
  CHECK(fixture.Write("12") == kExitUsage);
  CHECK(fixture.Entries() == 0);
}

}  // namespace
}  // namespace rosemaryreach
