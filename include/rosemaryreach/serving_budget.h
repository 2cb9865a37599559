// Bounds what an instance sends to peers that ask for its view of the store.
// It answers the load of a start of many instances at once.
#ifndef ROSEMARYREACH_SERVING_BUDGET_H_
#define ROSEMARYREACH_SERVING_BUDGET_H_

#include <cstddef>

#include "rosemaryreach/types.h"

namespace rosemaryreach {

class serving_budget {
 public:
  explicit serving_budget(double link_mbps);

  // Returns whether an answer of `bytes` may be sent now, and counts it if so.
  // One that is refused is better asked of another peer: it would wait behind
  // those on the link already, and callers' packets with it.
  bool TrySpend(std::size_t bytes, time_point now);

 private:
  double bytes_per_s_;
  time_point sent_until_{};  // when the answers so far have left
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_SERVING_BUDGET_H_
