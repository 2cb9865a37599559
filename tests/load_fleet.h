// Instances that exchange load messages in virtual time, without a network.
#ifndef ROSEMARYREACH_TESTS_LOAD_FLEET_H_
#define ROSEMARYREACH_TESTS_LOAD_FLEET_H_

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "entry_fixture.h"
#include "rosemaryreach/load_exchange.h"

namespace rosemaryreach {

// Data centre `n` has the addresses 1000 * n + 1 and so on, the largest first.
struct load_fleet {
  struct member {
    std::unique_ptr<peer_group> peers;
    std::unique_ptr<load_exchange> exchange;  // none in an older build
    own_load load;                            // answers and offers: each period
    bool paused = false;
    std::vector<std::pair<std::uint32_t, std::string>> waiting;
    std::vector<std::string> changes;
  };

  explicit load_fleet(std::vector<std::uint32_t> sizes) {
    for (std::uint32_t centre = 1; centre <= sizes.size(); ++centre) {
      for (std::uint32_t i = 1; i <= sizes[centre - 1]; ++i) {
        summaries.push_back(SummaryOf(1'000 * centre + i, 100));
      }
    }
    for (const peer_summary& one : summaries) {
      Start(one);
    }
  }

  static peer_summary SummaryOf(std::uint32_t address,
                                std::uint64_t incarnation) {
    peer_summary summary;
    summary.address = address;
    summary.incarnation = incarnation;
    summary.heartbeat_count = 1;
    summary.data_centre = address / 1'000;
    summary.cpu_millicores = 2'000 - address % 1'000;
    return summary;
  }

  void Start(const peer_summary& self) {
    member& one = members[self.address];
    const own_load load = one.load;
    one = {};
    one.load = load;
    one.peers =
        std::make_unique<peer_group>(self, std::vector<std::uint32_t>{}, 1,
                                     [](std::uint32_t, const char*) {});
    for (const peer_summary& other : summaries) {
      if (other.address != self.address) {
        one.peers->ApplyBeacon({other, false, {}, {}, {}}, At(now));
      }
    }
    load_exchange_hooks hooks;
    hooks.collect = [&one](time_point) { return one.load; };
    hooks.send = [this, from = self.address](std::span<const std::uint32_t> to,
                                             const std::string& bytes) {
      Send(from, to, bytes);
    };
    hooks.changed = [&one](const char* outcome, std::uint32_t) {
      one.changes.emplace_back(outcome);
    };
    one.exchange =
        std::make_unique<load_exchange>(*one.peers, 1'000, hooks, At(now));
  }

  // Replaces what all others know of an instance.
  void Announce(const peer_summary& summary) {
    for (auto& [address, one] : members) {
      if (address != summary.address) {
        one.peers->ApplyBeacon({summary, false, {}, {}, {}}, At(now));
      }
    }
  }

  void Send(std::uint32_t from,
            std::span<const std::uint32_t> to,
            const std::string& bytes) {
    for (const std::uint32_t address : to) {
      ++datagrams;
      if (loses && loses(from, address)) {
        continue;
      }
      const std::int64_t delay = 1 + (jitter > 0 ? random() % jitter : 0);
      in_transit.emplace(now + delay, packet{from, address, bytes});
      if (duplicates) {
        in_transit.emplace(now + delay + 5, packet{from, address, bytes});
      }
    }
  }

  // Runs for `ms` and calls `each_ms` after each millisecond.
  void Run(std::int64_t ms, const std::function<void()>& each_ms = nullptr) {
    for (const std::int64_t end = now + ms; now < end; ++now) {
      while (!in_transit.empty() && in_transit.begin()->first <= now) {
        const packet arrived = in_transit.begin()->second;
        in_transit.erase(in_transit.begin());
        Deliver(arrived);
      }
      for (auto& [address, one] : members) {
        if (one.exchange && !one.paused &&
            one.exchange->next_due() <= At(now)) {
          one.exchange->Tick(At(now));
        }
      }
      if (each_ms) {
        each_ms();
      }
    }
  }

  void Resume(std::uint32_t address) {
    member& one = members.at(address);
    one.paused = false;
    for (const auto& [from, bytes] : one.waiting) {
      one.exchange->OnDatagram(from, bytes, At(now));
    }
    one.waiting.clear();
  }

  // Every instance has one request running at this target.
  void LoadEveryone(std::uint32_t cookie) {
    for (auto& [address, one] : members) {
      target_figures figures;
      figures.cookie = cookie;
      figures.running = 1;
      one.load.targets = {figures};
    }
  }

  double Running(std::uint32_t address, std::uint32_t cookie) {
    const std::optional<shared_target_load> load =
        members.at(address).exchange->TargetLoad(cookie, At(now));
    return load ? load->running : -1;
  }

  // Returns the lowest and the highest figure of the instances that run.
  std::pair<double, double> RunningRange(std::uint32_t cookie) {
    std::pair<double, double> range{1e9, -1e9};
    for (auto& [address, one] : members) {
      if (one.exchange && !one.paused) {
        const double running = Running(address, cookie);
        range = {std::min(range.first, running),
                 std::max(range.second, running)};
      }
    }
    return range;
  }

  struct packet {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
    std::string bytes;
  };

  void Deliver(const packet& arrived) {
    const auto to = members.find(arrived.to);
    if (to == members.end() || !to->second.exchange) {
      return;
    }
    if (to->second.paused) {
      to->second.waiting.emplace_back(arrived.from, arrived.bytes);
      return;
    }
    to->second.exchange->OnDatagram(arrived.from, arrived.bytes, At(now));
  }

  std::vector<peer_summary> summaries;
  std::map<std::uint32_t, member> members;
  std::multimap<std::int64_t, packet> in_transit;
  std::function<bool(std::uint32_t from, std::uint32_t to)> loses;
  std::mt19937_64 random{1};
  std::int64_t jitter = 0;
  bool duplicates = false;
  std::size_t datagrams = 0;
  std::int64_t now = 10'000;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_LOAD_FLEET_H_
