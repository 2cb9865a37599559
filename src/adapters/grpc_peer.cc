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

error ToError(const grpc::Status& status) {
  errc code = errc::kUnavailable;
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
    code = errc::kTimeout;
  } else if (status.error_code() == grpc::StatusCode::UNAUTHENTICATED) {
    code = errc::kUnauthenticated;
  }
  return {code, "", status.error_message()};
}

grpc::Status ToGrpcStatus(const error& error) {
  const bool unauthenticated =
      error.code == errc::kUnauthenticated || error.code == errc::kStale;
  return {unauthenticated ? grpc::StatusCode::UNAUTHENTICATED
                          : grpc::StatusCode::INVALID_ARGUMENT,
          FormatError(error)};
}

}  // namespace

// Pending calls stay in a table until the loop responds or the server stops.
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
    wire::Sealed* response = nullptr;
  };

  // Shared with posted callbacks that may run after the server is destroyed.
  class call_table {
   public:
    // Returns the call's id, or 0 if the table is closed.
    std::uint64_t Add(call pending) {
      const std::lock_guard lock(mutex_);
      if (closed_) {
        return 0;
      }
      calls_[next_id_] = pending;
      return next_id_++;
    }

    void Respond(std::uint64_t call_id, result<std::string> response) {
      const std::lock_guard lock(mutex_);
      const auto found = calls_.find(call_id);
      if (found == calls_.end()) {
        return;
      }
      const call pending = found->second;
      calls_.erase(found);
      if (response) {
        pending.response->set_datagram(std::move(response.value()));
        pending.reactor->Finish(grpc::Status::OK);
      } else {
        pending.reactor->Finish(ToGrpcStatus(response.error()));
      }
    }

    void Close() {
      const std::lock_guard lock(mutex_);
      closed_ = true;
      for (const auto& [call_id, pending] : calls_) {
        pending.reactor->Finish({grpc::StatusCode::UNAVAILABLE, "stopping"});
      }
      calls_.clear();
    }

   private:
    std::mutex mutex_;
    std::map<std::uint64_t, call> calls_;  // Guarded by mutex_.
    std::uint64_t next_id_ = 1;            // Guarded by mutex_.
    bool closed_ = false;                  // Guarded by mutex_.
  };

  grpc::ServerUnaryReactor* Ask(grpc::CallbackServerContext* context,
                                const wire::Sealed* request,
                                wire::Sealed* response) override {
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    const std::uint64_t call_id = calls_->Add({reactor, response});
    if (call_id == 0) {
      reactor->Finish({grpc::StatusCode::UNAVAILABLE, "stopping"});
      return reactor;
    }
    loop_.Post([calls = std::weak_ptr(calls_), handler = handler_, call_id,
                bytes = request->datagram()] {
      if (const std::shared_ptr<call_table> table = calls.lock()) {
        table->Respond(call_id, (*handler)(bytes));
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

  // Cancels outstanding calls and waits for them, so that none posts to the
  // loop afterwards.
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
    const auto pending = std::make_shared<call>();
    pending->context.set_deadline(std::chrono::system_clock::now() + timeout);
    pending->request.set_datagram(std::move(bytes));
    pending->done = std::move(done);
    {
      const std::lock_guard lock(mutex_);
      contexts_.insert(&pending->context);
    }
    pending->stub = GetStub(peer);
    pending->stub->async()->Ask(&pending->context, &pending->request,
                                &pending->response,
                                [this, pending](grpc::Status status) {
                                  Finish(pending, std::move(status));
                                });
  }

 private:
  struct call {
    grpc::ClientContext context;
    wire::Sealed request;
    wire::Sealed response;
    response_callback done;
    std::shared_ptr<wire::Peer::Stub> stub;
  };

  // Runs on a gRPC thread.
  void Finish(const std::shared_ptr<call>& pending, grpc::Status status) {
    const std::lock_guard lock(mutex_);
    contexts_.erase(&pending->context);
    loop_.Post(
        [alive = std::weak_ptr(alive_), pending, status = std::move(status)] {
          if (alive.expired()) {
            return;
          }
          if (status.ok()) {
            pending->done(std::move(*pending->response.mutable_datagram()));
          } else {
            pending->done(ToError(status));
          }
        });
    idle_.notify_all();
  }

  std::shared_ptr<wire::Peer::Stub> GetStub(const endpoint& peer) {
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
