// The fleet's cases: configuration and membership under failure, and what they
// cost. Figures at 1,100 instances come from the slopes.
#include "fleet_configuration_cases.h"
#include "fleet_cost_cases.h"
#include "fleet_fault_cases.h"
#include "fleet_membership_cases.h"

int main(int argc, const char** argv) {
  namespace fakes = rosemaryreach::fakes;
  return fakes::BenchMain(argc, argv,
                          {{"publish", fakes::Publish},
                           {"watch-silent", fakes::WatchSilent},
                           {"platform-down", fakes::PlatformDown},
                           {"platform-stale", fakes::PlatformStale},
                           {"bad-entries", fakes::BadEntries},
                           {"failures", fakes::Failures},
                           {"rack", fakes::Rack},
                           {"region-start", fakes::RegionStart},
                           {"rack-cut", fakes::RackCut},
                           {"data-centre-cut", fakes::DataCentreCut},
                           {"regions-cut", fakes::RegionsCut},
                           {"pause", fakes::Pause},
                           {"clock-jumps", fakes::ClockJumps},
                           {"disorder", fakes::Disorder},
                           {"forged", fakes::Forged},
                           {"cost", fakes::Cost},
                           {"contacts", fakes::Contacts}});
}
