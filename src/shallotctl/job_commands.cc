#include <getopt.h>

#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "command.h"
#include "operator_client.h"

namespace shallotport {

namespace {

using nlohmann::json;

constexpr std::chrono::seconds kProgressInterval{1};

struct job_options {
  std::vector<http_field> query;
  bool waits = false;
  std::vector<std::string> words;
};

// Options of all four commands. Nothing when the command line is wrong.
std::optional<job_options> ParseOptions(const command_context& context) {
  const option known[] = {{"account", required_argument, nullptr, 'a'},
                          {"after", required_argument, nullptr, 'f'},
                          {"limit", required_argument, nullptr, 'l'},
                          {"wait", no_argument, nullptr, 'w'},
                          {nullptr, 0, nullptr, 0}};
  std::vector<char*> arguments;
  for (const std::string& word : context.arguments) {
    arguments.push_back(const_cast<char*>(word.c_str()));
  }
  arguments.push_back(nullptr);
  job_options options;
  optind = 1;
  const int count = static_cast<int>(arguments.size()) - 1;
  int chosen = 0;
  while ((chosen = getopt_long(count, arguments.data(), "", known, nullptr)) !=
         -1) {
    switch (chosen) {
      case 'a':
        options.query.push_back({"account", optarg});
        break;
      case 'f':
        options.query.push_back({"after", optarg});
        break;
      case 'l':
        options.query.push_back({"limit", optarg});
        break;
      case 'w':
        options.waits = true;
        break;
      default:
        return std::nullopt;
    }
  }
  options.words.assign(arguments.begin() + optind, arguments.end() - 1);
  return options;
}

// The options of a command that names one job.
std::optional<job_options> ParseOneJob(const command_context& context) {
  std::optional<job_options> options = ParseOptions(context);
  const bool is_right =
      options && options->words.size() == 1 && !options->words[0].empty();
  return is_right ? options : std::nullopt;
}

std::string Line(const json& job) {
  const json& counts = job.at("counts");
  return job.at("id").get<std::string>() + " " +
         job.at("account").get<std::string>() + " " +
         job.at("service").get<std::string>() + " " +
         job.at("phase").get<std::string>() + " " + counts.at("done").dump() +
         "/" + counts.at("total").dump() + " done, " +
         counts.at("failed").dump() + " failed, deadline " +
         job.at("deadline_outlook").get<std::string>();
}

result<json> ParseReply(const result<http_reply>& reply) {
  json body = json::parse(ValueOf(reply).body, nullptr, false);
  if (!body.is_object()) {
    return MakeError(error_kind::kCorrupt, "the answer is no JSON object");
  }
  return body;
}

exit_code PrintJob(const command_context& context,
                   const result<http_reply>& reply) {
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  const result<json> job = ParseReply(reply);
  if (!IsOk(job)) {
    std::cerr << "shallotctl: " << ErrorOf(job).detail << "\n";
    return exit_code::kFailed;
  }
  std::cout << (context.is_json ? ValueOf(job).dump() : ValueOf(job).dump(2))
            << "\n";
  return exit_code::kOk;
}

exit_code List(command_context& context) {
  const std::optional<job_options> options = ParseOptions(context);
  if (!options || !options->words.empty() || options->waits) {
    return exit_code::kUsage;
  }
  const result<http_reply> reply =
      context.client.Send("GET", "/v1/jobs", options->query);
  if (!IsSuccess(reply)) {
    return ReportFailure(reply);
  }
  const result<json> body = ParseReply(reply);
  if (context.is_json || !IsOk(body)) {
    std::cout << ValueOf(reply).body;
    return exit_code::kOk;
  }
  for (const json& job : ValueOf(body).at("jobs")) {
    std::cout << Line(job) << "\n";
  }
  if (ValueOf(body).at("has_more").get<bool>()) {
    std::cerr << "more: --after the last job\n";
  }
  return exit_code::kOk;
}

// Whether the job goes on; prints how far it is.
bool IsRunning(const result<http_reply>& reply) {
  if (!IsSuccess(reply)) {
    return false;
  }
  const result<json> job = ParseReply(reply);
  if (!IsOk(job)) {
    return false;
  }
  std::cerr << Line(ValueOf(job)) << "\n";
  const std::string phase = ValueOf(job).value("phase", "");
  return phase == "open" || phase == "running";
}

exit_code Show(command_context& context) {
  const std::optional<job_options> options = ParseOneJob(context);
  if (!options) {
    return exit_code::kUsage;
  }
  const std::string path = "/v1/jobs/" + options->words[0];
  result<http_reply> reply = context.client.Send("GET", path);
  while (options->waits && IsRunning(reply)) {
    std::this_thread::sleep_for(kProgressInterval);
    reply = context.client.Send("GET", path);
  }
  return PrintJob(context, reply);
}

exit_code Cancel(command_context& context) {
  const std::optional<job_options> options = ParseOneJob(context);
  if (!options) {
    return exit_code::kUsage;
  }
  return PrintJob(
      context,
      context.client.Send("POST", "/v1/jobs/" + options->words[0] + "/cancel"));
}

exit_code Results(command_context& context) {
  const std::optional<job_options> options = ParseOneJob(context);
  if (!options) {
    return exit_code::kUsage;
  }
  const std::string path = "/v1/jobs/" + options->words[0] + "/results";
  std::string from = "0";
  while (true) {
    const result<http_reply> reply =
        context.client.Send("GET", path, {{"from", from}});
    if (!IsSuccess(reply)) {
      return ReportFailure(reply);
    }
    std::cout << ValueOf(reply).body;
    const auto next = FindField(ValueOf(reply).headers, "X-Next-Index");
    if (!next) {
      return exit_code::kOk;
    }
    from = std::string(*next);
    std::cerr << "results up to item " << from << "\n";
  }
}

constexpr command kCommands[] = {
    {"jobs list", "list batch jobs",
     "usage: shallotctl jobs list [--account ACCOUNT] [--after ID] "
     "[--limit N]\n\nOne job a line, in the order of creation; --json prints "
     "the whole answer.\n",
     &List},
    {"jobs show", "print one batch job",
     "usage: shallotctl jobs show [--wait] ID\n\n--wait prints the progress "
     "once a second to standard error until the job has ended.\n",
     &Show},
    {"jobs cancel", "cancel a batch job",
     "usage: shallotctl jobs cancel ID\n\nPrints the job as it stands after; a "
     "job that had ended keeps its outcome.\n",
     &Cancel},
    {"jobs results", "print the results of a batch job",
     "usage: shallotctl jobs results ID\n\nOne JSON line for each item that is "
     "done, failed or cancelled; progress on standard error.\n",
     &Results},
};

}  // namespace

std::span<const command> JobCommands() {
  return kCommands;
}

}  // namespace shallotport
