#include "adapters/request_task_impl.h"

namespace rosemaryreach {

request_attempt::request_attempt(request_task::impl& task,
                                 attempt_id id,
                                 request_exchange& exchange,
                                 bool to_peer)
    : task(task), id(id), exchange(&exchange), to_peer(to_peer) {}

request_attempt::~request_attempt() {
  task.CountBuffered(-static_cast<std::ptrdiff_t>(response_body.size()));
}

void request_attempt::OnHeaders(h2_headers headers, bool end_stream) {
  if (to_peer) {
    load = ParseLoad(FindHeader(headers, kLoadHeader));
    const std::optional<attempt_outcome> outcome =
        OutcomeFromPeerReply(headers);
    if (outcome) {
      exchange->RemoveAttempt(*this);
      exchange = nullptr;
      connection->Cancel(stream, [] {});
      Report(*outcome);
      task.ReleaseAttempt(id);
      return;
    }
  }
  response_headers = std::move(headers);
  response_ended = end_stream;
  const bool overloaded = IsOverloadedResponse(response_headers);
  task.Apply(task.router.OnAttemptHeaders(task.loop.now(), id, overloaded));
}

void request_attempt::OnData(std::span<const std::uint8_t> data) {
  if (exchange == nullptr) {
    return;
  }
  response_body.Append(data);
  task.CountBuffered(static_cast<std::ptrdiff_t>(data.size()));
  if (exchange->relayed_attempt.get() == this) {
    exchange->ResumeResponse();
  }
}

void request_attempt::OnEnd(h2_headers trailers) {
  response_ended = true;
  response_trailers = std::move(trailers);
  if (exchange != nullptr && exchange->relayed_attempt.get() == this) {
    exchange->response_complete = true;
    exchange->response_complete_at = task.loop.now();
    exchange->ResumeResponse();
  }
  Report(attempt_outcome::kDone);
}

void request_attempt::OnClosed(const h2_close& close) {
  connection = nullptr;
  if (exchange != nullptr) {
    exchange->RemoveAttempt(*this);
  }
  Report(OutcomeOf(close));
  task.ReleaseAttempt(id);
}

h2_body_read request_attempt::ReadBody(std::span<std::uint8_t> into) {
  if (exchange == nullptr) {
    return {};
  }
  h2_body_read read = exchange->ReadRequestBody(body_position, into);
  body_position += read.bytes;
  exchange->ReleaseBody();
  return read;
}

h2_body_read request_attempt::ReadResponse(std::span<std::uint8_t> into) {
  h2_body_read read;
  read.bytes = response_body.Peek(0, into);
  response_body.Drop(read.bytes);
  task.CountBuffered(-static_cast<std::ptrdiff_t>(read.bytes));
  if (connection != nullptr) {
    connection->Consume(stream, read.bytes);
  }
  read.end = response_ended && response_body.empty();
  if (read.end) {
    read.trailers = response_trailers;
  }
  return read;
}

void request_attempt::Report(attempt_outcome outcome) {
  if (reported) {
    return;
  }
  reported = true;
  task.Apply(task.router.OnAttemptEnd(task.loop.now(), id, outcome, load));
}

attempt_outcome request_attempt::OutcomeOf(const h2_close& close) const {
  if (!close.sent) {
    return attempt_outcome::kTargetNotReached;
  }
  if (close.connection_lost) {
    return attempt_outcome::kConnectionLost;
  }
  // REFUSED_STREAM after response headers is contradictory: the request has
  // run.
  if (close.code == NGHTTP2_REFUSED_STREAM && response_headers.empty()) {
    return to_peer ? attempt_outcome::kTargetNotReached
                   : attempt_outcome::kRefused;
  }
  return attempt_outcome::kReset;
}

}  // namespace rosemaryreach
