#ifndef SHALLOTPORT_SERVING_SERVING_METRICS_H_
#define SHALLOTPORT_SERVING_SERVING_METRICS_H_

#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "base/clock.h"

namespace shallotport {

// Counters and latency histograms of the online path. Thread-safe.
class serving_metrics {
 public:
  serving_metrics();
  ~serving_metrics();

  // One reply with the code of the error table, or "ok", and its whole time.
  void CountReply(std::string_view code, duration whole_time);
  // Time from the arrival of a request to the first byte of its answer.
  void ObserveFirstByte(duration time);

  void WriteState(nlohmann::json& out) const;
  // Prometheus text of the histograms and of the replies by code.
  std::string PrometheusText() const;

 private:
  struct histograms;
  std::unique_ptr<histograms> histograms_;
};

// Prometheus text of every number in `state[duty]["counters"]`.
std::string CountersAsPrometheusText(const nlohmann::json& state);

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_SERVING_METRICS_H_
