#include "rosemaryreach/control_messages.h"

#include <algorithm>

#include "peer.pb.h"

namespace rosemaryreach {
namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxContacts = 8;
constexpr std::uint32_t kMaxPort = 65'535;
constexpr std::size_t kV4Bytes = 4;
constexpr std::size_t kV4Offset = 12;

template <typename... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

std::string PackAddress(const ip_address& address) {
  const std::size_t skip = address.is_v4() ? kV4Offset : 0;
  return {address.bytes.begin() + skip, address.bytes.end()};
}

bool UnpackAddress(const std::string& bytes, ip_address& address) {
  if (bytes.size() == address.bytes.size()) {
    std::copy(bytes.begin(), bytes.end(), address.bytes.begin());
    return true;
  }
  if (bytes.size() != kV4Bytes) {
    return false;
  }
  address.bytes.fill(0);
  address.bytes[10] = 0xff;
  address.bytes[11] = 0xff;
  std::copy(bytes.begin(), bytes.end(), address.bytes.begin() + kV4Offset);
  return true;
}

bool IsPort(std::uint32_t value) {
  return value <= kMaxPort;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

void Pack(const member_record& record, wire::Member& out) {
  const instance_info& info = record.info;
  out.set_id(info.id.value);
  out.set_incarnation(info.incarnation);
  out.set_revision(record.revision);
  out.set_state(static_cast<std::uint32_t>(info.state));
  out.set_health(static_cast<std::uint32_t>(record.health));
  out.set_configuration_number(info.configuration_number);
  if (record.compact) {
    return;
  }
  out.set_name(info.name);
  out.set_data_centre(info.data_centre);
  out.set_region(info.region);
  out.set_address(PackAddress(info.address));
  out.set_control_port(info.control_port);
  out.set_detour_port(info.detour_port);
  out.set_request_port(info.request_port);
  out.set_grpc_port(info.grpc_port);
  out.set_packet_workers(info.packet_workers);
}

bool UnpackInstanceInfo(const wire::Member& in, instance_info& info) {
  const bool valid = IsName(in.name()) && IsName(in.data_centre()) &&
                     IsName(in.region()) && IsPort(in.control_port()) &&
                     IsPort(in.detour_port()) && IsPort(in.request_port()) &&
                     IsPort(in.grpc_port()) && IsPort(in.packet_workers()) &&
                     UnpackAddress(in.address(), info.address);
  if (!valid) {
    return false;
  }
  info.name = in.name();
  info.data_centre = in.data_centre();
  info.region = in.region();
  info.control_port = static_cast<std::uint16_t>(in.control_port());
  info.detour_port = static_cast<std::uint16_t>(in.detour_port());
  info.request_port = static_cast<std::uint16_t>(in.request_port());
  info.grpc_port = static_cast<std::uint16_t>(in.grpc_port());
  info.packet_workers = static_cast<std::uint16_t>(in.packet_workers());
  return MakeInstanceId(info.name) == info.id;
}

bool Unpack(const wire::Member& in, member_record& record) {
  instance_info& info = record.info;
  info.id.value = in.id();
  info.incarnation = in.incarnation();
  info.configuration_number = in.configuration_number();
  record.revision = in.revision();
  record.compact = in.name().empty();
  if (in.state() > static_cast<std::uint32_t>(instance_state::kLeaving) ||
      in.health() > static_cast<std::uint32_t>(liveness::kLeft) || !info.id) {
    return false;
  }
  info.state = static_cast<instance_state>(in.state());
  record.health = static_cast<liveness>(in.health());
  return record.compact || UnpackInstanceInfo(in, info);
}

void Pack(const data_centre_summary& summary, wire::CentreSummary& out) {
  out.set_data_centre(summary.data_centre);
  out.set_region(summary.region);
  out.set_version(summary.version);
  out.set_minimum_number(summary.minimum_number);
  out.set_highest_number(summary.highest_number);
  out.set_members_digest(summary.members_digest);
  for (const contact& peer : summary.contacts) {
    wire::Contact& packed = *out.add_contacts();
    packed.set_id(peer.id.value);
    packed.set_address(PackAddress(peer.control.address));
    packed.set_control_port(peer.control.port);
    packed.set_grpc_port(peer.grpc_port);
  }
}

bool Unpack(const wire::CentreSummary& in, data_centre_summary& summary) {
  if (!IsName(in.data_centre()) || !IsName(in.region()) ||
      static_cast<std::size_t>(in.contacts_size()) > kMaxContacts) {
    return false;
  }
  summary.data_centre = in.data_centre();
  summary.region = in.region();
  summary.version = in.version();
  summary.minimum_number = in.minimum_number();
  summary.highest_number = in.highest_number();
  summary.members_digest = in.members_digest();
  for (const wire::Contact& packed : in.contacts()) {
    contact peer;
    peer.id.value = packed.id();
    if (!UnpackAddress(packed.address(), peer.control.address) ||
        !IsPort(packed.control_port()) || !IsPort(packed.grpc_port())) {
      return false;
    }
    peer.control.port = static_cast<std::uint16_t>(packed.control_port());
    peer.grpc_port = static_cast<std::uint16_t>(packed.grpc_port());
    summary.contacts.push_back(peer);
  }
  return true;
}

void Pack(const link_vote& vote, wire::LinkVote& out) {
  out.set_voter(vote.voter.value);
  out.set_data_centre(vote.data_centre);
  out.set_version(vote.version);
  out.set_up(vote.up);
}

bool Unpack(const wire::LinkVote& in, link_vote& vote) {
  vote.voter.value = in.voter();
  vote.data_centre = in.data_centre();
  vote.version = in.version();
  vote.up = in.up();
  return IsName(vote.data_centre) && vote.voter;
}

void PackBody(const control_body& body, wire::Datagram& out) {
  std::visit(
      overloaded{
          [&](const ping& b) { out.mutable_ping()->set_sequence(b.sequence); },
          [&](const ack& b) {
            out.mutable_ack()->set_sequence(b.sequence);
            out.mutable_ack()->set_subject(b.subject.value);
          },
          [&](const ping_request& b) {
            out.mutable_ping_request()->set_sequence(b.sequence);
            out.mutable_ping_request()->set_subject(b.subject.value);
          },
          [&](const gossip&) { out.mutable_gossip(); },
          [&](const sync_request& b) {
            wire::SyncRequest& request = *out.mutable_sync_request();
            request.set_joining(b.joining);
            if (!b.joining) {
              request.mutable_digests()->Add(b.digests.begin(),
                                             b.digests.end());
            }
          },
          [&](const sync_reply& b) {
            out.mutable_sync_reply()->set_trusted(b.trusted);
          },
          [&](const log_request& b) {
            wire::LogRequest& request = *out.mutable_log_request();
            request.set_sequence(b.after.sequence);
            request.set_snapshot_sequence(b.after.snapshot_sequence);
            request.set_parts(b.after.parts);
          },
          [&](const log_reply& b) {
            wire::LogReply& reply = *out.mutable_log_reply();
            for (const log_entry& entry : b.entries) {
              wire::LogEntry& packed = *reply.add_entries();
              packed.set_sequence(entry.sequence);
              packed.set_part(entry.part);
              packed.set_parts(entry.parts);
              packed.set_text(entry.text);
            }
          },
          [&](const link_ping& b) {
            out.mutable_link_ping()->set_sequence(b.sequence);
            out.mutable_link_ping()->set_known(b.known_version);
          },
          [&](const link_ack& b) {
            out.mutable_link_ack()->set_sequence(b.sequence);
          },
          [&](const configuration_digest& b) {
            wire::ConfigurationDigest& digest =
                *out.mutable_configuration_digest();
            digest.set_number(b.number);
            digest.set_sequence(b.sequence);
            digest.set_content(b.content);
            digest.set_watch_answered(b.watch_answered);
          },
          [&](const sequence_notice& b) {
            out.mutable_sequence_notice()->set_highest(b.highest);
          },
          [&](const flow_state& b) {
            out.mutable_flow_state()->set_payload(b.payload);
          },
          [&](const request_state& b) {
            out.mutable_request_state()->set_payload(b.payload);
          }},
      body);
}

bool UnpackSyncRequest(const wire::SyncRequest& in, control_body& body) {
  sync_request request;
  request.joining = in.joining();
  if (!request.joining) {
    if (static_cast<std::size_t>(in.digests_size()) != kTableBuckets) {
      return false;
    }
    std::copy(in.digests().begin(), in.digests().end(),
              request.digests.begin());
  }
  body = request;
  return true;
}

log_reply UnpackEntries(const wire::LogReply& in) {
  log_reply reply;
  for (const wire::LogEntry& packed : in.entries()) {
    reply.entries.push_back(
        {packed.sequence(), packed.part(), packed.parts(), packed.text()});
  }
  return reply;
}

bool UnpackBody(const wire::Datagram& in, control_body& body) {
  switch (in.body_case()) {
    case wire::Datagram::kPing:
      body = ping{in.ping().sequence()};
      return true;
    case wire::Datagram::kAck:
      body = ack{in.ack().sequence(), {in.ack().subject()}};
      return true;
    case wire::Datagram::kPingRequest:
      body = ping_request{in.ping_request().sequence(),
                          {in.ping_request().subject()}};
      return true;
    case wire::Datagram::kGossip:
      body = gossip{};
      return true;
    case wire::Datagram::kSyncRequest:
      return UnpackSyncRequest(in.sync_request(), body);
    case wire::Datagram::kSyncReply:
      body = sync_reply{in.sync_reply().trusted()};
      return true;
    case wire::Datagram::kLogRequest:
      body = log_request{{in.log_request().sequence(),
                          in.log_request().snapshot_sequence(),
                          in.log_request().parts()}};
      return true;
    case wire::Datagram::kLogReply:
      body = UnpackEntries(in.log_reply());
      return true;
    case wire::Datagram::kLinkPing:
      body = link_ping{in.link_ping().sequence(), in.link_ping().known()};
      return true;
    case wire::Datagram::kLinkAck:
      body = link_ack{in.link_ack().sequence()};
      return true;
    case wire::Datagram::kConfigurationDigest: {
      const wire::ConfigurationDigest& digest = in.configuration_digest();
      body = configuration_digest{digest.number(), digest.sequence(),
                                  digest.content(), digest.watch_answered()};
      return true;
    }
    case wire::Datagram::kSequenceNotice:
      body = sequence_notice{in.sequence_notice().highest()};
      return true;
    case wire::Datagram::kFlowState:
      body = flow_state{in.flow_state().payload()};
      return true;
    case wire::Datagram::kRequestState:
      body = request_state{in.request_state().payload()};
      return true;
    case wire::Datagram::BODY_NOT_SET:
      return false;
  }
  return false;
}

void PackDatagram(const control_message& message, wire::Datagram& out) {
  out.set_incarnation(message.incarnation);
  out.set_configuration_number(message.configuration_number);
  out.set_configuration_sequence(message.configuration_sequence);
  out.set_table_digest(message.table_digest);
  out.set_votes_digest(message.votes_digest);
  out.set_live_count(message.live_count);
  PackBody(message.body, out);
  for (const member_record& record : message.members) {
    Pack(record, *out.add_members());
  }
  for (const data_centre_summary& summary : message.centres) {
    Pack(summary, *out.add_centres());
  }
  for (const link_vote& vote : message.votes) {
    Pack(vote, *out.add_votes());
  }
}

// Unpacks each element of `in` into `out`; returns whether all were valid.
template <typename Packed, typename Item>
bool UnpackAll(const Packed& in, std::vector<Item>& out) {
  out.resize(static_cast<std::size_t>(in.size()));
  for (std::size_t i = 0; i < out.size(); ++i) {
    if (!Unpack(in[static_cast<int>(i)], out[i])) {
      return false;
    }
  }
  return true;
}

}  // namespace

std::string EncodeMessage(const control_message& message) {
  wire::Datagram datagram;
  PackDatagram(message, datagram);
  return datagram.SerializeAsString();
}

std::size_t EncodedSize(const control_message& message) {
  wire::Datagram datagram;
  PackDatagram(message, datagram);
  return datagram.ByteSizeLong();
}

result<control_message> DecodeMessage(instance_id from,
                                      std::string_view bytes) {
  wire::Datagram datagram;
  if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return Fail(errc::kTruncated, "control message is truncated or malformed");
  }
  control_message message;
  message.from = from;
  message.incarnation = datagram.incarnation();
  message.configuration_number = datagram.configuration_number();
  message.configuration_sequence = datagram.configuration_sequence();
  message.table_digest = datagram.table_digest();
  message.votes_digest = datagram.votes_digest();
  message.live_count = datagram.live_count();
  if (!UnpackBody(datagram, message.body)) {
    return Fail(errc::kUnsupported, "no known body in the control message");
  }
  if (!UnpackAll(datagram.members(), message.members) ||
      !UnpackAll(datagram.centres(), message.centres) ||
      !UnpackAll(datagram.votes(), message.votes)) {
    return Fail(errc::kUnsupported,
                "control message has a record with an invalid value");
  }
  return message;
}

