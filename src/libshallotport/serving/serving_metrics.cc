#include "serving/serving_metrics.h"

#include <boost/histogram.hpp>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shallotport {

namespace {

namespace bh = boost::histogram;

// Logarithmic bins from 0.1 ms to 100 s.
constexpr unsigned kBins = 60;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 100.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
using latency_histogram = decltype(bh::make_histogram(
    log_axis(kBins, kLowestSeconds, kHighestSeconds)));

struct latency_series {
  latency_histogram bins =
      bh::make_histogram(log_axis(kBins, kLowestSeconds, kHighestSeconds));
  double sum_seconds = 0;
  uint64_t count = 0;

  void Observe(duration time) {
    const double seconds = std::chrono::duration<double>(time).count();
    bins(seconds);
    sum_seconds += seconds;
    ++count;
  }

  // Upper edge of the bin that holds the quantile; 0 without observations.
  double Quantile(double share) const {
    if (count == 0) {
      return 0;
    }
    double seen = 0;
    for (auto&& bin : bh::indexed(bins, bh::coverage::all)) {
      seen += *bin;
      if (seen >= share * static_cast<double>(count)) {
        return bin.bin().upper();
      }
    }
    return kHighestSeconds;
  }

  void WriteText(std::ostream& out, std::string_view name) const {
    out << "# TYPE " << name << " histogram\n";
    double seen = 0;
    for (auto&& bin : bh::indexed(bins, bh::coverage::all)) {
      seen += *bin;
      if (bin.index() < static_cast<int>(kBins)) {
        out << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << seen
            << "\n";
      }
    }
    out << name << "_bucket{le=\"+Inf\"} " << count << "\n"
        << name << "_sum " << sum_seconds << "\n"
        << name << "_count " << count << "\n";
  }

  nlohmann::json Summary() const {
    return {{"count", count},
            {"p50_s", Quantile(0.50)},
            {"p95_s", Quantile(0.95)},
            {"p99_s", Quantile(0.99)}};
  }
};

}  // namespace

struct serving_metrics::histograms {
  std::mutex mutex;
  latency_series whole;
  latency_series first_byte;
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
  out["whole_time"] = histograms_->whole.Summary();
  out["first_byte"] = histograms_->first_byte.Summary();
  for (const auto& [code, count] : histograms_->replies) {
    out["counters"]["replies_" + code] = count;
  }
}

std::string serving_metrics::PrometheusText() const {
  std::ostringstream out;
  const std::lock_guard lock(histograms_->mutex);
  histograms_->whole.WriteText(out, "shallotport_request_seconds");
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
