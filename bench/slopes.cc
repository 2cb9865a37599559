// Measures how state, messages and processor time grow with the fleet and the
// configuration, and prints what the straight lines say of the size that
// rosemaryreach is designed for. docs/CAPACITY.md holds its output.
#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "fleet_measures.h"
#include "rosemaryreach/bucket_table.h"
#include "rosemaryreach/config_json.h"

namespace rosemaryreach::fakes {
namespace {

using std::chrono::seconds;

constexpr std::array<double, 3> kFleetSizes = {9, 40, 157};
constexpr std::array<double, 3> kHostSizes = {100, 400, 1'200};
constexpr double kRegionMembers = 471;
constexpr double kHosts = 12'000;
constexpr double kSpanS = 64;

// One measured figure and what its line says of `target`.
struct figure {
  const char* name;
  const char* unit;
  std::array<double, 3> sizes;
  std::array<double, 3> values;
  double target;
};

void Print(const figure& one) {
  const line fit = Fit(one.sizes, one.values);
  std::printf(
      "| %s | %s | %.4g, %.4g, %.4g | %.4g, %.4g, %.4g | %.4g | %.4g: "
      "%.4g |\n",
      one.name, one.unit, one.sizes[0], one.sizes[1], one.sizes[2],
      one.values[0], one.values[1], one.values[2], fit.slope, one.target,
      fit.At(one.target));
}

// Returns the microseconds that one call of `run` takes.
double Microseconds(int calls, const std::function<void()>& run) {
  const std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) {
    run();
  }
  const std::chrono::duration<double, std::micro> taken =
      std::chrono::steady_clock::now() - start;
  return taken.count() / calls;
}

void MeasureFleet() {
  figure bytes{"control sent, mean", "B/s", kFleetSizes, {}, kFleetSize};
  figure most{"control sent, most", "B/s", kFleetSizes, {}, kFleetSize};
  figure messages{"datagrams sent", "1/s", kFleetSizes, {}, kFleetSize};
  figure core{"control core", "%", kFleetSizes, {}, kRegionMembers};
  figure memory{"control memory", "B", kFleetSizes, {}, kRegionMembers};
  figure calls{"platform calls", "1/s", kFleetSizes, {}, kFleetSize};
  figure table{"table to a newcomer", "B", kFleetSizes, {}, kRegionMembers};
  for (std::size_t i = 0; i < kFleetSizes.size(); ++i) {
    const double heap = HeapBytes();
    const int size = static_cast<int>(kFleetSizes[i]);
    fleet_world world(OneCentre(size, 1));
    world.StartAll();
    world.Run(seconds(30));
    memory.values[i] = (HeapBytes() - heap) / size;
    std::vector<std::uint64_t> before;
    std::uint64_t datagrams = 0;
    for (std::size_t one = 0; one < world.size(); ++one) {
      before.push_back(ControlBytes(world, one));
      datagrams += world.network().sent_messages(world.at(one).info.id);
    }
    const std::uint64_t calls_before = world.source().calls();
    const double cpu = CpuSeconds();
    world.PublishChange();
    world.Run(seconds(static_cast<int>(kSpanS / 2)));
    world.PublishChange();
    world.Run(seconds(static_cast<int>(kSpanS / 2)));
    core.values[i] = 100 * (CpuSeconds() - cpu) / (kSpanS * size);
    calls.values[i] =
        static_cast<double>(world.source().calls() - calls_before) / kSpanS;
    std::uint64_t sent = 0;
    for (std::size_t one = 0; one < world.size(); ++one) {
      const double rate =
          static_cast<double>(ControlBytes(world, one) - before[one]) / kSpanS;
      bytes.values[i] += rate / size;
      most.values[i] = std::max(most.values[i], rate);
      sent += world.network().sent_messages(world.at(one).info.id);
    }
    messages.values[i] =
        static_cast<double>(sent - datagrams) / (kSpanS * size);
    control_message request;
    request.from = world.at(1).info.id;
    request.body = sync_request{{}, true};
    table.values[i] = static_cast<double>(
        EncodedSize(world.at(0).plane->members().MakeSyncReply(request)));
  }
  for (const figure& one :
       {bytes, most, messages, core, memory, calls, table}) {
    Print(one);
  }
}

void MeasureOwnership() {
  figure owners{"owner of one key", "us", kFleetSizes, {}, kRegionMembers};
  for (std::size_t i = 0; i < kFleetSizes.size(); ++i) {
    fleet_view view;
    for (int n = 0; n < static_cast<int>(kFleetSizes[i]); ++n) {
      instance_info info;
      info.id = MakeInstanceId(std::to_string(n));
      info.region = "a";
      info.state = instance_state::kActive;
      view.instances.push_back(info);
    }
    const owner_ranking ranking(view, "a");
    std::uint64_t key = 0;
    owners.values[i] = Microseconds(20'000, [&] { ranking.Owners(++key); });
  }
  Print(owners);
}

configuration MakeConfiguration(int hosts) {
  constexpr int kHostsPerService = 10;
  configuration config;
  config.number = 1;
  config.data_centres = {{"a1", "a"}};
  for (int h = 0; h < hosts; ++h) {
    if (h % kHostsPerService == 0) {
      service_config service;
      service.name = "service-" + std::to_string(100'000 + h);
      const std::string address = "10." + std::to_string(64 + h / 62'500) +
                                  "." + std::to_string(h / 250 % 250) + "." +
                                  std::to_string(h % 250) + ":443";
      service.addresses = {ParseEndpoint(address).value()};
      config.services.push_back(service);
    }
    target_config target;
    target.name = "target-" + std::to_string(100'000 + h);
    target.address = ParseEndpoint("10.1." + std::to_string(h / 250) + "." +
                                   std::to_string(h % 250) + ":443")
                         .value();
    target.data_centre = "a1";
    config.services.back().targets.push_back(target);
  }
  return config;
}

void MeasureConfiguration() {
  figure snapshot{"snapshot", "B", kHostSizes, {}, kHosts};
  figure memory{"log and configuration", "B", kHostSizes, {}, kHosts};
  figure load{"snapshot taken in", "ms", kHostSizes, {}, kHosts};
  figure apply{"patch taken in", "ms", kHostSizes, {}, kHosts};
  for (std::size_t i = 0; i < kHostSizes.size(); ++i) {
    const configuration config =
        MakeConfiguration(static_cast<int>(kHostSizes[i]));
    const std::vector<log_entry> entries = MakeSnapshot(
        config, snapshot_kind::kPublished, 1, patch_log_limits{}.part_bytes);
    for (const log_entry& entry : entries) {
      snapshot.values[i] += static_cast<double>(entry.text.size());
    }
    const double heap = HeapBytes();
    patch_log log(nullptr);
    load.values[i] = Microseconds(1,
                                  [&] {
                                    for (const log_entry& entry : entries) {
                                      log.ApplyEntry(entry);
                                    }
                                  }) /
                     1'000;
    memory.values[i] = HeapBytes() - heap;
    const result<patch> change = SetTargetState(
        config, config.services[0].name, config.services[0].targets[0].name,
        target_state::kDraining);
    if (!change || log.Head().number != 1) {
      std::printf("the configuration is refused\n");
      continue;
    }
    const std::string text = FormatPatch(change.value());
    apply.values[i] = Microseconds(1,
                                   [&] {
                                     log.ApplyEntry({2, 0, 0, text});
                                   }) /
                      1'000;
  }
  for (const figure& one : {snapshot, memory, load, apply}) {
    Print(one);
  }
}

void MeasureMessage() {
  const peer_keys keys = {std::string(32, 'k')};
  peer_auth sender(MakeInstanceId("a"), keys, 1);
  peer_auth receiver(MakeInstanceId("b"), keys, 1);
  control_message message;
  message.from = MakeInstanceId("a");
  message.incarnation = 1'700'000'000'000;
  message.table_digest = ~std::uint64_t{0};
  message.body = ping{7};
  const double taken = Microseconds(20'000, [&] {
    const std::string sealed =
        sender.Seal(MakeInstanceId("b"), EncodeMessage(message));
    const result<opened_datagram> opened = receiver.Open(sealed);
    DecodeMessage(opened.value().from, opened.value().payload).value();
  });
  std::printf(
      "\nA ping sealed, opened and decoded: %.3g us; on the wire: %zu "
      "octets.\n",
      taken, EncodedSize(message) + kSealOverheadBytes + kIpUdpHeaderBytes);
}

}  // namespace
}  // namespace rosemaryreach::fakes

int main() {
  std::printf("| figure | unit | at | measured | slope | designed for |\n");
  std::printf("|---|---|---|---|---|---|\n");
  rosemaryreach::fakes::MeasureFleet();
  rosemaryreach::fakes::MeasureOwnership();
  rosemaryreach::fakes::MeasureConfiguration();
  rosemaryreach::fakes::MeasureMessage();
  return 0;
}
