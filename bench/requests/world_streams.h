// The streams of request_world: what the HTTP/2 adapter would do between
// routers, targets and callers. Included by request_world.h alone.
#ifndef ROSEMARYREACH_BENCH_REQUESTS_WORLD_STREAMS_H_
#define ROSEMARYREACH_BENCH_REQUESTS_WORLD_STREAMS_H_

#include "requests/request_world.h"

namespace rosemaryreach::bench {

inline void request_world::Do(world_node& node, const dispatch_action& action) {
  world_target* target = nullptr;
  for (world_target& one : targets_) {
    target = one.id == action.target ? &one : target;
  }
  ++attempts_;
  ++dispatches_[target->data_centre];
  const std::uint64_t id = next_stream_++;
  node.streams[action.attempt.value] = id;
  target_stream& stream = target_streams_[id];
  stream = {&node,
            node.epoch,
            action.attempt,
            target,
            node.requests[action.request.value].request,
            queue_.now()};
  const auto silent =
      silent_until_.find({node.info.id.value, target->id.value});
  if (silent != silent_until_.end() && silent->second > queue_.now()) {
    stream.silent = true;
    LoseLater(id, silent->second - queue_.now());
    if (random_() % 2 == 0) {
      return;
    }
  }
  if (node.targets_part != target->part) {
    queue_.After(options_.silence_limit, [this, id] {
      AtNode(id,
             [this, id] { EndStream(id, attempt_outcome::kTargetNotReached); });
    });
    return;
  }
  queue_.After(Latency(node.info.data_centre, target->data_centre),
               [this, id, timeout = action.timeout] { Reach(id, timeout); });
}

inline void request_world::Reach(std::uint64_t id, duration timeout) {
  const auto found = target_streams_.find(id);
  if (found == target_streams_.end()) {
    return;
  }
  target_stream& stream = found->second;
  fake_target& fake = *stream.target->fake;
  if (fake.mode() == target_mode::kDown) {
    AtNode(id,
           [this, id] { EndStream(id, attempt_outcome::kTargetNotReached); });
    return;
  }
  const std::uint64_t before = fake.counts().above_bearing;
  const target_work work{id, stream.request.kind, stream.request.service_time,
                         timeout};
  const std::uint64_t uid = stream.request.uid;
  const std::uint64_t key = stream.request.key;
  world_target& target = *stream.target;
  const time_point sent_at = stream.sent_at;
  if (fake.Start(work) && on_run) {
    on_run(uid, key);
  }
  const bool above = fake.counts().above_bearing > before;
  if (above && target.signed_at && sent_at > *target.signed_at) {
    ++target.above_bearing_after_sign;
  }
}

inline void request_world::OnTargetAnswer(std::uint64_t id,
                                          attempt_outcome end) {
  const auto found = target_streams_.find(id);
  if (found == target_streams_.end() || found->second.silent) {
    return;
  }
  const duration delay = Between(duration::zero(), options_.answer_delay);
  queue_.After(delay, [this, id, end] {
    AtNode(id, [this, id, end] { TakeAnswer(id, end); });
  });
  if (Chance(options_.answer_duplication)) {
    RepeatAnswer(found->second, delay * 2);
  }
}

inline void request_world::RepeatAnswer(const target_stream& stream,
                                        duration delay) {
  queue_.After(delay + options_.silence_limit, [this, stream] {
    world_node& node = *stream.node;
    if (node.epoch != stream.epoch ||
        node.streams.contains(stream.attempt.value)) {
      return;
    }
    Handle(node,
           node.router->OnAttemptHeaders(queue_.now(), stream.attempt, false));
    EndAttempt(node, stream.attempt, attempt_outcome::kDone, stream.request.uid,
               std::nullopt);
  });
}

inline void request_world::TakeAnswer(std::uint64_t id, attempt_outcome end) {
  const auto found = target_streams_.find(id);
  if (found == target_streams_.end()) {
    return;
  }
  const target_stream stream = found->second;
  NoteSign(stream, end);
  if (end == attempt_outcome::kDone) {
    Handle(*stream.node, stream.node->router->OnAttemptHeaders(
                             queue_.now(), stream.attempt, false));
  }
  EndStream(id, end);
}

inline void request_world::NoteSign(const target_stream& stream,
                                    attempt_outcome end) {
  world_target& target = *stream.target;
  const bool watch = stream.request.kind == request_class::kWatch;
  if (!target.watch_for_sign || target.signed_at || watch) {
    return;
  }
  const bool slow = queue_.now() - stream.sent_at >
                    LongestWork(stream.request.kind) * kSignFactorPercent / 100;
  if (end != attempt_outcome::kDone || slow) {
    target.signed_at = queue_.now();
  }
}

inline void request_world::AtNode(std::uint64_t id, std::function<void()> run) {
  const auto found = target_streams_.find(id);
  if (found == target_streams_.end()) {
    return;
  }
  const target_stream& stream = found->second;
  world_node* node = stream.node;
  const std::uint64_t epoch = stream.epoch;
  queue_.After(Latency(stream.target->data_centre, node->info.data_centre),
               [this, node, epoch, run = std::move(run)] {
                 if (node->epoch == epoch) {
                   Deliver(*node, run);
                 }
               });
}

inline void request_world::EndStream(std::uint64_t id, attempt_outcome end) {
  const auto found = target_streams_.find(id);
  if (found == target_streams_.end()) {
    return;
  }
  const target_stream stream = found->second;
  target_streams_.erase(found);
  EndAttempt(*stream.node, stream.attempt, end, stream.request.uid,
             std::nullopt);
}

inline void request_world::EndAttempt(world_node& node,
                                      attempt_id attempt,
                                      attempt_outcome end,
                                      std::uint64_t body_uid,
                                      std::optional<peer_load> load) {
  const auto relay = node.relays.find(attempt.value);
  const std::uint64_t relayed = relay == node.relays.end() ? 0 : relay->second;
  node.relays.erase(attempt.value);
  node.streams.erase(attempt.value);
  Handle(node, node.router->OnAttemptEnd(queue_.now(), attempt, end, load));
  if (relayed == 0 || end != attempt_outcome::kDone) {
    return;
  }
  const auto found = node.requests.find(relayed);
  if (found == node.requests.end()) {
    return;
  }
  const world_node::local_request local = found->second;
  node.requests.erase(found);
  if (local.peer_stream != 0) {
    AnswerPeer(node, local, attempt_outcome::kDone, body_uid);
    return;
  }
  caller_end ended;
  ended.whole = true;
  ended.run = run_state::kRun;
  ended.body_uid = body_uid;
  on_end_(local.request, ended);
}

inline void request_world::AnswerPeer(world_node& node,
                                      const world_node::local_request& local,
                                      attempt_outcome end,
                                      std::uint64_t body_uid) {
  const auto found = peer_streams_.find(local.peer_stream);
  if (found == peer_streams_.end()) {
    return;
  }
  const peer_stream stream = found->second;
  peer_streams_.erase(found);
  const peer_load load = node.router->LoadOf(local.request.service);
  if (!Reaches(node, *stream.from)) {
    LosePeerLater(stream);
    return;
  }
  queue_.After(
      Latency(node.info.data_centre, stream.from->info.data_centre),
      [this, stream, end, body_uid, load] {
        if (stream.from->epoch != stream.from_epoch) {
          return;
        }
        Deliver(*stream.from, [this, stream, end, body_uid, load] {
          if (end == attempt_outcome::kDone) {
            Handle(*stream.from, stream.from->router->OnAttemptHeaders(
                                     queue_.now(), stream.attempt, false));
          }
          EndAttempt(*stream.from, stream.attempt, end, body_uid, load);
        });
      });
}

inline void request_world::LosePeerLater(const peer_stream& stream) {
  queue_.After(options_.silence_limit, [this, stream] {
    if (stream.from->epoch == stream.from_epoch) {
      Deliver(*stream.from, [this, stream] {
        EndAttempt(*stream.from, stream.attempt,
                   attempt_outcome::kConnectionLost, 0, std::nullopt);
      });
    }
  });
}

inline void request_world::Do(world_node& node, const forward_action& action) {
  world_node& to = NodeOf(action.instance);
  const std::uint64_t id = next_stream_++;
  node.streams[action.attempt.value] = id;
  const peer_stream stream{&node, node.epoch, action.attempt, &to, to.epoch, 0};
  if (!to.alive || !Reaches(node, to)) {
    LosePeerLater(stream);
    return;
  }
  peer_streams_[id] = stream;
  const caller_request request = node.requests[action.request.value].request;
  queue_.After(Latency(node.info.data_centre, to.info.data_centre),
               [this, id, request, timeout = action.timeout] {
                 const auto found = peer_streams_.find(id);
                 if (found == peer_streams_.end()) {
                   return;
                 }
                 if (!found->second.to->alive) {
                   LosePeerLater(found->second);
                   peer_streams_.erase(found);
                   return;
                 }
                 Arrive(*found->second.to, request, id, timeout);
               });
}

inline void request_world::Do(world_node& node, const cancel_action& action) {
  const auto found = node.streams.find(action.attempt.value);
  if (found == node.streams.end()) {
    return;
  }
  const std::uint64_t id = found->second;
  node.streams.erase(found);
  if (target_streams_.contains(id)) {
    CancelAtTarget(id);
  } else if (peer_streams_.contains(id)) {
    CancelAtPeer(id);
  }
}

inline void request_world::CancelAtTarget(std::uint64_t id) {
  target_stream& stream = target_streams_[id];
  stream.cancelled = true;
  if (stream.silent) {
    return;
  }
  queue_.After(
      Latency(stream.node->info.data_centre, stream.target->data_centre),
      [this, id] {
        const auto found = target_streams_.find(id);
        if (found == target_streams_.end()) {
          return;
        }
        found->second.target->fake->Cancel(id);
        AtNode(id, [this, id] {
          EndStream(id, attempt_outcome::kCancelConfirmed);
        });
      });
}

inline void request_world::CancelAtPeer(std::uint64_t id) {
  const peer_stream stream = peer_streams_[id];
  queue_.After(
      Latency(stream.from->info.data_centre, stream.to->info.data_centre),
      [this, id] {
        const auto found = peer_streams_.find(id);
        if (found == peer_streams_.end()) {
          return;
        }
        const peer_stream open = found->second;
        peer_streams_.erase(found);
        Deliver(*open.to, [this, open] {
          if (open.to->epoch != open.to_epoch || open.remote_request == 0) {
            return;
          }
          open.to->requests.erase(open.remote_request);
          Handle(*open.to, open.to->router->OnCancel(queue_.now(),
                                                     {open.remote_request}));
        });
      });
}

inline void request_world::Do(world_node& node, const relay_action& action) {
  node.relays[action.attempt.value] = action.request.value;
}

inline void request_world::Do(world_node& node,
                              const local_reply_action& action) {
  const auto found = node.requests.find(action.request.value);
  if (found == node.requests.end()) {
    return;
  }
  const world_node::local_request local = found->second;
  node.requests.erase(found);
  if (local.peer_stream != 0) {
    const attempt_outcome refused = action.reached_target
                                        ? attempt_outcome::kRefused
                                        : attempt_outcome::kTargetNotReached;
    AnswerPeer(
        node, local,
        action.run == run_state::kNotRun ? refused : attempt_outcome::kReset,
        0);
    return;
  }
  caller_end end;
  end.cut = action.reason == local_reply_reason::kResponseAborted;
  end.run = action.run;
  end.condition = action.reason;
  end.retry_after = action.retry_after;
  on_end_(local.request, end);
}

inline void request_world::Do(world_node& node, const send_action& action) {
  network_.Send(node.info.id, action.instance, action.message, kMessageBytes);
}

inline void request_world::LoseLater(std::uint64_t id, duration delay) {
  queue_.After(delay, [this, id] {
    const auto found = target_streams_.find(id);
    if (found == target_streams_.end()) {
      return;
    }
    const target_stream stream = found->second;
    if (stream.node->epoch == stream.epoch) {
      Deliver(*stream.node,
              [this, id] { EndStream(id, attempt_outcome::kConnectionLost); });
    }
  });
}

inline void request_world::LoseStreamsOf(world_node& node) {
  std::vector<std::uint64_t> lost;
  for (const auto& [id, stream] : peer_streams_) {
    if (stream.to == &node && stream.to_epoch != node.epoch) {
      LosePeerLater(stream);
      lost.push_back(id);
    }
  }
  for (const std::uint64_t id : lost) {
    peer_streams_.erase(id);
  }
}

}  // namespace rosemaryreach::bench

#endif  // ROSEMARYREACH_BENCH_REQUESTS_WORLD_STREAMS_H_
