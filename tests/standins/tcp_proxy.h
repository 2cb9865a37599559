// A loopback TCP proxy in front of one server that injects network faults.
#ifndef ROSEMARYREACH_TESTS_STANDINS_TCP_PROXY_H_
#define ROSEMARYREACH_TESTS_STANDINS_TCP_PROXY_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>

#include <list>
#include <memory>

#include "adapters/event_loop.h"
#include "adapters/socket_address.h"

namespace rosemaryreach {

enum class link_fault : std::uint8_t {
  kNone,
  kSlow,       // answers are delayed by 300 ms
  kReset,      // connections are reset
  kSilent,     // connections open, but no data passes
  kNoAnswers,  // requests pass, answers are dropped
};

class tcp_proxy {
 public:
  tcp_proxy(event_loop& loop, const endpoint& listen, const endpoint& server)
      : loop_(loop), server_(server) {
    socket_address local = ToSocketAddress(listen);
    listener_ = evconnlistener_new_bind(
        loop.base(),
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<tcp_proxy*>(self)->OnConnection(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, -1, local.get(),
        static_cast<int>(local.size));
  }
  ~tcp_proxy() {
    connections_.clear();
    evconnlistener_free(listener_);
  }
  tcp_proxy(const tcp_proxy&) = delete;
  tcp_proxy& operator=(const tcp_proxy&) = delete;

  // Applies to open connections too; kReset closes them.
  void SetFault(link_fault fault) {
    fault_ = fault;
    if (fault == link_fault::kReset) {
      connections_.clear();
    }
  }

 private:
  struct connection_pair {
    connection_pair(tcp_proxy& proxy, evutil_socket_t fd)
        : owner(proxy),
          caller(bufferevent_socket_new(proxy.loop_.base(),
                                        fd,
                                        BEV_OPT_CLOSE_ON_FREE)),
          server(bufferevent_socket_new(proxy.loop_.base(),
                                        -1,
                                        BEV_OPT_CLOSE_ON_FREE)),
          delay_timer(proxy.loop_, [this] { Forward(server, caller); }) {
      bufferevent_setcb(
          caller, [](bufferevent*, void* self) { Self(self).OnRequest(); },
          nullptr, OnEnd, this);
      bufferevent_setcb(
          server, [](bufferevent*, void* self) { Self(self).OnAnswer(); },
          nullptr, OnEnd, this);
      socket_address to = ToSocketAddress(proxy.server_);
      bufferevent_socket_connect(server, to.get(), static_cast<int>(to.size));
      bufferevent_enable(caller, EV_READ | EV_WRITE);
      bufferevent_enable(server, EV_READ | EV_WRITE);
    }
    ~connection_pair() {
      bufferevent_free(caller);
      bufferevent_free(server);
    }
    connection_pair(const connection_pair&) = delete;
    connection_pair& operator=(const connection_pair&) = delete;

    static connection_pair& Self(void* self) {
      return *static_cast<connection_pair*>(self);
    }

    static void OnEnd(bufferevent* /*side*/, short what, void* self) {
      if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
        connection_pair& ended = Self(self);
        ended.owner.loop_.Post([&owner = ended.owner, one = &ended] {
          owner.connections_.remove_if(
              [one](const auto& each) { return each.get() == one; });
        });
      }
    }

    static void Forward(bufferevent* from, bufferevent* to) {
      bufferevent_write_buffer(to, bufferevent_get_input(from));
    }

    static void Discard(bufferevent* from) {
      evbuffer* input = bufferevent_get_input(from);
      evbuffer_drain(input, evbuffer_get_length(input));
    }

    void OnRequest() {
      if (owner.fault_ == link_fault::kSilent) {
        Discard(caller);
      } else {
        Forward(caller, server);
      }
    }

    void OnAnswer() {
      switch (owner.fault_) {
        case link_fault::kNoAnswers:
        case link_fault::kSilent:
          Discard(server);
          return;
        case link_fault::kSlow:
          delay_timer.Start(std::chrono::milliseconds(300));
          return;
        default:
          Forward(server, caller);
      }
    }

    tcp_proxy& owner;
    bufferevent* caller;
    bufferevent* server;
    loop_timer delay_timer;
  };

  void OnConnection(evutil_socket_t fd) {
    if (fault_ == link_fault::kReset) {
      const linger now{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
      evutil_closesocket(fd);
      return;
    }
    connections_.push_back(std::make_unique<connection_pair>(*this, fd));
  }

  event_loop& loop_;
  endpoint server_;
  evconnlistener* listener_ = nullptr;
  link_fault fault_ = link_fault::kNone;
  std::list<std::unique_ptr<connection_pair>> connections_;
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_TESTS_STANDINS_TCP_PROXY_H_
