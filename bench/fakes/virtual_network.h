// An in-memory datagram network between instances, in virtual time: latency,
// loss, duplication, reordering, partitions and paused instances.
#ifndef ROSEMARYREACH_FAKES_VIRTUAL_NETWORK_H_
#define ROSEMARYREACH_FAKES_VIRTUAL_NETWORK_H_

#include <cstdint>
#include <functional>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fakes/event_queue.h"
#include "rosemaryreach/types.h"

namespace rosemaryreach::fakes {

struct link_options {
  duration min_latency = std::chrono::microseconds(200);
  duration max_latency = std::chrono::microseconds(600);
  double loss = 0;
  double duplication = 0;
};

// Delivers messages of type Message between attached instances.
template <typename Message>
class virtual_network {
 public:
  using handler = std::function<void(instance_id from, const Message&)>;
  // Returns whether datagrams pass from the first instance to the second.
  using reachability = std::function<bool(instance_id, instance_id)>;

  virtual_network(event_queue& queue, link_options links, std::uint64_t seed)
      : queue_(queue), links_(links), random_(seed) {}

  void Attach(instance_id id, handler receive) {
    node& attached = nodes_[id.value];
    attached.receive = std::move(receive);
    attached.paused = false;
    attached.held.clear();
  }

  // Drops the instance; datagrams to it are lost from now on.
  void Detach(instance_id id) { nodes_.erase(id.value); }

  // Holds back what reaches `id` until Resume(), as a socket buffer does.
  void Pause(instance_id id) { nodes_[id.value].paused = true; }

  void Resume(instance_id id) {
    node& resumed = nodes_[id.value];
    resumed.paused = false;
    std::vector<held_message> held = std::move(resumed.held);
    resumed.held.clear();
    for (const held_message& message : held) {
      Deliver(message.from, id, message.body);
    }
  }

  void SetReachability(reachability passes) { passes_ = std::move(passes); }
  void SetLoss(double loss) { links_.loss = loss; }

  // Sends `message` of `bytes` octets, which count for the sender even if the
  // datagram is lost.
  void Send(instance_id from,
            instance_id to,
            const Message& message,
            std::size_t bytes) {
    sent_bytes_[from.value] += bytes;
    ++sent_messages_[from.value];
    if (passes_ && !passes_(from, to)) {
      return;
    }
    if (Chance(links_.loss)) {
      return;
    }
    Schedule(from, to, message);
    if (Chance(links_.duplication)) {
      Schedule(from, to, message);
    }
  }

  // Returns the octets that `id` has sent so far.
  std::uint64_t sent_bytes(instance_id id) const {
    const auto found = sent_bytes_.find(id.value);
    return found == sent_bytes_.end() ? 0 : found->second;
  }

  // Returns the datagrams that `id` has sent so far.
  std::uint64_t sent_messages(instance_id id) const {
    const auto found = sent_messages_.find(id.value);
    return found == sent_messages_.end() ? 0 : found->second;
  }

 private:
  static constexpr std::size_t kMaxHeldMessages = 1'000;

  struct held_message {
    instance_id from;
    Message body;
  };

  struct node {
    handler receive;
    bool paused = false;
    std::vector<held_message> held;
  };

  bool Chance(double probability) {
    return probability > 0 &&
           std::uniform_real_distribution<double>(0, 1)(random_) < probability;
  }

  void Schedule(instance_id from, instance_id to, const Message& message) {
    std::uniform_int_distribution<duration::rep> latency(
        links_.min_latency.count(), links_.max_latency.count());
    queue_.After(duration(latency(random_)),
                 [this, from, to, message] { Deliver(from, to, message); });
  }

  void Deliver(instance_id from, instance_id to, const Message& message) {
    const auto found = nodes_.find(to.value);
    if (found == nodes_.end()) {
      return;
    }
    node& receiver = found->second;
    if (!receiver.paused) {
      receiver.receive(from, message);
    } else if (receiver.held.size() < kMaxHeldMessages) {
      receiver.held.push_back({from, message});
    }
  }

  event_queue& queue_;
  link_options links_;
  std::mt19937_64 random_;
  reachability passes_;
  std::unordered_map<std::uint64_t, node> nodes_;
  std::unordered_map<std::uint64_t, std::uint64_t> sent_bytes_;
  std::unordered_map<std::uint64_t, std::uint64_t> sent_messages_;
};

}  // namespace rosemaryreach::fakes

#endif  // ROSEMARYREACH_FAKES_VIRTUAL_NETWORK_H_
