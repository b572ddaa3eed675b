#ifndef SHALLOTPORT_SERVING_ENDPOINT_INTERFACE_H_
#define SHALLOTPORT_SERVING_ENDPOINT_INTERFACE_H_

#include <functional>
#include <string>

#include "base/result.h"
#include "http/http_message.h"
#include "membership/endpoint_record.h"

namespace shallotport {

// The endpoints' HTTP interface: it reads announcements and gives them to the
// endpoint registry.
class endpoint_interface {
 public:
  using announce = std::function<status(const endpoint_record& record)>;

  endpoint_interface(std::string token, announce take)
      : token_(std::move(token)), announce_(std::move(take)) {}

  http_reply Handle(const http_request& request) const;

 private:
  std::string token_;
  announce announce_;
};

// Reads an announcement as docs/ENDPOINT-PROTOCOL.md describes it; the error
// names the member that is wrong.
result<endpoint_record> ParseAnnouncement(std::string_view body);

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_ENDPOINT_INTERFACE_H_
