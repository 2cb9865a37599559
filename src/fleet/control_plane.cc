#include "rosemaryreach/control_plane.h"

#include <algorithm>

namespace rosemaryreach {
namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kSyncSeed = 0x636f6e66;
constexpr std::uint32_t kNoticeIntervalMs = 200;

constexpr std::size_t kMaxPendingRequests = 16;

// Returns whether `body` may be sealed for an address, by a sender that doesn't
// know the receiver's id yet.
bool MayBeBoundToAddress(const control_body& body) {
  return std::holds_alternative<ping>(body) ||
         std::holds_alternative<link_ping>(body);
}

// Returns whether `body` is sent over gRPC only.
bool IsGrpcOnly(const control_body& body) {
  return std::holds_alternative<sync_request>(body) ||
         std::holds_alternative<sync_reply>(body) ||
         std::holds_alternative<log_request>(body) ||
         std::holds_alternative<log_reply>(body);
}

// Returns the entries of a log_reply, or the error of the request.
result<std::vector<log_entry>> TakeLogEntries(result<control_message> message) {
  if (!message) {
    return message.error();
  }
  if (auto* reply = std::get_if<log_reply>(&message.value().body)) {
    return std::move(reply->entries);
  }
  return Fail(errc::kUnsupported, "response to a log pull is not a log_reply");
}

}  // namespace

control_plane::control_plane(control_plane_options options,
                             const instance_info& self,
                             std::span<const endpoint> seeds,
                             peer_keys keys,
                             std::uint64_t first_sequence,
                             std::uint64_t seed,
                             accepted_handler on_accepted)
    : options_(options),
      self_(self),
      auth_(self.id,
            std::move(keys),
            first_sequence,
            {self.address, self.control_port}),
      queue_(options.queue),
      log_(std::move(on_accepted), options.log),
      membership_(options.membership, self, seeds, seed),
      sync_(options.configuration,
            log_,
            self.id,
            self.data_centre,
            HashPair(seed, kSyncSeed)) {}

control_plane::~control_plane() = default;

control_actions control_plane::Tick(time_point now) {
  if (!started_) {
    started_ = true;
    start_time_ = now;
  }
  ApplyActions(now, membership_.Tick(now));
  ApplyActions(now, sync_.Tick(now));
  MaybeReadLiveList(now);
  return FlushActions(now);
}

control_actions control_plane::OnDatagram(time_point now,
                                          const endpoint& source,
                                          std::string_view bytes) {
  if (bytes.size() > kMaxControlDatagramBytes) {
    ++counters_.oversized;
    return FlushActions(now);
  }
  const result<opened_datagram> opened = auth_.Open(bytes);
  if (!opened) {
    SendSequenceNotice(now, source);
    return FlushActions(now);
  }
  const opened_datagram& datagram = opened.value();
  const result<control_message> message =
      DecodeMessage(datagram.from, datagram.payload);
  if (!message) {
    ++counters_.undecodable;
  } else if ((!datagram.bound_to_id &&
              !MayBeBoundToAddress(message.value().body)) ||
             IsGrpcOnly(message.value().body)) {
    ++counters_.disallowed;
  } else {
    Receive(now, source, message.value());
  }
  return FlushActions(now);
}

// Notifies a peer whose sequence went back, as after a restart with a clock
// that is behind.
void control_plane::SendSequenceNotice(time_point now, const endpoint& source) {
  const instance_id sender = auth_.TakeRegressedSender();
  if (sender && now >= next_notice_) {
    next_notice_ = now + milliseconds(kNoticeIntervalMs);
    SealAndQueue(now, sender, source,
                 membership_.MakeControlMessage(
                     sequence_notice{auth_.HighestSequenceFrom(sender)}));
  }
}

void control_plane::Receive(time_point now,
                            const endpoint& source,
                            const control_message& message) {
  ApplyActions(now, membership_.OnMessage(now, source, message));
  contact peer{message.from, source, 0};
  const instance_info* known = FindInstance(membership_.view(), message.from);
  if (known != nullptr) {
    peer.grpc_port = known->grpc_port;
  }
  for (const data_centre_summary& summary : message.centres) {
    for (const contact& named : summary.contacts) {
      if (named.id == message.from) {
        peer.grpc_port = named.grpc_port;
      }
    }
  }
  configuration_digest digest{message.configuration_number,
                              message.configuration_sequence, 0, false};
  if (const auto* told = std::get_if<configuration_digest>(&message.body)) {
    digest = *told;
  } else if (const auto* notice = std::get_if<sequence_notice>(&message.body)) {
    auth_.RaiseSequence(notice->highest);
  } else if (const auto* flows = std::get_if<flow_state>(&message.body)) {
    out_.states.push_back({state_kind::kFlows, message.from, flows->payload});
  } else if (const auto* requests = std::get_if<request_state>(&message.body)) {
    out_.states.push_back(
        {state_kind::kRequests, message.from, requests->payload});
  }
  if (peer.grpc_port != 0) {
    ApplyActions(now, sync_.OnPeerDigest(now, peer, digest));
  }
}

