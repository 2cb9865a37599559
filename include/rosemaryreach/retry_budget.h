// Limits retries and hedges to a share of the live traffic.
#ifndef ROSEMARYREACH_RETRY_BUDGET_H_
#define ROSEMARYREACH_RETRY_BUDGET_H_

#include <algorithm>
#include <cstdint>

namespace rosemaryreach {

// Each request deposits a share of one retry. Starts empty, so retries never
// exceed that share of the requests so far.
class retry_budget {
 public:
  explicit retry_budget(std::uint32_t percent) : percent_(percent) {}

  void Configure(std::uint32_t percent) { percent_ = percent; }

  // Adds the share of one request.
  void Deposit() {
    balance_ = std::min(balance_ + percent_, kMaxRetries * kRetryCost);
  }

  // Withdraws one retry; returns false if the balance is too low.
  bool TryWithdraw() {
    if (balance_ < kRetryCost) {
      return false;
    }
    balance_ -= kRetryCost;
    return true;
  }

 private:
  static constexpr std::uint32_t kRetryCost = 100;
  static constexpr std::uint32_t kMaxRetries = 100;

  std::uint32_t percent_;
  std::uint32_t balance_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_RETRY_BUDGET_H_
