#include <getopt.h>
#include <pthread.h>
#include <ulfius.h>

#include <charconv>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "fakes/fake_endpoint_server.h"

namespace shallotport {
namespace {

struct program_options {
  fake_endpoint_options endpoint;
  std::chrono::milliseconds linger{3'000};
  bool is_help = false;
  std::string bad_option;
};

// One row of the table of command-line options.
struct option_row {
  const char* name;
  const char* value_name;  // Null: the option is a flag.
  const char* help;
  bool (*set)(program_options& options, std::string_view value);
};

template <typename Number>
bool Parse(std::string_view text, Number& number) {
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), number);
  return parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
}

bool ParseMilliseconds(std::string_view text, duration& value) {
  double milliseconds = 0;
  if (!Parse(text, milliseconds) || milliseconds < 0) {
    return false;
  }
  value = duration(static_cast<int64_t>(milliseconds * 1000));
  return true;
}

std::vector<std::string> SplitAtCommas(std::string_view text) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const size_t comma = text.find(',');
    parts.emplace_back(text.substr(0, comma));
    text = comma == std::string_view::npos ? "" : text.substr(comma + 1);
  }
  return parts;
}

using options_ref = program_options&;
using value_ref = std::string_view;

const option_row kOptions[] = {
    {"id", "NAME", "endpoint id",
     [](options_ref o, value_ref v) {
       o.endpoint.record.id = endpoint_id(std::string(v));
       return !v.empty();
     }},
    {"incarnation", "N", "number of this start",
     [](options_ref o, value_ref v) {
       return Parse(v, o.endpoint.record.started);
     }},
    {"domain", "NAME", "failure domain",
     [](options_ref o, value_ref v) {
       o.endpoint.record.domain = domain_id(std::string(v));
       return true;
     }},
    {"listen", "IP:PORT", "address of the HTTP interface",
     [](options_ref o, value_ref v) {
       o.endpoint.record.address = v;
       return true;
     }},
    {"announce", "IP:PORT,...", "hosts to announce to",
     [](options_ref o, value_ref v) {
       o.endpoint.announcer.hosts = SplitAtCommas(v);
       return true;
     }},
    {"token", "TEXT", "endpoint token",
     [](options_ref o, value_ref v) {
       o.endpoint.announcer.token = v;
       return true;
     }},
    {"services", "NAME,...", "announced services",
     [](options_ref o, value_ref v) {
       for (std::string& name : SplitAtCommas(v)) {
         o.endpoint.record.services.emplace_back(std::move(name));
       }
       return true;
     }},
    {"runner", nullptr, "has a model engine",
     [](options_ref o, value_ref) {
       return o.endpoint.record.is_runner = true;
     }},
    {"checks-fencing", nullptr, "refuses orders with an old fencing number",
     [](options_ref o, value_ref) {
       return o.endpoint.record.checks_fencing = true;
     }},
    {"remembers-outcomes", nullptr, "answers questions about outcomes",
     [](options_ref o, value_ref) {
       return o.endpoint.record.remembers_outcomes = true;
     }},
    {"can-resume", nullptr, "honours X-Resume-From",
     [](options_ref o, value_ref) {
       return o.endpoint.record.can_resume = true;
     }},
    {"slots", "N", "calls executed at the same time",
     [](options_ref o, value_ref v) {
       return Parse(v, o.endpoint.engine.slots) && o.endpoint.engine.slots > 0;
     }},
    {"ttft-ms", "MS", "time to the first token",
     [](options_ref o, value_ref v) {
       return ParseMilliseconds(v, o.endpoint.engine.first_token_time);
     }},
    {"token-ms", "MS", "time between tokens",
     [](options_ref o, value_ref v) {
       return ParseMilliseconds(v, o.endpoint.engine.token_time);
     }},
    {"token-slope", "SHARE", "slowdown for each further running call",
     [](options_ref o, value_ref v) {
       return Parse(v, o.endpoint.engine.occupancy_slope);
     }},
    {"cache-prefixes", "N", "size of the prefix cache",
     [](options_ref o, value_ref v) {
       return Parse(v, o.endpoint.engine.cached_prefixes);
     }},
    {"report-lag-ms", "MS", "age of the load in reports",
     [](options_ref o, value_ref v) {
       return ParseMilliseconds(v, o.endpoint.engine.report_lag);
     }},
    {"service-ms", "MS", "time of a plain service's call",
     [](options_ref o, value_ref v) {
       return ParseMilliseconds(v, o.endpoint.service_time);
     }},
    {"fault", "MODE", "fault mode from the start",
     [](options_ref o, value_ref v) {
       const auto mode = FaultModeOfName(v);
       o.endpoint.fault.mode = mode.value_or(fault_mode::kNone);
       return mode.has_value();
     }},
    {"fault-rate", "SHARE", "share of calls with the fault",
     [](options_ref o, value_ref v) {
       return Parse(v, o.endpoint.fault.rate);
     }},
    {"fault-extra-ms", "MS", "delay of the slow fault",
     [](options_ref o, value_ref v) {
       return ParseMilliseconds(v, o.endpoint.fault.extra);
     }},
    {"seed", "N", "seed of the fault draws",
     [](options_ref o, value_ref v) { return Parse(v, o.endpoint.seed); }},
    {"runs-file", "PATH", "keeps the run counts across restarts",
     [](options_ref o, value_ref v) {
       o.endpoint.runs_file = v;
       return true;
     }},
    {"max-connections", "N", "connections at the same time",
     [](options_ref o, value_ref v) {
       return Parse(v, o.endpoint.max_connections);
     }},
    {"linger-ms", "MS", "idle time before the end after SIGTERM",
     [](options_ref o, value_ref v) {
       duration linger{0};
       const bool is_valid = ParseMilliseconds(v, linger);
       o.linger = std::chrono::duration_cast<std::chrono::milliseconds>(linger);
       return is_valid;
     }},
    {"help", nullptr, "shows this text",
     [](options_ref o, value_ref) { return o.is_help = true; }},
};

