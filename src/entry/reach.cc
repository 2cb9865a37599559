#include "rosemaryreach/reach.h"

#include <algorithm>
#include <map>

namespace rosemaryreach {
namespace {

// Targets that may get new flows, and those of them that are reached.
struct reach_count {
  std::size_t usable = 0;
  std::size_t reached = 0;

  bool none_reached() const { return usable > 0 && reached == 0; }
};

}  // namespace

bool CutOff(const target_directory& directory,
            const flow_ledger& ledger,
            const std::string& data_centre) {
  std::map<std::string, reach_count> services;
  reach_count elsewhere;
  for (target_index i = 0; i < directory.targets().size(); ++i) {
    const known_target* target = directory.Find(i);
    if (target == nullptr || target->listing == target_listing::kGone) {
      continue;
    }
    const target_record& record = target->record;
    const std::size_t reached = Unreachable(ledger.contact(i)) ? 0 : 1;
    if (record.data_centre != data_centre) {
      ++elsewhere.usable;
      elsewhere.reached += reached;
    }
    if (record.state == target_state::kActive &&
        !directory.evacuated(record.data_centre)) {
      reach_count& service = services[record.service];
      ++service.usable;
      service.reached += reached;
    }
  }
  return elsewhere.none_reached() &&
         std::any_of(services.begin(), services.end(),
                     [](const auto& one) { return one.second.none_reached(); });
}

}  // namespace rosemaryreach
