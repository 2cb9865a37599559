#include "rosemaryreach/serving_budget.h"

#include <algorithm>
#include <cmath>

namespace rosemaryreach {
namespace {

constexpr double kBytesPerMegabit = 125'000;
// The rest of the link is reserved for callers' packets.
constexpr double kShareOfLink = 0.5;
// Maximum time that replies queue on the link: most of the deadline of a pull.
constexpr duration kMaxBacklog = std::chrono::milliseconds(250);

}  // namespace

serving_budget::serving_budget(double link_mbps)
    : bytes_per_s_(link_mbps * kBytesPerMegabit * kShareOfLink) {}

bool serving_budget::TrySpend(std::size_t bytes, time_point now) {
  if (sent_until_ > now + kMaxBacklog) {
    return false;
  }
  constexpr double kMicrosPerSecond = 1e6;
  const double time =
      kMicrosPerSecond * static_cast<double>(bytes) / bytes_per_s_;
  sent_until_ = std::max(sent_until_, now) + duration(std::llround(time));
  return true;
}

}  // namespace rosemaryreach
