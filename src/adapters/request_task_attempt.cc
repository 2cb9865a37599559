#include "adapters/request_task_impl.h"

namespace rosemaryreach {

request_attempt::request_attempt(request_task::impl& task,
                                 attempt_id id,
                                 request_exchange& owner,
                                 bool to_peer)
    : task(task), id(id), owner(&owner), to_peer(to_peer) {}

request_attempt::~request_attempt() {
  task.CountBuffered(-static_cast<std::ptrdiff_t>(answer.size()));
}

void request_attempt::OnHeaders(h2_headers headers, bool end_stream) {
  if (to_peer) {
    load = ParseLoad(FindHeader(headers, kLoadHeader));
    const std::optional<attempt_outcome> refused =
        OutcomeFromPeerReply(headers);
    if (refused) {
      owner->Detach(*this);
      owner = nullptr;
      connection->Cancel(stream, [] {});
      Report(*refused);
      task.ReleaseAttempt(id);
      return;
    }
  }
  answer_headers = std::move(headers);
  answer_ended = end_stream;
  const bool overloaded = IsOverloadedResponse(answer_headers);
  task.Apply(task.router.OnAttemptHeaders(task.loop.now(), id, overloaded));
}

void request_attempt::OnData(std::span<const std::uint8_t> data) {
  if (owner == nullptr) {
    return;
  }
  answer.Append(data);
  task.CountBuffered(static_cast<std::ptrdiff_t>(data.size()));
  if (owner->relayed.get() == this) {
    owner->ResumeAnswer();
  }
}

void request_attempt::OnEnd(h2_headers trailers) {
  answer_ended = true;
  answer_trailers = std::move(trailers);
  if (owner != nullptr && owner->relayed.get() == this) {
    owner->settled = true;
    owner->settled_at = task.loop.now();
    owner->ResumeAnswer();
  }
  Report(attempt_outcome::kDone);
}

void request_attempt::OnClosed(const h2_close& close) {
  connection = nullptr;
  if (owner != nullptr) {
    owner->Detach(*this);
  }
  Report(EndOf(close));
  task.ReleaseAttempt(id);
}

h2_body_read request_attempt::ReadBody(std::span<std::uint8_t> into) {
  if (owner == nullptr) {
    return {};
  }
  h2_body_read read = owner->ReadRequestBody(body_position, into);
  body_position += read.bytes;
  owner->ReleaseBody();
  return read;
}

h2_body_read request_attempt::ReadAnswer(std::span<std::uint8_t> into) {
  h2_body_read read;
  read.bytes = answer.Peek(0, into);
  answer.Drop(read.bytes);
  task.CountBuffered(-static_cast<std::ptrdiff_t>(read.bytes));
  if (connection != nullptr) {
    connection->Consume(stream, read.bytes);
  }
  read.end = answer_ended && answer.empty();
  if (read.end) {
    read.trailers = answer_trailers;
  }
  return read;
}

void request_attempt::Report(attempt_outcome end) {
  if (reported) {
    return;
  }
  reported = true;
  task.Apply(task.router.OnAttemptEnd(task.loop.now(), id, end, load));
}

attempt_outcome request_attempt::EndOf(const h2_close& close) const {
  if (!close.sent) {
    return attempt_outcome::kTargetNotReached;
  }
  if (close.connection_lost) {
    return attempt_outcome::kConnectionLost;
  }
  // A refusal after answer headers contradicts itself: the request has run.
  if (close.code == NGHTTP2_REFUSED_STREAM && answer_headers.empty()) {
    return to_peer ? attempt_outcome::kTargetNotReached
                   : attempt_outcome::kRefused;
  }
  return attempt_outcome::kReset;
}

}  // namespace rosemaryreach
