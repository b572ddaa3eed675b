#ifndef SHALLOTPORT_SERVING_OBSERVED_CALLER_H_
#define SHALLOTPORT_SERVING_OBSERVED_CALLER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "http/endpoint_caller.h"

namespace shallotport {

class batch_duty;

// The online lane's caller, which also tells the batch duty what is under way
// at which endpoint.
class observed_caller final : public endpoint_caller {
 public:
  // `clock` must outlive this. `duty` must until Stop().
  observed_caller(std::unique_ptr<endpoint_caller> inner,
                  const clock_source& clock);

  // Tells `duty` from now on; call before Start.
  void SetObserver(batch_duty& duty) { duty_ = &duty; }

  // Calls to any other address are not online requests to endpoints.
  void SetAddress(const endpoint_id& endpoint, const std::string& address);
  void Remove(const endpoint_id& endpoint);

  result<call_number> Start(endpoint_call call,
                            std::shared_ptr<endpoint_call_sink> sink) override;
  void Cancel(call_number call) override { inner_->Cancel(call); }
  void Stop() override { inner_->Stop(); }
  void WriteState(nlohmann::json& out) const override;

 private:
  class sink;

  const std::unique_ptr<endpoint_caller> inner_;
  const clock_source& clock_;
  batch_duty* duty_ = nullptr;
  std::mutex mutex_;
  std::map<std::string, endpoint_id> endpoints_;  // By address.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_OBSERVED_CALLER_H_
