#include "rosemaryreach/flow_messages.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>

#include "flow.pb.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kHashBytes = 6;
constexpr std::size_t kMaxFixedBytes = 64;
constexpr std::size_t kMaxBucketBytes = 9;
constexpr std::size_t kMaxPinBytes = 8;
constexpr std::size_t kMaxConditionBytes = 14;
constexpr std::size_t kMaxTargetIdBytes = 8;

// Returns the index of `id` in the message's target_ids; adds it if missing.
std::uint32_t FindOrAddTargetId(flow::Message& out, std::uint64_t id) {
  const auto found =
      std::find(out.target_ids().begin(), out.target_ids().end(), id);
  const auto index = found - out.target_ids().begin();
  if (found == out.target_ids().end()) {
    out.add_target_ids(id);
  }
  return static_cast<std::uint32_t>(index);
}

void AddPin(flow::Message& out, const pin_record& pin) {
  for (std::size_t i = 0; i < kHashBytes; ++i) {
    out.mutable_pin_hashes()->push_back(
        static_cast<char>(pin.flow_hash >> (8 * i)));
  }
  out.add_pin_target(FindOrAddTargetId(out, pin.target));
}

std::uint64_t LoadHash(std::string_view bytes) {
  std::uint64_t hash = 0;
  for (std::size_t i = 0; i < kHashBytes; ++i) {
    hash |= static_cast<std::uint64_t>(static_cast<std::uint8_t>(bytes[i]))
            << (8 * i);
  }
  return hash;
}

bool IsWellFormed(const flow::Message& in) {
  const int buckets = in.bucket_size();
  const int targets = in.condition_target_size();
  const auto in_range = [&](std::uint32_t index) {
    return index < static_cast<std::uint32_t>(in.target_ids_size());
  };
  return in.kind() <= static_cast<int>(flow_message_kind::kTargetConditions) &&
         in.worker() <= 0xffff && in.part() < in.parts() &&
         in.parts() <= 0xffff && in.bucket_floor_size() == buckets &&
         in.bucket_pins_size() == buckets && in.bucket_open_size() == buckets &&
         in.pin_hashes().size() == kHashBytes * in.pin_target_size() &&
         in.condition_epoch_size() == targets &&
         in.condition_size() == targets &&
         std::all_of(in.bucket_floor().begin(), in.bucket_floor().end(),
                     in_range) &&
         std::all_of(in.pin_target().begin(), in.pin_target().end(),
                     in_range) &&
         std::all_of(in.condition().begin(), in.condition().end(),
                     [](std::uint32_t value) {
                       return value <=
                              static_cast<int>(target_condition::kDead);
                     });
}

}  // namespace

std::string EncodeFlowMessage(const flow_message& message) {
  flow::Message out;
  out.set_kind(static_cast<std::uint32_t>(message.kind));
  out.set_worker(message.worker);
  out.set_number(message.configuration_number);
  out.set_service(message.service);
  out.set_part(message.part);
  out.set_parts(message.parts);
  for (const bucket_record& record : message.buckets) {
    out.add_bucket(record.bucket);
    out.add_bucket_floor(FindOrAddTargetId(out, record.unpinned_target));
    out.add_bucket_pins(record.pins);
    out.add_bucket_open(record.open);
  }
  for (const pin_record& pin : message.pins) {
    AddPin(out, pin);
  }
  for (const target_record& record : message.targets) {
    out.add_condition_target(record.target);
    out.add_condition_epoch(record.epoch);
    out.add_condition(static_cast<std::uint32_t>(record.condition));
  }
  return out.SerializeAsString();
}

result<flow_message> DecodeFlowMessage(std::span<const std::uint8_t> bytes) {
  flow::Message in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) ||
      !IsWellFormed(in)) {
    return Fail(errc::kSchemaViolation, "malformed flow message");
  }
  flow_message message;
  message.kind = static_cast<flow_message_kind>(in.kind());
  message.worker = static_cast<std::uint16_t>(in.worker());
  message.configuration_number = in.number();
  message.service = in.service();
  message.part = static_cast<std::uint16_t>(in.part());
  message.parts = static_cast<std::uint16_t>(in.parts());
  for (int i = 0; i < in.bucket_size(); ++i) {
    const int unpinned_target = static_cast<int>(in.bucket_floor(i));
    message.buckets.push_back({in.bucket(i), in.target_ids(unpinned_target),
                               in.bucket_pins(i), in.bucket_open(i)});
  }
  const std::string_view hashes = in.pin_hashes();
  for (int i = 0; i < in.pin_target_size(); ++i) {
    const int target = static_cast<int>(in.pin_target(i));
    message.pins.push_back(
        {LoadHash(hashes.substr(kHashBytes * i)), in.target_ids(target)});
  }
  for (int i = 0; i < in.condition_target_size(); ++i) {
    message.targets.push_back({in.condition_target(i), in.condition_epoch(i),
                               static_cast<target_condition>(in.condition(i))});
  }
  return message;
}

std::size_t MaxEncodedBytes(const flow_message& message) {
  absl::flat_hash_set<std::uint64_t> targets;
  for (const pin_record& pin : message.pins) {
    targets.insert(pin.target);
  }
  for (const bucket_record& bucket : message.buckets) {
    targets.insert(bucket.unpinned_target);
  }
  return kMaxFixedBytes + targets.size() * kMaxTargetIdBytes +
         message.buckets.size() * kMaxBucketBytes +
         message.pins.size() * kMaxPinBytes +
         message.targets.size() * kMaxConditionBytes;
}

}  // namespace rosemaryreach
