// Decoded query parameters of an evhttp request.
#ifndef ROSEMARYREACH_ADAPTERS_HTTP_QUERY_H_
#define ROSEMARYREACH_ADAPTERS_HTTP_QUERY_H_

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <sys/queue.h>

#include <cstdint>
#include <cstdlib>
#include <string>

namespace rosemaryreach {

class http_query {
 public:
  explicit http_query(evhttp_request* request) {
    TAILQ_INIT(&values_);
    const char* text =
        evhttp_uri_get_query(evhttp_request_get_evhttp_uri(request));
    if (text != nullptr) {
      evhttp_parse_query_str(text, &values_);
    }
  }
  ~http_query() { evhttp_clear_headers(&values_); }
  http_query(const http_query&) = delete;
  http_query& operator=(const http_query&) = delete;

  // Returns the value of `name`, or `default_value` if it is absent.
  std::string Text(const char* name, const char* default_value = "") const {
    const char* value = evhttp_find_header(&values_, name);
    return value == nullptr ? default_value : value;
  }

  // Returns the decimal number that the value of `name` starts with, or 0.
  std::uint64_t Number(const char* name) const {
    return std::strtoull(Text(name).c_str(), nullptr, 10);
  }

 private:
  evkeyvalq values_{};
};

}  // namespace rosemaryreach

#endif  // ROSEMARYREACH_ADAPTERS_HTTP_QUERY_H_
