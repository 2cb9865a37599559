// Runs one case: CASE RECORD DIRECTORY COMMAND. The variable TROUBLE, if 0,
// leaves the disruption out.
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "cases.h"

namespace review {

void deployment::StartFleet(const std::vector<std::string>& zones,
                            std::vector<uint32_t> seeds) {
  for (const std::string& zone : zones) {
    fleet.Add(zone);
  }
  for (std::size_t i = 0; seeds.size() < 3 && i < fleet.instances.size(); ++i) {
    seeds.push_back(fleet.instances[i]->address);
  }
  fleet.WriteSettings(seeds);
  for (const auto& one : fleet.instances) {
    fleet.Start(*one);
    loop.RunUntil(Now() + 40);
  }
  fleet.CheckReadiness();
}

void deployment::AwaitRotation(std::size_t count) {
  if (!loop.RunUntil(Now() + 15'000,
                     [&] { return fleet.InRotation() >= count; })) {
    CannotRun("the instances did not get ready");
  }
}

namespace {

int Main(int argc, char** argv) {
  if (argc != 5) {
    std::fprintf(stderr, "usage: standins CASE RECORD DIRECTORY COMMAND\n");
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  const char* set = std::getenv("TROUBLE");
  const bool trouble = set == nullptr || std::strcmp(set, "0") != 0;
  OpenRecord(argv[2]);
  const std::string name = argv[1];
  Record("case " + name + (trouble ? "" : ", without the disruption"));
  deployment world(argv[3], argv[4]);
  int broken = 2;
  if (name == "foreign-entry") {
    broken = ForeignEntry(world, trouble);
  } else if (name == "split-listing") {
    broken = SplitListing(world, trouble);
  } else if (name == "cold-owners") {
    broken = ColdOwners(world, trouble);
  } else if (name == "any-host") {
    broken = AnyHost(world, trouble);
  } else if (name == "large-watch") {
    broken = LargeWatch(world, trouble);
  }
  Record(broken == 1 ? "the rule was broken" : "the rule held");
  return broken;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  return review::Main(argc, argv);
}
