#include <getopt.h>
#include <ulfius.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "shallotbench/batch_load.h"
#include "shallotbench/bench_report.h"
#include "shallotbench/http_call.h"
#include "shallotbench/online_load.h"

namespace shallotport {
namespace {

constexpr int kUsageStatus = 2;

struct bench_options {
  std::string arm = "guarded";
  std::vector<std::string> hosts;
  std::vector<std::string> endpoints;
  std::string token;
  std::string service = "assistant";
  std::string out;
  std::string svg;
  double seconds = 30;
  double rate = 20;
  double burst_rate = 0;
  uint32_t items = 0;
  uint32_t tokens = 20;
  uint64_t seed = 1;
};

std::vector<std::string> SplitAtCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return parts;
}

template <typename Number>
bool Parse(std::string_view text, Number& number) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

struct option_row {
  const char* name;
  const char* help;
  bool (*set)(bench_options& options, std::string_view value);
};

bool SetText(std::string& target, std::string_view value) {
  target = value;
  return !value.empty();
}

using options_ref = bench_options&;
using value_ref = std::string_view;

const option_row kOptions[] = {
    {"arm", "name of the arm; online_alone and batch_alone are the bases",
     [](options_ref o, value_ref v) { return SetText(o.arm, v); }},
    {"hosts", "IP:PORT,... of callers' interfaces",
     [](options_ref o, value_ref v) {
       o.hosts = SplitAtCommas(v);
       return !o.hosts.empty();
     }},
    {"endpoints", "IP:PORT,... of fake endpoints whose runs are counted",
     [](options_ref o, value_ref v) {
       o.endpoints = SplitAtCommas(v);
       return true;
     }},
    {"token", "the account's token",
     [](options_ref o, value_ref v) { return SetText(o.token, v); }},
    {"service", "the model that is called",
     [](options_ref o, value_ref v) { return SetText(o.service, v); }},
    {"seconds", "length of the arm",
     [](options_ref o, value_ref v) { return Parse(v, o.seconds); }},
    {"rate", "online requests per second; 0: none",
     [](options_ref o, value_ref v) { return Parse(v, o.rate); }},
    {"burst-rate", "online requests per second during bursts; 0: no bursts",
     [](options_ref o, value_ref v) { return Parse(v, o.burst_rate); }},
    {"items", "items of the batch job; 0: none",
     [](options_ref o, value_ref v) { return Parse(v, o.items); }},
    {"tokens", "tokens of each answer",
     [](options_ref o, value_ref v) { return Parse(v, o.tokens); }},
    {"seed", "seed of the arrivals",
     [](options_ref o, value_ref v) { return Parse(v, o.seed); }},
    {"out", "file for the arm's samples (run)",
     [](options_ref o, value_ref v) { return SetText(o.out, v); }},
    {"svg", "file for the plot (report)",
     [](options_ref o, value_ref v) { return SetText(o.svg, v); }},
};

void PrintHelp() {
  std::puts(
      "shallotbench run --hosts ... --token ... --out FILE [option...]\n"
      "shallotbench report [--svg FILE] ARM-FILE...\n"
      "It starts no process: util/bench.sh starts hosts and endpoints.");
  for (const option_row& row : kOptions) {
    std::printf("  --%-12s %s\n", row.name, row.help);
  }
}

using key_counts = std::map<std::string, uint64_t>;

// How often each key was started and finished, summed over the endpoints.
struct run_counts {
  key_counts started;
  key_counts finished;
};

void AddCounts(const nlohmann::json& counts, key_counts& sums) {
  for (const auto& [key, count] : counts.items()) {
    sums[key] += count.get<uint64_t>();
  }
}

run_counts CountRuns(const bench_options& options) {
  run_counts runs;
  for (const std::string& endpoint : options.endpoints) {
    http_call call;
    call.url = "http://" + endpoint + "/control/runs";
    const auto answer =
        nlohmann::json::parse(SendCall(call).body, nullptr, false);
    if (answer.is_object()) {
      AddCounts(answer["keys"], runs.started);
      AddCounts(answer["finished_keys"], runs.finished);
    }
  }
  return runs;
}

// The sum of all counts since `before`, and how many are beyond the first one
// of their key.
std::pair<uint64_t, uint64_t> SumAndRepeats(const key_counts& before,
                                            const key_counts& after) {
  uint64_t sum = 0;
  uint64_t repeats = 0;
  for (const auto& [key, count] : after) {
    const auto earlier = before.find(key);
    const uint64_t added =
        count - (earlier == before.end() ? 0 : earlier->second);
    sum += added;
    repeats += added > 1 ? added - 1 : 0;
  }
  return {sum, repeats};
}

int Fail(const status& failure) {
  std::fprintf(stderr, "shallotbench: %s\n", ErrorOf(failure).detail.c_str());
  return EXIT_FAILURE;
}

int RunArm(const bench_options& options) {
  const duration length(static_cast<int64_t>(options.seconds * 1e6));
  online_load_options online;
  online.hosts = options.hosts;
  online.token = options.token;
  online.service = options.service;
  online.name = options.arm;
  online.tokens = options.tokens;
  online.arrivals = {options.rate,
                     options.burst_rate,
                     duration(10'000'000),
                     duration(3'000'000),
                     length,
                     options.seed};
  batch_load_options batch;
  batch.host = options.hosts.back();
  batch.token = options.token;
  batch.service = options.service;
  batch.name = options.arm;
  batch.items = options.items;
  batch.tokens = options.tokens;

  arm_result arm;
  arm.arm = options.arm;
  arm.seconds = options.seconds;
  const run_counts before = CountRuns(options);
  online_load online_part(online);
  batch_load batch_part(batch);
  const system_clock_source clock;
  if (options.items > 0) {
    if (const status sent = batch_part.Submit(); !IsOk(sent)) {
      return Fail(sent);
    }
  }
  const steady_time start = clock.Now();
  online_part.Start(start);
  if (options.items > 0) {
    batch_part.Watch(start, start + length);
  }
  online_part.WaitUntilDone();
  if (options.items > 0) {
    batch_part.Cancel();
    if (const status checked = batch_part.CheckResults(); !IsOk(checked)) {
      return Fail(checked);
    }
  }
  arm.online = online_part.Counts();
  arm.first_tokens = online_part.first_tokens().Samples();
  arm.token_gaps = online_part.token_gaps().Samples();
  arm.batch = batch_part.progress();
  const run_counts after = CountRuns(options);
  std::tie(arm.executions, arm.restarted) =
      SumAndRepeats(before.started, after.started);
  arm.duplicate_executions =
      SumAndRepeats(before.finished, after.finished).second;
  std::ofstream(options.out) << ArmToJson(arm);
  std::fputs(ReportTable({arm}).c_str(), stdout);
  return EXIT_SUCCESS;
}

int Report(const bench_options& options,
           const std::vector<std::string>& files) {
  std::vector<arm_result> arms;
  for (const std::string& file : files) {
    std::ostringstream text;
    text << std::ifstream(file).rdbuf();
    auto arm = ArmFromJson(text.str());
    if (!IsOk(arm)) {
      std::fprintf(stderr, "shallotbench: %s: %s\n", file.c_str(),
                   ErrorOf(arm).detail.c_str());
      return EXIT_FAILURE;
    }
    arms.push_back(std::move(ValueOf(arm)));
  }
  std::fputs(ReportTable(arms).c_str(), stdout);
  if (!options.svg.empty()) {
    std::ofstream(options.svg) << ReportSvg(arms);
  }
  return EXIT_SUCCESS;
}

int RunProgram(int argc, char** argv) {
  std::vector<option> table;
  for (const option_row& row : kOptions) {
    table.push_back({row.name, required_argument, nullptr, 0});
  }
  table.push_back({"help", no_argument, nullptr, 'h'});
  table.push_back({nullptr, 0, nullptr, 0});
  bench_options options;
  int index = 0;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", table.data(), &index)) != -1) {
    if (code == 'h') {
      PrintHelp();
      return EXIT_SUCCESS;
    }
    if (code != 0 || !kOptions[index].set(options, optarg)) {
      std::fputs("shallotbench: bad option; see --help\n", stderr);
      return kUsageStatus;
    }
  }
  const std::vector<std::string> words(argv + optind, argv + argc);
  const std::string command = words.empty() ? "" : words.front();
  if (command == "run" && !options.hosts.empty() && !options.out.empty()) {
    return RunArm(options);
  }
  if (command == "report" && words.size() > 1) {
    return Report(options, {words.begin() + 1, words.end()});
  }
  PrintHelp();
  return kUsageStatus;
}

}  // namespace
}  // namespace shallotport

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  ulfius_global_init();
  const int exit_status = shallotport::RunProgram(argc, argv);
  ulfius_global_close();
  return exit_status;
}
