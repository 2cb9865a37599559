#include "rosemaryreach/fleet_view.h"

namespace rosemaryreach {

const instance_info* FindInstance(const fleet_view& view, instance_id id) {
  for (const instance_info& instance : view.instances) {
    if (instance.id == id) {
      return &instance;
    }
  }
  return nullptr;
}

std::uint64_t ViewDigest(const fleet_view& view) {
  std::uint64_t digest = 0;
  for (const instance_info& instance : view.instances) {
    const std::uint64_t version = HashPair(
        instance.incarnation, static_cast<std::uint64_t>(instance.state));
    digest += HashPair(instance.id.value, version);
  }
  return digest;
}

}  // namespace rosemaryreach
