#include "shallotbench/bench_report.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace shallotport {

using nlohmann::json;

namespace {

constexpr double kWindowSeconds = 1.0;
constexpr int kWidth = 900;
constexpr int kPlotHeight = 220;
constexpr int kMargin = 60;
constexpr std::array<const char*, 6> kColors = {
    "#1b6ca8", "#555555", "#2e8b57", "#c0392b", "#b8860b", "#8e44ad"};

struct plot_point {
  double x = 0;
  double y = 0;
};
using plot_line = std::vector<plot_point>;

template <typename... Arguments>
std::string Format(const char* format, Arguments... arguments) {
  char text[512];
  std::snprintf(text, sizeof(text), format, arguments...);
  return text;
}

json SamplesToJson(const std::vector<time_sample>& samples) {
  json out = json::array();
  for (const time_sample& sample : samples) {
    out.push_back({sample.at.count(), sample.value.count()});
  }
  return out;
}

std::vector<time_sample> SamplesFromJson(const json& in) {
  std::vector<time_sample> samples;
  samples.reserve(in.size());
  for (const json& sample : in) {
    samples.push_back({duration(sample[0].get<int64_t>()),
                       duration(sample[1].get<int64_t>())});
  }
  return samples;
}

double SecondsOf(duration time) {
  return static_cast<double>(time.count()) / 1e6;
}

plot_line TailOverTime(const arm_result& arm) {
  plot_line line;
  for (double start = 0; start < arm.seconds; start += kWindowSeconds) {
    std::vector<time_sample> window;
    for (const time_sample& sample : arm.first_tokens) {
      const double at = SecondsOf(sample.at);
      if (at >= start && at < start + kWindowSeconds) {
        window.push_back(sample);
      }
    }
    if (!window.empty()) {
      line.push_back({start, PercentileMs(std::move(window), 0.95)});
    }
  }
  return line;
}

plot_line BatchRateOverTime(const arm_result& arm) {
  plot_line line;
  size_t first = 0;
  for (size_t i = 1; i < arm.batch.size(); ++i) {
    const double time = SecondsOf(arm.batch[i].at - arm.batch[first].at);
    if (time >= kWindowSeconds) {
      const uint32_t items = arm.batch[i].done - arm.batch[first].done;
      line.push_back({SecondsOf(arm.batch[i].at), items / time});
      first = i;
    }
  }
  return line;
}

// One plot with its frame, labels and lines, at the vertical offset `top`.
std::string Plot(const std::vector<plot_line>& lines,
                 const char* title,
                 double seconds,
                 int top) {
  double highest = 1;
  for (const plot_line& line : lines) {
    for (const plot_point& point : line) {
      highest = std::max(highest, point.y);
    }
  }
  std::string svg = Format(
      "<rect x='%d' y='%d' width='%d' height='%d' fill='none' "
      "stroke='#999'/><text x='%d' y='%d'>%s (0 to %.0f)</text>\n",
      kMargin, top, kWidth - 2 * kMargin, kPlotHeight, kMargin, top - 6, title,
      highest);
  for (size_t i = 0; i < lines.size(); ++i) {
    svg += Format("<polyline fill='none' stroke='%s' points='",
                  kColors[i % kColors.size()]);
    for (const plot_point& point : lines[i]) {
      svg += Format("%.1f,%.1f ",
                    kMargin + point.x / seconds * (kWidth - 2 * kMargin),
                    top + kPlotHeight - point.y / highest * kPlotHeight);
    }
    svg += "'/>\n";
  }
  return svg;
}

const arm_result* FindArm(const std::vector<arm_result>& arms,
                          const char* name) {
  const auto found =
      std::find_if(arms.begin(), arms.end(),
                   [name](const arm_result& arm) { return arm.arm == name; });
  return found == arms.end() ? nullptr : &*found;
}

double Ratio(double value, double base) {
  return base > 0 ? value / base : 0;
}

}  // namespace

double BatchItemsPerSecond(const arm_result& result) {
  if (result.batch.size() < 2) {
    return 0;
  }
  const progress_sample& first = result.batch.front();
  const progress_sample& last = result.batch.back();
  const double seconds = SecondsOf(last.at - first.at);
  return seconds > 0 ? (last.done - first.done) / seconds : 0;
}

std::string ArmToJson(const arm_result& result) {
  json batch = json::array();
  for (const progress_sample& sample : result.batch) {
    batch.push_back({sample.at.count(), sample.done});
  }
  const online_counts& online = result.online;
  const json out = {{"arm", result.arm},
                    {"seconds", result.seconds},
                    {"online",
                     {online.sent, online.whole, online.wrong, online.refused,
                      online.broken}},
                    {"first_tokens", SamplesToJson(result.first_tokens)},
                    {"token_gaps", SamplesToJson(result.token_gaps)},
                    {"batch", batch},
                    {"executions", result.executions},
                    {"restarted", result.restarted},
                    {"duplicate_executions", result.duplicate_executions}};
  return out.dump();
}

