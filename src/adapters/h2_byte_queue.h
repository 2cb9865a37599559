// A byte FIFO; removal at the front is amortized O(1) per byte.
#ifndef ROSEMARYREACH_ADAPTERS_H2_BYTE_QUEUE_H_
#define ROSEMARYREACH_ADAPTERS_H2_BYTE_QUEUE_H_

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <span>
#include <vector>

namespace rosemaryreach {

class h2_byte_queue {
 public:
  std::size_t size() const { return bytes_.size() - head_; }
  bool empty() const { return size() == 0; }

  std::span<const std::uint8_t> view() const {
    return std::span(bytes_).subspan(head_);
  }

  void Append(std::span<const std::uint8_t> data) {
    bytes_.insert(bytes_.end(), data.begin(), data.end());
  }

  // Copies bytes starting at `offset` into `into`; returns the number copied.
  std::size_t Peek(std::size_t offset, std::span<std::uint8_t> into) const {
    const std::span<const std::uint8_t> from = view().subspan(offset);
    const std::size_t count = std::min(from.size(), into.size());
    if (count > 0) {
      std::memcpy(into.data(), from.data(), count);
    }
    return count;
  }

  // Removes the first `count` bytes.
  void Drop(std::size_t count) {
    head_ += count;
    if (head_ == bytes_.size()) {
      bytes_.clear();
      head_ = 0;
    } else if (head_ > bytes_.size() / 2) {
      bytes_.erase(bytes_.begin(),
                   bytes_.begin() + static_cast<std::ptrdiff_t>(head_));
      head_ = 0;
    }
  }

 private:
  std::vector<std::uint8_t> bytes_;
  std::size_t head_ = 0;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_H2_BYTE_QUEUE_H_
