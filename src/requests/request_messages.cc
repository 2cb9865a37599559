#include "rosemaryreach/request_messages.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include "request.pb.h"

namespace rosemaryreach {
namespace {

void Write(const handover_request& from, request::Message& out) {
  request::HandoverRequest& to = *out.mutable_handover_request();
  to.set_target(from.target.value);
  to.set_nonce(from.nonce);
}

void Write(const handover_grant& from, request::Message& out) {
  request::HandoverGrant& to = *out.mutable_handover_grant();
  to.set_target(from.target.value);
  to.set_nonce(from.nonce);
  to.set_holder(from.holder.value);
  to.set_running(from.running);
  to.set_ends_in(from.ends_in.count());
  if (from.warm_percent) {
    to.set_warm_percent(*from.warm_percent);
  }
}

void Write(const slot_released& from, request::Message& out) {
  request::SlotReleased& to = *out.mutable_slot_released();
  to.set_target(from.target.value);
  to.set_nonce(from.nonce);
  to.set_running(from.running);
}

void Write(const key_reserve& from, request::Message& out) {
  request::KeyReserve& to = *out.mutable_key_reserve();
  to.set_key(from.key);
  to.set_request(from.request.value);
  to.set_ends_in(from.ends_in.count());
  to.set_window(from.window.count());
}

void Write(const key_reply& from, request::Message& out) {
  request::KeyReply& to = *out.mutable_key_reply();
  to.set_key(from.key);
  to.set_request(from.request.value);
  to.set_verdict(static_cast<std::uint32_t>(from.verdict));
}

void Write(const key_finish& from, request::Message& out) {
  request::KeyFinish& to = *out.mutable_key_finish();
  to.set_key(from.key);
  to.set_request(from.request.value);
  to.set_run(static_cast<std::uint32_t>(from.run));
}

void WriteRecord(const key_record& from, request::KeyRecord& to) {
  to.set_key(from.key);
  to.set_version(from.version);
  to.set_holder(from.holder.value);
  to.set_request(from.request.value);
  to.set_state(static_cast<std::uint32_t>(from.state));
  to.set_ends_in(from.ends_in.count());
  to.set_window(from.window.count());
}

void Write(const key_copy& from, request::Message& out) {
  WriteRecord(from.record, *out.mutable_key_copy());
}

void Write(const key_copied& from, request::Message& out) {
  request::KeyCopied& to = *out.mutable_key_copied();
  to.set_key(from.key);
  to.set_version(from.version);
  to.set_accepted(from.accepted);
}

void Write(const key_pull& from, request::Message& out) {
  request::KeyPull& to = *out.mutable_key_pull();
  to.set_nonce(from.nonce);
  to.set_candidates_digest(from.candidates_digest);
}

void Write(const key_transfer& from, request::Message& out) {
  request::KeyTransfer& to = *out.mutable_key_transfer();
  to.set_nonce(from.nonce);
  to.set_part(from.part);
  to.set_parts(from.parts);
  for (const key_record& record : from.records) {
    WriteRecord(record, *to.add_records());
  }
}

// Longest time in a message: sums with points in time must not wrap.
constexpr duration kMaxTime = std::chrono::hours(24 * 365);

bool IsBounded(duration time) {
  return time >= -kMaxTime && time <= kMaxTime;
}

bool HasBoundedTimes(const key_record& record) {
  return IsBounded(record.ends_in) && IsBounded(record.window);
}

bool HasBoundedTimes(const handover_grant& message) {
  return IsBounded(message.ends_in);
}

bool HasBoundedTimes(const key_reserve& message) {
  return IsBounded(message.ends_in) && IsBounded(message.window);
}

bool HasBoundedTimes(const key_copy& message) {
  return HasBoundedTimes(message.record);
}

bool HasBoundedTimes(const key_transfer& message) {
  return std::all_of(
      message.records.begin(), message.records.end(),
      [](const key_record& record) { return HasBoundedTimes(record); });
}

// Messages of the other kinds hold no times.
template <typename Message>
bool HasBoundedTimes(const Message&) {
  return true;
}

// Returns `value` as Enum, or errc::kSchemaViolation if it is above `last`.
template <typename Enum>
result<Enum> ReadEnum(std::uint32_t value, Enum last) {
  if (value > static_cast<std::uint32_t>(last)) {
    return Fail(
        errc::kSchemaViolation,
        "request message: enum value out of range: " + std::to_string(value));
  }
  return static_cast<Enum>(value);
}

handover_grant Read(const request::HandoverGrant& from) {
  handover_grant to;
  to.target = {from.target()};
  to.nonce = from.nonce();
  to.holder = {from.holder()};
  to.running = from.running();
  to.ends_in = duration(from.ends_in());
  if (from.has_warm_percent()) {
    to.warm_percent = from.warm_percent();
  }
  return to;
}

result<request_message> Read(const request::KeyReply& from) {
  BOOST_OUTCOME_TRY(verdict,
                    ReadEnum(from.verdict(), key_verdict::kUnavailable));
  return key_reply{from.key(), {from.request()}, verdict};
}

result<request_message> Read(const request::KeyFinish& from) {
  BOOST_OUTCOME_TRY(run, ReadEnum(from.run(), run_state::kUnknown));
  return key_finish{from.key(), {from.request()}, run};
}

result<key_record> Read(const request::KeyRecord& from) {
  BOOST_OUTCOME_TRY(state, ReadEnum(from.state(), key_state::kUnknown));
  return key_record{from.key(),
                    from.version(),
                    {from.holder()},
                    {from.request()},
                    state,
                    duration(from.ends_in()),
                    duration(from.window())};
}

result<request_message> Read(const request::KeyTransfer& from) {
  key_transfer to{from.nonce(), from.part(), from.parts(), {}};
  for (const request::KeyRecord& encoded : from.records()) {
    BOOST_OUTCOME_TRY(record, Read(encoded));
    to.records.push_back(record);
  }
  return to;
}

result<request_message> ReadBody(const request::Message& in) {
  switch (in.body_case()) {
    case request::Message::kHandoverRequest:
      return handover_request{{in.handover_request().target()},
                              in.handover_request().nonce()};
    case request::Message::kHandoverGrant:
      return Read(in.handover_grant());
    case request::Message::kSlotReleased:
      return slot_released{{in.slot_released().target()},
                           in.slot_released().nonce(),
                           in.slot_released().running()};
    case request::Message::kKeyReserve:
      return key_reserve{in.key_reserve().key(),
                         {in.key_reserve().request()},
                         duration(in.key_reserve().ends_in()),
                         duration(in.key_reserve().window())};
    case request::Message::kKeyReply:
      return Read(in.key_reply());
    case request::Message::kKeyFinish:
      return Read(in.key_finish());
    case request::Message::kKeyCopy: {
      BOOST_OUTCOME_TRY(record, Read(in.key_copy()));
      return key_copy{record};
    }
    case request::Message::kKeyCopied:
      return key_copied{in.key_copied().key(), in.key_copied().version(),
                        in.key_copied().accepted()};
    case request::Message::kKeyPull:
      return key_pull{in.key_pull().nonce(), in.key_pull().candidates_digest()};
    case request::Message::kKeyTransfer:
      return Read(in.key_transfer());
    case request::Message::BODY_NOT_SET:
      break;
  }
  return Fail(errc::kSchemaViolation,
              "request message: body missing or of unknown kind");
}

}  // namespace

std::string EncodeRequestMessage(const request_message& message) {
  request::Message out;
  std::visit([&out](const auto& body) { Write(body, out); }, message);
  return out.SerializeAsString();
}

result<request_message> DecodeRequestMessage(std::string_view bytes) {
  request::Message in;
  if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(errc::kSchemaViolation, "request message: malformed protobuf");
  }
  BOOST_OUTCOME_TRY(message, ReadBody(in));
  const bool bounded = std::visit(
      [](const auto& body) { return HasBoundedTimes(body); }, message);
  if (!bounded) {
    return Fail(errc::kSchemaViolation, "request message: time out of range");
  }
  return message;
}

}  // namespace rosemaryreach
