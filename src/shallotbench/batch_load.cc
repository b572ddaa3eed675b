#include "shallotbench/batch_load.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>
#include <utility>

#include "fakes/fake_engine.h"
#include "shallotbench/http_call.h"

namespace shallotport {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kPollPeriod{200};

status FailureOf(const http_outcome& outcome, const char* step) {
  return MakeError(error_kind::kInternal, std::string(step) + ": status " +
                                              std::to_string(outcome.status) +
                                              " " + outcome.body);
}

}  // namespace

batch_load::batch_load(batch_load_options options)
    : options_(std::move(options)) {}

std::string batch_load::PromptOf(uint32_t item) const {
  return options_.name + " batch summary " + std::to_string(item);
}

std::string batch_load::UrlOf(const std::string& path) const {
  return "http://" + options_.host + "/v1/batches" + path;
}

status batch_load::Submit() {
  http_call call;
  call.verb = "POST";
  call.url = UrlOf("?service=" + options_.service +
                   "&deadline_ms=" + std::to_string(options_.deadline_ms));
  call.token = options_.token;
  call.headers = {{"Idempotency-Key", options_.name + "-job"}};
  for (uint32_t i = 0; i < options_.items; ++i) {
    const json line = {{"model", options_.service},
                       {"prompt", PromptOf(i)},
                       {"max_tokens", options_.tokens}};
    call.body += line.dump() + "\n";
  }
  const http_outcome outcome = SendCall(call);
  const json answer = json::parse(outcome.body, nullptr, false);
  if (outcome.status != 200 || !answer.is_object() || !answer.contains("id")) {
    return FailureOf(outcome, "submit");
  }
  job_ = answer["id"].get<std::string>();
  return success{};
}

void batch_load::Watch(steady_time start, steady_time until) {
  http_call call;
  call.url = UrlOf("/" + job_);
  call.token = options_.token;
  call.timeout_seconds = 5;
  while (clock_.Now() < until) {
    const http_outcome outcome = SendCall(call);
    const json answer = json::parse(outcome.body, nullptr, false);
    if (outcome.status == 200 && answer.is_object()) {
      const json& counts =
          answer.contains("counts") ? answer["counts"] : answer;
      const auto done = counts.value("done", 0U);
      failed_ = counts.value("failed", 0U);
      progress_.push_back({clock_.Now() - start, done});
      if (done + failed_ >= options_.items) {
        return;
      }
    }
    std::this_thread::sleep_for(kPollPeriod);
  }
}

status batch_load::Cancel() {
  http_call call;
  call.verb = "POST";
  call.url = UrlOf("/" + job_ + "/cancel");
  call.token = options_.token;
  const http_outcome outcome = SendCall(call);
  return outcome.status == 200 ? status(success{})
                               : FailureOf(outcome, "cancel");
}

status batch_load::CheckResults() {
  http_call call;
  call.url = UrlOf("/" + job_ + "/results");
  call.token = options_.token;
  const http_outcome outcome = SendCall(call);
  if (outcome.status != 200) {
    return FailureOf(outcome, "results");
  }
  std::istringstream lines(outcome.body);
  std::string line;
  while (std::getline(lines, line)) {
    const json result = json::parse(line, nullptr, false);
    if (!result.is_object()) {
      return MakeError(error_kind::kCorrupt, "a result line is no JSON");
    }
    if (result.value("outcome", "") != "done") {
      continue;
    }
    const std::string expected =
        FakeAnswer(PromptOf(result.value("index", 0U)), options_.tokens);
    if (line.find(expected) == std::string::npos) {
      return MakeError(error_kind::kCorrupt, "wrong result: " + line);
    }
  }
  return success{};
}

}  // namespace shallotport
