#ifndef SHALLOTPORT_SERVING_CALLER_INTERFACE_H_
#define SHALLOTPORT_SERVING_CALLER_INTERFACE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "http/http_message.h"
#include "serving/configuration_view.h"
#include "serving/online_exchange.h"
#include "serving/route_table.h"

namespace shallotport {

// A request whose caller is known.
struct authenticated_caller {
  std::shared_ptr<const configuration_snapshot> settings;
  const account_configuration* account = nullptr;  // Owned by `settings`.
  std::string token;
};

// The callers' HTTP interface: it finds the account, checks the request and
// hands it to an online_exchange or to the handler of batch jobs.
class caller_interface {
 public:
  using batch_handler =
      std::function<http_reply(const http_request& request,
                               const authenticated_caller& caller)>;

  struct options {
    host_id host;
    incarnation started = 0;
  };

  caller_interface(options self,
                   const exchange_services& services,
                   const configuration_view& configuration);

  // Takes everything at and below /v1/batches. Set before listening.
  void SetBatchHandler(batch_handler handler) { batches_ = std::move(handler); }

  // Runs on the connection's thread until the reply's head is known.
  http_reply Handle(http_request request);

  // From now on new requests are refused as not run.
  void BeginDrain() { is_draining_ = true; }

 private:
  struct online_target {
    service_id service;
    std::string endpoint_path;
    bool is_model = false;
    bool is_chat = false;
    bool is_stream = false;
    uint64_t prefix_hash = 0;
  };

  result<authenticated_caller> Authenticate(const http_request& request) const;
  static result<online_target> FindTarget(const http_request& request,
                                          const account_id& account);
  static result<online_target> ReadModelRequest(const http_request& request,
                                                const account_id& account);
  http_reply ServeOnline(http_request request,
                         const authenticated_caller& caller,
                         const std::string& public_id);
  result<exchange_request> MakeExchange(http_request& request,
                                        const authenticated_caller& caller,
                                        const std::string& public_id);
  bool IsFromPeer(const http_request& request) const;
  request_id NextRequestId();

  const options self_;
  const exchange_services& services_;
  const configuration_view& configuration_;
  batch_handler batches_;
  std::atomic<uint64_t> last_request_{0};
  std::atomic<bool> is_draining_{false};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_CALLER_INTERFACE_H_
