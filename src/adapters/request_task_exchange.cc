#include <algorithm>

#include "adapters/request_task_impl.h"

namespace rosemaryreach {

request_exchange::request_exchange(request_task::impl& task,
                                   h2_connection& connection,
                                   std::int32_t stream,
                                   request_id id)
    : task(task), connection(connection), stream(stream), id(id) {}

void request_exchange::OnHeaders(h2_headers /*headers*/, bool /*end_stream*/) {}

void request_exchange::OnData(std::span<const std::uint8_t> data) {
  if (response_complete && !relayed_attempt) {
    return;  // A local reply was sent; the window is not reopened.
  }
  body.Append(data);
  task.CountBuffered(static_cast<std::ptrdiff_t>(data.size()));
  for (request_attempt* attempt : attempts) {
    attempt->connection->ResumeBody(attempt->stream);
  }
}

void request_exchange::OnEnd(h2_headers trailers) {
  body_ended = true;
  body_trailers = std::move(trailers);
  for (request_attempt* attempt : attempts) {
    attempt->connection->ResumeBody(attempt->stream);
  }
}

void request_exchange::OnClosed(const h2_close& /*close*/) {
  task.CloseExchange(*this);
}

h2_body_read request_exchange::ReadBody(std::span<std::uint8_t> into) {
  return relayed_attempt ? relayed_attempt->ReadResponse(into) : h2_body_read{};
}

h2_body_read request_exchange::ReadRequestBody(
    std::uint64_t position,
    std::span<std::uint8_t> into) const {
  h2_body_read read;
  read.bytes = body.Peek(position - body_base, into);
  const bool all = position + read.bytes == body_base + body.size();
  read.end = all && body_ended;
  if (read.end) {
    read.trailers = body_trailers;
  }
  return read;
}

void request_exchange::ReleaseBody() {
  if (attempts.empty()) {
    return;
  }
  std::uint64_t first = attempts.front()->body_position;
  std::uint64_t last = first;
  for (const request_attempt* attempt : attempts) {
    first = std::min(first, attempt->body_position);
    last = std::max(last, attempt->body_position);
  }
  replayable = replayable && body.size() <= task.settings.max_replay_bytes;
  if (!replayable && first > body_base) {
    const std::uint64_t dropped = first - body_base;
    body.Drop(dropped);
    body_base = first;
    task.CountBuffered(-static_cast<std::ptrdiff_t>(dropped));
  }
  const std::uint64_t consume_to = replayable ? last : first;
  if (consume_to > body_consumed) {
    connection.Consume(stream, consume_to - body_consumed);
    body_consumed = consume_to;
  }
}

void request_exchange::Relay(const std::shared_ptr<request_attempt>& attempt) {
  relayed_attempt = attempt;
  replayable = false;
  ReleaseBody();
  h2_headers response;
  for (const h2_header& header : attempt->response_headers) {
    if (!header.name.starts_with(kHeaderPrefix)) {
      response.push_back(header);
    }
  }
  const run_state run =
      IsOverloadedResponse(response) ? run_state::kUnknown : run_state::kRun;
  response.push_back({std::string(kRunHeader), std::string(RunStateName(run))});
  if (forwarded_by) {
    response.push_back(
        {std::string(kLoadHeader), FormatLoad(task.router.LoadOf(service))});
  }
  const bool has_body =
      !attempt->response_ended || !attempt->response_body.empty();
  connection.SubmitResponse(stream, response, has_body);
}

void request_exchange::ResumeResponse() {
  connection.ResumeBody(stream);
}

void request_exchange::SendLocalReply(const local_reply_action& action) {
  response_complete = true;
  response_complete_at = task.loop.now();
  if (action.reason == local_reply_reason::kResponseAborted) {
    ++task.counters.aborted_total;
    connection.Reset(stream, NGHTTP2_INTERNAL_ERROR);
    return;
  }
  ++task.counters.refused_total;
  h2_headers response = LocalReplyHeaders(MakeLocalReply(action), grpc);
  if (forwarded_by) {
    response.push_back(
        {std::string(kReachedHeader), action.reached_target ? "1" : "0"});
    response.push_back(
        {std::string(kLoadHeader), FormatLoad(task.router.LoadOf(service))});
  }
  connection.SubmitResponse(stream, response, false);
}

void request_exchange::RemoveAttempt(const request_attempt& attempt) {
  std::erase(attempts, &attempt);
}

bool request_exchange::BodyIsEmpty() const {
  return body_ended && body_base == 0 && body.empty() && body_trailers.empty();
}

}  // namespace rosemaryreach
