// Limits what an instance sends to peers that request its view of the store,
// for the case that many instances start at once.
#ifndef ROSEMARYREACH_SERVING_BUDGET_H_
#define ROSEMARYREACH_SERVING_BUDGET_H_

#include <cstddef>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

class serving_budget {
 public:
  explicit serving_budget(double link_mbps);

  // Returns whether a reply of `bytes` may be sent now, and counts it if so.
  // Refuses when replies queue on the link, which would delay callers' packets;
  // the peer should ask another instance.
  bool TrySpend(std::size_t bytes, time_point now);

 private:
  double bytes_per_s_;
  time_point sent_until_{};  // when the replies so far have been sent
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SERVING_BUDGET_H_
