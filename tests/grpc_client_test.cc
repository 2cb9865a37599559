// Sends calls of the standard gRPC client through the request plane.
#include <grpcpp/generic/async_generic_service.h>
#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>

#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <thread>

#include "adapters/request_task.h"
#include "request_plane_fixture.h"

namespace rosemaryreach {
namespace {

// A generic gRPC server: "/test/Fail" returns an error, "/test/Never" waits
// for its cancellation, any other method echoes its messages.
class grpc_target {
 public:
  grpc_target() {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(),
                             &port_);
    builder.RegisterCallbackGenericService(&service_);
    server_ = builder.BuildAndStart();
  }
  ~grpc_target() { server_->Shutdown(std::chrono::system_clock::now()); }

  endpoint local() const {
    endpoint local = Loopback();
    local.port = static_cast<std::uint16_t>(port_);
    return local;
  }
  int cancelled() const { return service_.cancelled; }

 private:
  class reactor : public grpc::ServerGenericBidiReactor {
   public:
    reactor(std::string method, std::atomic<int>& cancelled)
        : method_(std::move(method)), cancelled_(cancelled) {
      if (method_ == "/test/Fail") {
        Finish({grpc::StatusCode::FAILED_PRECONDITION, "no such pot"});
      } else {
        StartRead(&message_);
      }
    }
    void OnReadDone(bool ok) override {
      if (method_ == "/test/Never") {
        return;
      }
      if (ok) {
        StartWrite(&message_);
      } else {
        Finish(grpc::Status::OK);
      }
    }
    void OnWriteDone(bool ok) override {
      if (ok) {
        StartRead(&message_);
      }
    }
    void OnCancel() override {
      if (method_ == "/test/Never") {
        ++cancelled_;
        Finish(grpc::Status::CANCELLED);
      }
    }
    void OnDone() override { delete this; }

   private:
    std::string method_;
    std::atomic<int>& cancelled_;
    grpc::ByteBuffer message_;
  };

  class service : public grpc::CallbackGenericService {
   public:
    grpc::ServerGenericBidiReactor* CreateReactor(
        grpc::GenericCallbackServerContext* context) override {
      return new reactor(context->method(), cancelled);
    }
    std::atomic<int> cancelled = 0;
  };

  int port_ = 0;
  service service_;
  std::unique_ptr<grpc::Server> server_;
};

struct unary_call {
  grpc::ClientContext context;
  grpc::ByteBuffer request;
  grpc::ByteBuffer reply;
  grpc::Status status;
  std::atomic<bool> done = false;
};

std::string Text(grpc::ByteBuffer& buffer) {
  std::vector<grpc::Slice> slices;
  if (!buffer.Dump(&slices).ok()) {
    return "";
  }
  std::string text;
  for (const grpc::Slice& slice : slices) {
    text.append(reinterpret_cast<const char*>(slice.begin()), slice.size());
  }
  return text;
}

class grpc_caller {
 public:
  explicit grpc_caller(const endpoint& remote)
      : stub_(grpc::CreateChannel(FormatEndpoint(remote),
                                  grpc::InsecureChannelCredentials())) {}

  void Start(unary_call& call,
             const std::string& method,
             const std::string& body) {
    const grpc::Slice slice(body);
    call.request = grpc::ByteBuffer(&slice, 1);
    stub_.UnaryCall(&call.context, method, {}, &call.request, &call.reply,
                    [&call](grpc::Status status) {
                      call.status = std::move(status);
                      call.done = true;
                    });
  }

 private:
  grpc::GenericStub stub_;
};

struct grpc_fixture {
  grpc_fixture() {
    plane.config.services[0].targets[0].address = target.local();
    plane.config.number += 1;
    plane.tasks[0]->ApplyConfiguration(
        std::make_shared<configuration>(plane.config));
  }

  grpc_target target;
  request_plane_fixture plane;
  grpc_caller caller{plane.tasks[0]->caller_endpoints().front()};
};

TEST_CASE("a gRPC call is answered") {
  grpc_fixture grpc;
  unary_call call;
  grpc.caller.Start(call, "/test/Echo", std::string(100'000, 'e'));
  grpc.plane.RunUntil([&] { return call.done.load(); });
  CHECK(call.status.ok());
  CHECK(Text(call.reply) == std::string(100'000, 'e'));
}

TEST_CASE("a gRPC error of the target is passed to the caller") {
  grpc_fixture grpc;
  unary_call call;
  grpc.caller.Start(call, "/test/Fail", "x");
  grpc.plane.RunUntil([&] { return call.done.load(); });
  CHECK(call.status.error_code() == grpc::StatusCode::FAILED_PRECONDITION);
  CHECK(call.status.error_message() == "no such pot");
}

TEST_CASE("a gRPC deadline cancels the call at the caller and the target") {
  grpc_fixture grpc;
  unary_call call;
  call.context.set_deadline(std::chrono::system_clock::now() +
                            std::chrono::milliseconds(300));
  grpc.caller.Start(call, "/test/Never", "x");
  grpc.plane.RunUntil([&] { return call.done.load(); });
  CHECK(call.status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED);
  grpc.plane.RunUntil([&] { return grpc.target.cancelled() == 1; });
}

TEST_CASE("a gRPC cancellation is passed to the target") {
  grpc_fixture grpc;
  unary_call call;
  grpc.caller.Start(call, "/test/Never", "x");
  grpc.plane.RunFor(std::chrono::milliseconds(200));
  call.context.TryCancel();
  grpc.plane.RunUntil([&] { return grpc.target.cancelled() == 1; });
  grpc.plane.RunUntil([&] { return call.done.load(); });
  CHECK(call.status.error_code() == grpc::StatusCode::CANCELLED);
}

TEST_CASE("a gRPC call to an unknown service is reported as not run") {
  grpc_fixture grpc;
  grpc.plane.config.services[0].addresses.clear();
  grpc.plane.config.number += 1;
  grpc.plane.tasks[0]->ApplyConfiguration(
      std::make_shared<configuration>(grpc.plane.config));
  unary_call call;
  grpc.caller.Start(call, "/test/Echo", "x");
  grpc.plane.RunUntil([&] { return call.done.load(); });
  CHECK(call.status.error_code() == grpc::StatusCode::UNIMPLEMENTED);
  const auto& trailers = call.context.GetServerTrailingMetadata();
  const auto run = trailers.find("rosemaryreach-run");
  REQUIRE(run != trailers.end());
  CHECK(std::string(run->second.data(), run->second.size()) == "not-run");
}

}  // namespace
}  // namespace rosemaryreach
