// Decides which share of the new flows of a service may go to other data
// centres.
#ifndef ROSEMARYREACH_SPILLOVER_H_
#define ROSEMARYREACH_SPILLOVER_H_

#include <algorithm>
#include <chrono>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

// The expected wait elsewhere must be shorter by this factor. Then two data
// centres whose figures of each other are old do not exchange their load.
inline constexpr double kSpillMargin = 1.5;
// And by this much, part of a queued request: waits at few targets vary by
// chance, and flows that stay here survive a cut between data centres.
inline constexpr duration kLocalPreference = std::chrono::milliseconds(20);
// The share changes by this much a second where the waits differ by half:
// figures of other data centres are up to a second old, and flows sent
// meanwhile show late.
inline constexpr double kSpillPerSecond = 3.0;

class spillover {
 public:
  // Records the expected waits at random usable targets here and elsewhere,
  // each at least the time of a request: a target with a free slot is as good
  // as an idle one, and flows that stay here survive a cut between data
  // centres.
  void Update(duration here, duration elsewhere, time_point now) {
    const std::chrono::duration<double> elapsed =
        std::min<duration>(now - updated_, std::chrono::milliseconds(100));
    updated_ = now;
    const double local = static_cast<double>(here.count());
    const double remote =
        std::max(kSpillMargin * static_cast<double>(elsewhere.count()),
                 static_cast<double>((elsewhere + kLocalPreference).count()));
    const double excess = std::clamp(
        (local - remote) / std::max({local, remote, 1.0}), -1.0, 1.0);
    // Waits at few targets vary much; the share follows their mean.
    share_ = std::clamp(share_ + excess * 2 * kSpillPerSecond * elapsed.count(),
                        0.0, 1.0);
  }

  // There is no usable target elsewhere.
  void Stop() { share_ = 0; }

  double share() const { return share_; }

 private:
  double share_ = 0;
  time_point updated_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SPILLOVER_H_
