#ifndef REVIEW_STANDINS_CASES_H_
#define REVIEW_STANDINS_CASES_H_

#include <algorithm>
#include <deque>

#include "world.h"

namespace review {

// The store and the fleet of a run.
struct deployment {
  deployment(const std::string& directory, const std::string& command)
      : store_address(NextAddress()),
        fleet(loop, directory, command, store_address),
        store(loop, store_address, fleet.store_port) {}

  // Starts an instance in each of `zones`, all within 0.3 s. The seeds are the
  // first three instances, unless `seeds` names others.
  void StartFleet(const std::vector<std::string>& zones,
                  std::vector<uint32_t> seeds = {});
  // Waits until so many instances are in rotation.
  void AwaitRotation(std::size_t count);

  poll_loop loop;
  uint32_t store_address;
  entry_fleet fleet;
  platform_store store;
};

// Each returns 1 if the rule was broken and 0 if it held.
int ForeignEntry(deployment& world, bool trouble);
int SplitListing(deployment& world, bool trouble);
int ColdOwners(deployment& world, bool trouble);
int LargeWatch(deployment& world, bool trouble);
int AnyHost(deployment& world, bool trouble);

}  // namespace review

#endif  // REVIEW_STANDINS_CASES_H_
