#ifndef SHALLOTPORT_SERVING_ROUTE_TABLE_H_
#define SHALLOTPORT_SERVING_ROUTE_TABLE_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"

namespace shallotport {

// What a pattern's '*' stood for in a request's path, in order.
using path_captures = std::span<const std::string_view>;

// The handlers of one HTTP interface by method and path. Filled before the
// interface listens, read by all its threads afterwards.
class route_table {
 public:
  using handler = std::function<http_reply(const http_request& request,
                                           path_captures captures)>;

  // `pattern` is a path whose segments may be '*' (any one segment) or, as
  // the last one, '**' (the rest, captured as one text, maybe empty). An empty
  // method takes any.
  void Add(std::string method, const std::string& pattern, handler handle);

  // Runs the first matching handler; 404 when there is none.
  http_reply Handle(const http_request& request) const;

 private:
  struct route {
    std::string method;
    std::vector<std::string> segments;
    handler handle;
  };

  std::vector<route> routes_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_ROUTE_TABLE_H_
