// Seeds for the decision modules, which have no randomness of their own.
#ifndef ROSEMARYREACH_ADAPTERS_RANDOM_SEED_H_
#define ROSEMARYREACH_ADAPTERS_RANDOM_SEED_H_

#include <cstdint>
#include <random>

namespace rosemaryreach {

// Returns a seed from the system's random device.
inline std::uint64_t RandomSeed() {
  std::random_device device;
  return (std::uint64_t{device()} << 32) | device();
}

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_RANDOM_SEED_H_