control_actions control_plane::OnPlatformPage(
    time_point now,
    std::uint64_t token,
    const result<platform_page>& page) {
  ApplyActions(now, sync_.OnPlatformPage(now, token, page));
  return FlushActions(now);
}

control_actions control_plane::OnGrpcResponse(
    time_point now,
    std::uint64_t token,
    const result<std::string>& response) {
  const auto found =
      std::find_if(pending_requests_.begin(), pending_requests_.end(),
                   [token](const pending_request& request) {
                     return request.token == token;
                   });
  if (found == pending_requests_.end()) {
    return FlushActions(now);
  }
  const pending_request request = *found;
  pending_requests_.erase(found);
  result<control_message> message = OpenResponse(request, response);
  if (request.pull_token != 0) {
    ApplyActions(now, sync_.OnPulled(now, request.pull_token,
                                     TakeLogEntries(std::move(message))));
  } else if (message) {
    ApplyActions(
        now, membership_.OnMessage(now, request.peer.control, message.value()));
  }
  return FlushActions(now);
}

result<control_message> control_plane::OpenResponse(
    const pending_request& request,
    const result<std::string>& response) {
  if (!response) {
    return response.error();
  }
  BOOST_OUTCOME_TRY(opened, auth_.Open(response.value()));
  if (opened.from != request.peer.id || !opened.bound_to_id) {
    return Fail(errc::kUnauthenticated,
                "response is not from the requested instance");
  }
  return DecodeMessage(opened.from, opened.payload);
}

result<std::string> control_plane::OnGrpcRequest(time_point now,
                                                 std::string_view bytes) {
  BOOST_OUTCOME_TRY(opened, auth_.Open(bytes));
  if (!opened.bound_to_id) {
    return Fail(errc::kUnauthenticated,
                "request is sealed for an address instead of an instance id");
  }
  BOOST_OUTCOME_TRY(request, DecodeMessage(opened.from, opened.payload));
  if (std::holds_alternative<sync_request>(request.body)) {
    // A joining instance sends its own record with the request.
    for (const member_record& record : request.members) {
      const endpoint source{record.info.address, record.info.control_port};
      ApplyActions(now, membership_.OnMessage(now, source, request));
    }
    return auth_.Seal(opened.from,
                      EncodeMessage(membership_.MakeSyncReply(request)));
  }
  if (const auto* wanted = std::get_if<log_request>(&request.body)) {
    log_reply reply{log_.EntriesAfter(wanted->after, options_.pull_bytes)};
    return auth_.Seal(
        opened.from,
        EncodeMessage(membership_.MakeControlMessage(std::move(reply))));
  }
  return Fail(errc::kUnsupported, "message is not a sync or log request");
}

void control_plane::SendRequest(const contact& peer,
                                std::uint64_t pull_token,
                                const control_message& message) {
  if (pending_requests_.size() >= kMaxPendingRequests) {
    pending_requests_.erase(pending_requests_.begin());
  }
  const std::uint64_t token = next_request_token_++;
  pending_requests_.push_back({token, pull_token, peer});
  out_.grpc_requests.push_back({token,
                                {peer.control.address, peer.grpc_port},
                                auth_.Seal(peer.id, EncodeMessage(message))});
}

void control_plane::OnLiveList(std::span<const listed_instance> instances) {
  std::vector<instance_info> hints;
  for (const listed_instance& live : instances) {
    if (live.state != listed_instance_state::kLive || live.name == self_.name) {
      continue;
    }
    instance_info info;
    info.id = MakeInstanceId(live.name);
    info.name = live.name;
    info.data_centre = live.data_centre;
    info.region = live.region;
    info.address = live.address;
    info.control_port = live.control_port;
    info.grpc_port = live.grpc_port;
    hints.push_back(std::move(info));
  }
  membership_.OnLiveList(hints);
}

