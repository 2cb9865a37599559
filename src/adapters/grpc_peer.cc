#include "adapters/grpc_peer.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <utility>

#include "peer.grpc.pb.h"

namespace rosemaryreach {
namespace {

constexpr int kMaxMessageBytes = 16'000'000;
constexpr std::size_t kMaxChannels = 64;
constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 500;
constexpr std::chrono::milliseconds kStopTimeout(500);

error ErrorOf(const grpc::Status& status) {
  errc code = errc::kUnavailable;
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
    code = errc::kTimeout;
  } else if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
    code = errc::kUnauthenticated;
  }
  return {code, "", status.error_message()};
}

grpc::Status StatusOf(const error& error) {
  const bool unauthenticated =
      error.code == errc::kUnauthenticated || error.code == errc::kStale;
  return {unauthenticated ? grpc::StatusCode::UNAUTHENTICATED
                          : grpc::StatusCode::INVALID_ARGUMENT,
          FormatError(error)};
}

}  // namespace

// Calls wait in a table until the loop answers them or the server stops.
class grpc_peer::server final : public wire::Peer::CallbackService {
 public:
  server(event_loop& loop, request_handler handler)
      : calls_(std::make_shared<call_table>()),
        loop_(loop),
        handler_(std::make_shared<request_handler>(std::move(handler))) {}

  ~server() override {
    calls_->Close();
    if (server_) {
      server_->Shutdown(std::chrono::system_clock::now() + kStopTimeout);
    }
  }

  result<endpoint> Listen(const endpoint& local) {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
    builder.AddListeningPort(FormatEndpoint(local),
                             grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(this);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port == 0) {
      return Fail(errc::kIo, "can't listen for gRPC", FormatEndpoint(local));
    }
    return endpoint{local.address, static_cast<std::uint16_t>(port)};
  }

 private:
  struct call {
    grpc::ServerUnaryReactor* reactor = nullptr;
    wire::Sealed* answer = nullptr;
  };

  // Shared with messages that may run after the server has gone.
  class call_table {
   public:
    // Returns the call's number, or 0 once closed.
    std::uint64_t Add(call one) {
      const std::lock_guard lock(mutex_);
      if (closed_) {
        return 0;
      }
      calls_[next_] = one;
      return next_++;
    }

    void Answer(std::uint64_t number, result<std::string> answer) {
      const std::lock_guard lock(mutex_);
      const auto found = calls_.find(number);
      if (found == calls_.end()) {
        return;
      }
      const call one = found->second;
      calls_.erase(found);
      if (answer) {
        one.answer->set_datagram(std::move(answer.value()));
        one.reactor->Finish(grpc::Status::OK);
      } else {
        one.reactor->Finish(StatusOf(answer.error()));
      }
    }

    void Close() {
      const std::lock_guard lock(mutex_);
      closed_ = true;
      for (const auto& [number, one] : calls_) {
        one.reactor->Finish({grpc::StatusCode::UNAVAILABLE, "stopping"});
      }
      calls_.clear();
    }

   private:
    std::mutex mutex_;
    std::map<std::uint64_t, call> calls_;  // Guarded by mutex_.
    std::uint64_t next_ = 1;               // Guarded by mutex_.
    bool closed_ = false;                  // Guarded by mutex_.
  };

  grpc::ServerUnaryReactor* Ask(grpc::CallbackServerContext* context,
                                const wire::Sealed* request,
                                wire::Sealed* answer) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    const std::uint64_t number = calls_->Add({reactor, answer});
    if (number == 0) {
      reactor->Finish({grpc::StatusCode::UNAVAILABLE, "stopping"});
      return reactor;
    }
    loop_.Post([calls = std::weak_ptr(calls_), handler = handler_, number,
                bytes = request->datagram()] {
      if (const std::shared_ptr<call_table> table = calls.lock()) {
        table->Answer(number, (*handler)(bytes));
      }
    });
    return reactor;
  }

  std::shared_ptr<call_table> calls_;
  event_loop& loop_;
  std::shared_ptr<request_handler> handler_;
  std::unique_ptr<grpc::Server> server_;
};

class grpc_peer::client {
 public:
  explicit client(event_loop& loop)
      : loop_(loop), alive_(std::make_shared<bool>(true)) {}

  // Waits for the calls under way, so that none posts to the loop later.
  ~client() {
    alive_.reset();
    std::unique_lock lock(mutex_);
    for (grpc::ClientContext* context : contexts_) {
      context->TryCancel();
    }
    idle_.wait(lock, [this] { return contexts_.empty(); });
  }

  void Ask(const endpoint& peer,
           std::string bytes,
           duration timeout,
           response_callback done) {
    const auto one = std::make_shared<call>();
    one->context.set_deadline(std::chrono::system_clock::now() + timeout);
    one->request.set_datagram(std::move(bytes));
    one->done = std::move(done);
    {
      const std::lock_guard lock(mutex_);
      contexts_.insert(&one->context);
    }
    one->stub = StubOf(peer);
    one->stub->async()->Ask(
        &one->context, &one->request, &one->answer,
        [this, one](grpc::Status status) { Finish(one, std::move(status)); });
  }

 private:
  struct call {
    grpc::ClientContext context;
    wire::Sealed request;
    wire::Sealed answer;
    response_callback done;
    std::shared_ptr<wire::Peer::Stub> stub;
  };

  // Runs on a thread of gRPC.
  void Finish(const std::shared_ptr<call>& one, grpc::Status status) {
    const std::lock_guard lock(mutex_);
    contexts_.erase(&one->context);
    loop_.Post(
        [alive = std::weak_ptr(alive_), one, status = std::move(status)] {
          if (alive.expired()) {
            return;
          }
          if (status.ok()) {
            one->done(std::move(*one->answer.mutable_datagram()));
          } else {
            one->done(ErrorOf(status));
          }
        });
    idle_.notify_all();
  }

  std::shared_ptr<wire::Peer::Stub> StubOf(const endpoint& peer) {
    const auto found = stubs_.find(peer);
    if (found != stubs_.end()) {
      return found->second;
    }
    if (stubs_.size() >= kMaxChannels) {
      stubs_.erase(stubs_.begin());
    }
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
    arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
    const std::shared_ptr<grpc::Channel> channel = grpc::CreateCustomChannel(
        FormatEndpoint(peer), grpc::InsecureChannelCredentials(), arguments);
    std::shared_ptr<wire::Peer::Stub> stub = wire::Peer::NewStub(channel);
    stubs_.emplace(peer, stub);
    return stub;
  }

  event_loop& loop_;
  std::shared_ptr<bool> alive_;
  std::map<endpoint, std::shared_ptr<wire::Peer::Stub>> stubs_;
  std::mutex mutex_;
  std::condition_variable idle_;
  std::set<grpc::ClientContext*> contexts_;  // Guarded by mutex_.
};

grpc_peer::grpc_peer(event_loop& loop)
    : client_(std::make_unique<client>(loop)), loop_(loop) {}

grpc_peer::~grpc_peer() = default;

result<endpoint> grpc_peer::Listen(const endpoint& local,
                                   request_handler handler) {
  server_ = std::make_unique<server>(loop_, std::move(handler));
  return server_->Listen(local);
}

void grpc_peer::Ask(const endpoint& peer,
                    std::string bytes,
                    duration timeout,
                    response_callback done) {
  client_->Ask(peer, std::move(bytes), timeout, std::move(done));
}

}  // namespace rosemaryreach
