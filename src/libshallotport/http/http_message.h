#ifndef SHALLOTPORT_HTTP_HTTP_MESSAGE_H_
#define SHALLOTPORT_HTTP_HTTP_MESSAGE_H_

#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/error.h"

namespace shallotport {

// One header or query parameter.
struct http_field {
  std::string name;
  std::string value;
};

// The value of the first field called `name`, whatever its case; nothing when
// there is none.
std::optional<std::string_view> FindField(std::span<const http_field> fields,
                                          std::string_view name);

// A request as it reached one of the listening interfaces.
struct http_request {
  std::string method;
  std::string path;  // Without the query, e.g. "/v1/batches/7".
  std::vector<http_field> query;
  std::vector<http_field> headers;
  std::string body;

  std::optional<std::string_view> Header(std::string_view name) const {
    return FindField(headers, name);
  }
  std::optional<std::string_view> Query(std::string_view name) const {
    return FindField(query, name);
  }
};

// Produces the body of a streamed reply piece by piece on the connection's
// thread. Destroyed when the reply has ended or the caller has gone.
class body_stream {
 public:
  enum class state : uint8_t { kMore, kEnd, kBroken };
  virtual ~body_stream() = default;
  // Waits for the next bytes and appends at most `room` of them to `out`.
  // kBroken closes the connection, so that the caller sees a cut-off body.
  virtual state Read(std::string& out, size_t room) = 0;
};

// The answer to a request: a whole body, or a stream.
struct http_reply {
  int status = 200;
  std::vector<http_field> headers;
  std::string body;
  std::unique_ptr<body_stream> stream;
};

// A JSON reply: `body` must be JSON text.
http_reply MakeJsonReply(int status, std::string body);

// The reply for a failure: the error table's status, a JSON body with code,
// detail, run and retry advice, and Retry-After in seconds when there is one.
http_reply MakeErrorReply(const error& failure, std::string_view request_name);

// The JSON body of MakeErrorReply.
std::string ErrorBody(const error& failure, std::string_view request_name);

// Path segments without empty ones: "/v1/batches/7" has three.
std::vector<std::string_view> PathSegments(std::string_view path);

}  // namespace shallotport

#endif  // SHALLOTPORT_HTTP_HTTP_MESSAGE_H_
