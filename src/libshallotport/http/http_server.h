#ifndef SHALLOTPORT_HTTP_HTTP_SERVER_H_
#define SHALLOTPORT_HTTP_HTTP_SERVER_H_

#include <chrono>
#include <functional>
#include <memory>

#include "base/result.h"
#include "http/http_message.h"
#include "settings/host_settings.h"

namespace shallotport {

// One listening HTTP interface (a lane) with a thread for each connection.
// Each lane has its own connection limit, so that a flood on one does not
// take connections from another.
class http_server {
 public:
  // Runs on the connection's thread and may block.
  using request_handler = std::function<http_reply(http_request request)>;

  // Listens at once. kInvalidRequest when the address cannot be bound.
  static result<std::unique_ptr<http_server>> Create(
      const lane_settings& settings,
      request_handler handler);

  virtual ~http_server() = default;

  // Requests that have arrived and are not yet answered whole.
  virtual size_t active_requests() const = 0;

  // From now on no new connection comes about: attempts go unanswered until
  // the listener is closed, and are refused then. Connections that exist are
  // served, and closed after their next reply.
  virtual void StopAccepting() = 0;

  // Waits until no request is active and, after StopAccepting(), connections
  // have had a moment to close; false when `limit` passed first.
  virtual bool WaitUntilIdle(std::chrono::milliseconds limit) = 0;

  // Closes the listener and all connections.
  virtual void Stop() = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_HTTP_HTTP_SERVER_H_