control_priority PriorityOf(const control_message& message) {
  return std::visit(
      overloaded{
          [](const ping&) { return control_priority::kProbes; },
          [](const ack&) { return control_priority::kProbes; },
          [](const ping_request&) { return control_priority::kProbes; },
          [](const link_ping&) { return control_priority::kProbes; },
          [](const link_ack&) { return control_priority::kProbes; },
          [](const sequence_notice&) { return control_priority::kProbes; },
          [](const gossip&) { return control_priority::kOwnership; },
          [](const sync_request&) { return control_priority::kOwnership; },
          [](const sync_reply&) { return control_priority::kOwnership; },
          [](const log_request&) { return control_priority::kDigests; },
          [](const log_reply&) { return control_priority::kDigests; },
          [](const flow_state&) { return control_priority::kPins; },
          [](const request_state&) { return control_priority::kPins; },
          [](const configuration_digest&) {
            return control_priority::kDigests;
          }},
      message.body);
}

std::string_view KindName(const control_message& message) {
  static constexpr std::array<std::string_view,
                              std::variant_size_v<control_body>>
      kNames = {"ping",
                "ack",
                "ping_request",
                "gossip",
                "sync_request",
                "sync_reply",
                "log_request",
                "log_reply",
                "link_ping",
                "link_ack",
                "configuration_digest",
                "sequence_notice",
                "flow_state",
                "request_state"};
  return kNames[message.body.index()];
}

}  // namespace rosemaryreach
