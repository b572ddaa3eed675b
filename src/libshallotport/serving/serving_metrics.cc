#include "serving/serving_metrics.h"

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>

#include "base/latency_histogram.h"

namespace shallotport {

namespace {

nlohmann::json Summary(const latency_histogram& series) {
  return {{"count", series.count()},
          {"p50_s", series.Quantile(0.50)},
          {"p95_s", series.Quantile(0.95)},
          {"p99_s", series.Quantile(0.99)}};
}

}  // namespace

struct serving_metrics::histograms {
  std::mutex mutex;
  latency_histogram whole;
  latency_histogram first_byte;
  std::map<std::string, uint64_t, std::less<>> replies;
};

serving_metrics::serving_metrics()
    : histograms_(std::make_unique<histograms>()) {}

serving_metrics::~serving_metrics() = default;

void serving_metrics::CountReply(std::string_view code, duration whole_time) {
  const std::lock_guard lock(histograms_->mutex);
  histograms_->whole.Observe(whole_time);
  const auto found = histograms_->replies.find(code);
  if (found != histograms_->replies.end()) {
    ++found->second;
  } else {
    histograms_->replies.emplace(code, 1);
  }
}

void serving_metrics::ObserveFirstByte(duration time) {
  const std::lock_guard lock(histograms_->mutex);
  histograms_->first_byte.Observe(time);
}

void serving_metrics::WriteState(nlohmann::json& out) const {
  const std::lock_guard lock(histograms_->mutex);
  out["whole_time"] = Summary(histograms_->whole);
  out["first_byte"] = Summary(histograms_->first_byte);
  for (const auto& [code, count] : histograms_->replies) {
    out["counters"]["replies_" + code] = count;
  }
}

std::string serving_metrics::PrometheusText() const {
  std::ostringstream out;
  const std::lock_guard lock(histograms_->mutex);
  out << "# TYPE shallotport_request_seconds histogram\n";
  histograms_->whole.WriteText(out, "shallotport_request_seconds");
  out << "# TYPE shallotport_first_byte_seconds histogram\n";
  histograms_->first_byte.WriteText(out, "shallotport_first_byte_seconds");
  return out.str();
}

std::string CountersAsPrometheusText(const nlohmann::json& state) {
  std::ostringstream out;
  for (const auto& [duty, values] : state.items()) {
    if (!values.is_object() || !values.contains("counters")) {
      continue;
    }
    for (const auto& [name, value] : values["counters"].items()) {
      if (value.is_number()) {
        out << "shallotport_" << duty << "_" << name << " " << value << "\n";
      }
    }
  }
  return out.str();
}

}  // namespace shallotport
