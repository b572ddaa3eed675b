#include "base/latency_histogram.h"

#include <boost/histogram.hpp>
#include <ostream>
#include <string>

namespace shallotport {

namespace {

namespace bh = boost::histogram;

constexpr unsigned kBins = 60;
constexpr double kLowestSeconds = 1e-4;
constexpr double kHighestSeconds = 100.0;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

}  // namespace

struct latency_histogram::bins {
  decltype(bh::make_histogram(
      log_axis(kBins, kLowestSeconds, kHighestSeconds))) counts =
      bh::make_histogram(log_axis(kBins, kLowestSeconds, kHighestSeconds));
};

latency_histogram::latency_histogram() : bins_(std::make_unique<bins>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept =
    default;

void latency_histogram::Observe(duration time) {
  const double seconds = std::chrono::duration<double>(time).count();
  bins_->counts(seconds);
  sum_seconds_ += seconds;
  ++count_;
}

double latency_histogram::Quantile(double share) const {
  if (count_ == 0) {
    return 0;
  }
  double seen = 0;
  for (auto&& bin : bh::indexed(bins_->counts, bh::coverage::all)) {
    seen += *bin;
    if (seen >= share * static_cast<double>(count_)) {
      return bin.bin().upper();
    }
  }
  return kHighestSeconds;
}

void latency_histogram::WriteText(std::ostream& out,
                                  std::string_view name,
                                  std::string_view labels) const {
  const std::string separator = labels.empty() ? "" : ",";
  const std::string alone =
      labels.empty() ? "" : "{" + std::string(labels) + "}";
  double seen = 0;
  for (auto&& bin : bh::indexed(bins_->counts, bh::coverage::all)) {
    seen += *bin;
    if (bin.index() < static_cast<int>(kBins)) {
      out << name << "_bucket{" << labels << separator << "le=\""
          << bin.bin().upper() << "\"} " << seen << "\n";
    }
  }
  out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << count_
      << "\n"
      << name << "_sum" << alone << " " << sum_seconds_ << "\n"
      << name << "_count" << alone << " " << count_ << "\n";
}

}  // namespace shallotport
