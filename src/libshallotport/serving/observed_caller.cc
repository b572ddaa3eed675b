#include "serving/observed_caller.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "batch/batch_duty.h"

namespace shallotport {

namespace {

constexpr std::string_view kCallerPaths = "/v1/";

}  // namespace

class observed_caller::sink final : public endpoint_call_sink {
 public:
  sink(endpoint_id endpoint,
       std::shared_ptr<endpoint_call_sink> inner,
       const clock_source& clock,
       batch_duty& duty)
      : endpoint_(std::move(endpoint)),
        inner_(std::move(inner)),
        clock_(clock),
        duty_(duty),
        started_(clock.Now()) {}

  void OnHead(int status, std::vector<http_field> headers) override {
    is_stream_ = FindField(headers, "Content-Type")
                     .value_or("")
                     .starts_with("text/event-stream");
    inner_->OnHead(status, std::move(headers));
  }

  void OnBytes(std::string_view bytes) override {
    if (std::exchange(is_stream_, false)) {
      duty_.OnOnlineFirstByte(endpoint_, clock_.Now() - started_);
    }
    inner_->OnBytes(bytes);
  }

  void OnEnd(const endpoint_call_end& end) override {
    duty_.OnOnlineEnded(endpoint_);
    inner_->OnEnd(end);
  }

 private:
  const endpoint_id endpoint_;
  const std::shared_ptr<endpoint_call_sink> inner_;
  const clock_source& clock_;
  batch_duty& duty_;
  const steady_time started_;
  bool is_stream_ = false;  // Until its first bytes.
};

observed_caller::observed_caller(std::unique_ptr<endpoint_caller> inner,
                                 const clock_source& clock)
    : inner_(std::move(inner)), clock_(clock) {}

void observed_caller::SetAddress(const endpoint_id& endpoint,
                                 const std::string& address) {
  const std::lock_guard lock(mutex_);
  endpoint_id& known = endpoints_[address];
  if (known == endpoint) {
    return;
  }
  known = endpoint;
  std::erase_if(endpoints_, [&](const auto& each) {
    return each.second == endpoint && each.first != address;
  });
}

void observed_caller::Remove(const endpoint_id& endpoint) {
  const std::lock_guard lock(mutex_);
  std::erase_if(endpoints_,
                [&](const auto& each) { return each.second == endpoint; });
}

result<call_number> observed_caller::Start(
    endpoint_call call,
    std::shared_ptr<endpoint_call_sink> sink_of_call) {
  endpoint_id endpoint;
  if (duty_ != nullptr && call.path.starts_with(kCallerPaths)) {
    const std::lock_guard lock(mutex_);
    const auto found = endpoints_.find(call.address);
    endpoint = found == endpoints_.end() ? endpoint_id() : found->second;
  }
  if (endpoint.IsEmpty()) {
    return inner_->Start(std::move(call), std::move(sink_of_call));
  }
  // Before the call leaves: batch work yields as early as possible.
  duty_->OnOnlineStarted(endpoint);
  result<call_number> started = inner_->Start(
      std::move(call), std::make_shared<sink>(endpoint, std::move(sink_of_call),
                                              clock_, *duty_));
  if (!IsOk(started)) {
    duty_->OnOnlineEnded(endpoint);
  }
  return started;
}

void observed_caller::WriteState(nlohmann::json& out) const {
  inner_->WriteState(out);
}

}  // namespace shallotport