control_actions control_plane::SetState(time_point now, instance_state state) {
  ApplyActions(now, membership_.SetState(now, state));
  return FlushActions(now);
}

control_actions control_plane::Leave(time_point now) {
  ApplyActions(now, membership_.Leave());
  return FlushActions(now);
}

result<void> control_plane::SendState(time_point now,
                                      state_kind kind,
                                      instance_id to,
                                      std::string_view payload) {
  if (payload.size() > kMaxStatePayloadBytes) {
    return Fail(errc::kTooLarge, "state of " + std::to_string(payload.size()) +
                                     " octets exceeds one datagram");
  }
  const instance_info* peer = FindInstance(membership_.view(), to);
  if (peer == nullptr) {
    return Fail(errc::kNotFound, "peer is not a live instance of the view");
  }
  control_body body = flow_state{std::string(payload)};
  if (kind == state_kind::kRequests) {
    body = request_state{std::string(payload)};
  }
  SealAndQueue(now, to, {peer->address, peer->control_port},
               membership_.MakeControlMessage(std::move(body)));
  return success();
}

std::string control_plane::WaitingFor() const {
  if (!membership_.trusted()) {
    return "answers of other instances";
  }
  return sync_.WaitingFor();
}

void control_plane::ApplyActions(time_point now,
                                 const membership_actions& actions) {
  for (const outgoing_message& outgoing : actions.send) {
    SealAndQueue(now, outgoing.to, outgoing.address, outgoing.message);
  }
  for (const outgoing_sync_request& request : actions.sync_requests) {
    SendRequest(request.peer, 0, request.message);
  }
  if (actions.view_changed) {
    out_.view_changed = true;
    sync_.OnView(membership_.view(), membership_.LinkPeers());
  }
}

void control_plane::ApplyActions(time_point now,
                                 std::vector<config_sync_action> actions) {
  AnnounceHead(now);
  for (config_sync_action& action : actions) {
    if (const auto* read = std::get_if<read_platform>(&action)) {
      out_.reads.push_back(*read);
    } else if (const auto* pull = std::get_if<pull_from_peer>(&action)) {
      SendRequest(pull->peer, pull->token,
                  membership_.MakeControlMessage(log_request{pull->after}));
    } else if (const auto* push = std::get_if<push_digest>(&action)) {
      SealAndQueue(now, push->peer.id, push->peer.control,
                   membership_.MakeControlMessage(push->digest));
    } else if (auto* refused = std::get_if<refused_entry>(&action)) {
      out_.refused_entries.push_back(std::move(refused->outcome));
    }
  }
}

void control_plane::AnnounceHead(time_point now) {
  const log_head head = log_.Head();
  if (head == announced_head_) {
    return;
  }
  announced_head_ = head;
  ApplyActions(now,
               membership_.SetConfiguration(now, head.number, head.sequence));
}

void control_plane::SealAndQueue(time_point now,
                                 instance_id to,
                                 const endpoint& address,
                                 const control_message& message) {
  const std::string encoded = EncodeMessage(message);
  std::string bytes =
      to ? auth_.Seal(to, encoded) : auth_.SealByAddress(address, encoded);
  if (bytes.size() > kMaxControlDatagramBytes) {
    ++counters_.oversized;
    return;
  }
  queued_datagram datagram{address, PriorityOf(message), std::move(bytes)};
  // Sent without the budget: request state is part of serving a request, and
  // the rate of requests bounds it.
  if (std::holds_alternative<request_state>(message.body)) {
    out_.send.push_back(std::move(datagram));
    return;
  }
  queue_.Push(now, std::move(datagram));
}

// Requests the list of live instances: while joining if the seeds don't answer,
// and periodically on watchers.
void control_plane::MaybeReadLiveList(time_point now) {
  const bool waiting =
      !membership_.trusted() &&
      now - start_time_ >= milliseconds(options_.seeds_wait_ms);
  const bool due = waiting || sync_.IsWatcher();
  if (now >= next_live_list_ && due) {
    next_live_list_ = now + milliseconds(options_.live_list_ms);
    out_.read_live_list = true;
  }
}

control_actions control_plane::FlushActions(time_point now) {
  for (queued_datagram& datagram : queue_.Pop(now)) {
    out_.send.push_back(std::move(datagram));
  }
  control_actions actions = std::move(out_);
  out_ = {};
  return actions;
}

}  // namespace rosemaryreach