result<arm_result> ArmFromJson(const std::string& text) {
  try {
    const json in = json::parse(text);
    arm_result arm;
    arm.arm = in.at("arm").get<std::string>();
    arm.seconds = in.at("seconds").get<double>();
    const json& online = in.at("online");
    arm.online = {online.at(0).get<uint64_t>(), online.at(1).get<uint64_t>(),
                  online.at(2).get<uint64_t>(), online.at(3).get<uint64_t>(),
                  online.at(4).get<uint64_t>()};
    arm.first_tokens = SamplesFromJson(in.at("first_tokens"));
    arm.token_gaps = SamplesFromJson(in.at("token_gaps"));
    for (const json& sample : in.at("batch")) {
      arm.batch.push_back({duration(sample.at(0).get<int64_t>()),
                           sample.at(1).get<uint32_t>()});
    }
    arm.executions = in.at("executions").get<uint64_t>();
    arm.restarted = in.at("restarted").get<uint64_t>();
    arm.duplicate_executions = in.at("duplicate_executions").get<uint64_t>();
    return arm;
  } catch (const std::exception& failure) {
    return MakeError(error_kind::kCorrupt, failure.what());
  }
}

std::string ReportTable(const std::vector<arm_result>& arms) {
  const arm_result* online_alone = FindArm(arms, "online_alone");
  const arm_result* batch_alone = FindArm(arms, "batch_alone");
  std::string table =
      "| arm | online whole/sent | refused | wrong | first token p50 / p95 / "
      "p99 ms | p95, p99 to online alone | gap p50 / p95 / p99 ms | batch "
      "items/s | to the capacity left | executions | started again | "
      "duplicates |\n"
      "|---|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const arm_result& arm : arms) {
    const double p95 = PercentileMs(arm.first_tokens, 0.95);
    const double p99 = PercentileMs(arm.first_tokens, 0.99);
    double p95_ratio = 0;
    double p99_ratio = 0;
    if (online_alone != nullptr) {
      p95_ratio = Ratio(p95, PercentileMs(online_alone->first_tokens, 0.95));
      p99_ratio = Ratio(p99, PercentileMs(online_alone->first_tokens, 0.99));
    }
    double left_ratio = 0;
    if (batch_alone != nullptr && arm.seconds > 0) {
      const double online_rate =
          static_cast<double>(arm.online.whole) / arm.seconds;
      left_ratio = Ratio(BatchItemsPerSecond(arm),
                         BatchItemsPerSecond(*batch_alone) - online_rate);
    }
    const uint64_t refused = arm.online.refused + arm.online.broken;
    table += Format(
        "| %s | %llu/%llu | %llu | %llu | %.0f / %.0f / %.0f | %.2f, %.2f | "
        "%.1f / %.1f / %.1f | %.1f | %.2f | %llu | %llu | %llu |\n",
        arm.arm.c_str(), static_cast<unsigned long long>(arm.online.whole),
        static_cast<unsigned long long>(arm.online.sent),
        static_cast<unsigned long long>(refused),
        static_cast<unsigned long long>(arm.online.wrong),
        PercentileMs(arm.first_tokens, 0.5), p95, p99, p95_ratio, p99_ratio,
        PercentileMs(arm.token_gaps, 0.5), PercentileMs(arm.token_gaps, 0.95),
        PercentileMs(arm.token_gaps, 0.99), BatchItemsPerSecond(arm),
        left_ratio, static_cast<unsigned long long>(arm.executions),
        static_cast<unsigned long long>(arm.restarted),
        static_cast<unsigned long long>(arm.duplicate_executions));
  }
  return table;
}

std::string ReportSvg(const std::vector<arm_result>& arms) {
  double seconds = 1;
  std::vector<plot_line> tails;
  std::vector<plot_line> rates;
  for (const arm_result& arm : arms) {
    seconds = std::max(seconds, arm.seconds);
    tails.push_back(TailOverTime(arm));
    rates.push_back(BatchRateOverTime(arm));
  }
  std::string svg = Format(
      "<svg xmlns='http://www.w3.org/2000/svg' width='%d' height='%d' "
      "font-family='sans-serif' font-size='12'>\n",
      kWidth, 2 * kPlotHeight + 150);
  svg +=
      Plot(tails, "time to first token, p95 of each second, ms", seconds, 40);
  svg += Plot(rates, "batch items per second", seconds, kPlotHeight + 80);
  for (size_t i = 0; i < arms.size(); ++i) {
    svg += Format("<text x='%d' y='%d' fill='%s'>%s</text>\n",
                  kMargin + static_cast<int>(i) * 130, 2 * kPlotHeight + 110,
                  kColors[i % kColors.size()], arms[i].arm.c_str());
  }
  return svg + "</svg>\n";
}

}  // namespace shallotport
