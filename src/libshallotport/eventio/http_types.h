#ifndef SHALLOTPORT_EVENTIO_HTTP_TYPES_H_
#define SHALLOTPORT_EVENTIO_HTTP_TYPES_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace shallotport {

// Header fields in order of arrival or insertion.
class header_list {
 public:
  using field = std::pair<std::string, std::string>;

  void Add(std::string_view name, std::string_view value) {
    fields_.emplace_back(name, value);
  }
  // The first value of `name` (case-insensitive); null when absent.
  const std::string* Find(std::string_view name) const;
  // As Find(), but empty when absent.
  std::string_view Value(std::string_view name) const;
  void Remove(std::string_view name);

  const std::vector<field>& fields() const { return fields_; }

 private:
  std::vector<field> fields_;
};

bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// True for hop-by-hop headers and those that frame the body, which are never
// forwarded.
bool IsConnectionHeader(std::string_view name);

// A complete request, as read from a connection.
struct inbound_request {
  std::string method;
  std::string target;  // Path and query.
  header_list headers;
  std::string body;

  std::string_view Path() const;
  std::string_view Query() const;
};

// Status line and headers of a response.
struct response_head {
  int status = 0;
  header_list headers;
  bool is_close_delimited = false;  // The body ends with the connection.
};

std::string_view ReasonPhrase(int status);

// Serializes a request. Adds Content-Length where the method or the body
// requires it.
std::string FormatRequest(std::string_view method,
                          std::string_view target,
                          const header_list& headers,
                          std::string_view body);

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_HTTP_TYPES_H_
