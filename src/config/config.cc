#include "rosemaryreach/config.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

template <typename Item>
const Item* FindByName(const std::vector<Item>& items, std::string_view name) {
  const auto found =
      std::find_if(items.begin(), items.end(),
                   [name](const Item& item) { return item.name == name; });
  return found == items.end() ? nullptr : &*found;
}

}  // namespace

const service_config* FindService(const configuration& config,
                                  std::string_view name) {
  return FindByName(config.services, name);
}

const data_centre_config* FindDataCentre(const configuration& config,
                                         std::string_view name) {
  return FindByName(config.data_centres, name);
}

bool AcceptsNewWork(const configuration& config, const target_config& target) {
  if (target.state != target_state::kActive || target.weight == 0) {
    return false;
  }
  const data_centre_config* centre = FindDataCentre(config, target.data_centre);
  return centre != nullptr && centre->state == data_centre_state::kIn;
}

}  // namespace rosemaryreach