program_options ParseCommandLine(int argc, char** argv) {
  std::vector<option> table;
  for (const option_row& row : kOptions) {
    const int argument =
        row.value_name == nullptr ? no_argument : required_argument;
    table.push_back({row.name, argument, nullptr, 0});
  }
  table.push_back({nullptr, 0, nullptr, 0});
  program_options options;
  options.endpoint.record.started = 1;
  int index = 0;
  int code = 0;
  while ((code = getopt_long(argc, argv, "", table.data(), &index)) != -1) {
    if (code != 0 ||
        !kOptions[index].set(options, optarg == nullptr ? "" : optarg)) {
      options.bad_option = code != 0 ? argv[optind - 1] : kOptions[index].name;
    }
  }
  if (optind < argc) {
    options.bad_option = argv[optind];
  }
  return options;
}

void PrintHelp() {
  std::puts("fake_endpoint --id NAME --listen IP:PORT [option...]");
  for (const option_row& row : kOptions) {
    const std::string left =
        std::string(row.name) + " " + (row.value_name ? row.value_name : "");
    std::printf("  --%-28s %s\n", left.c_str(), row.help);
  }
}

int RunProgram(const program_options& options) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  ulfius_global_init();
  auto started = fake_endpoint_server::Start(options.endpoint);
  if (!IsOk(started)) {
    std::fprintf(stderr, "fake_endpoint: %s\n",
                 ErrorOf(started).detail.c_str());
    return EXIT_FAILURE;
  }
  int received = 0;
  sigwait(&signals, &received);
  ValueOf(started)->BeginLeaving();
  ValueOf(started)->WaitUntilIdle(options.linger);
  ValueOf(started).reset();
  ulfius_global_close();
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace shallotport

int main(int argc, char** argv) {
  const shallotport::program_options options =
      shallotport::ParseCommandLine(argc, argv);
  if (options.is_help) {
    shallotport::PrintHelp();
    return EXIT_SUCCESS;
  }
  if (!options.bad_option.empty() || options.endpoint.record.id.IsEmpty()) {
    std::fprintf(stderr,
                 "fake_endpoint: bad or missing option %s; see --help\n",
                 options.bad_option.c_str());
    return 2;
  }
  return shallotport::RunProgram(options);
}
