#include "shallotbench/online_load.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "fakes/fake_engine.h"
#include "shallotbench/http_call.h"

namespace shallotport {

namespace {

// Takes a stream of server-sent events apart as its bytes arrive.
struct event_reader {
  std::string pending;
  std::string text;
  uint32_t tokens = 0;
  bool is_ended = false;

  // Number of tokens that these bytes completed.
  uint32_t Take(std::string_view bytes) {
    pending += bytes;
    const uint32_t before = tokens;
    size_t end = 0;
    while ((end = pending.find("\n\n")) != std::string::npos) {
      TakeEvent(std::string_view(pending).substr(0, end));
      pending.erase(0, end + 2);
    }
    return tokens - before;
  }

  void TakeEvent(std::string_view event) {
    constexpr std::string_view kPrefix = "data: ";
    if (event.substr(0, kPrefix.size()) != kPrefix) {
      return;
    }
    event.remove_prefix(kPrefix.size());
    if (event == "[DONE]") {
      is_ended = true;
      return;
    }
    const auto chunk = nlohmann::json::parse(event, nullptr, false);
    if (chunk.is_discarded() || !chunk.contains("choices")) {
      return;
    }
    for (const auto& choice : chunk["choices"]) {
      text += choice.value("text", "");
      ++tokens;
    }
  }
};

}  // namespace

online_load::online_load(online_load_options options)
    : options_(std::move(options)),
      arrivals_(PlanArrivals(options_.arrivals)) {}

online_load::~online_load() {
  WaitUntilDone();
}

void online_load::Start(steady_time start) {
  start_ = start;
  for (uint32_t i = 0; i < options_.workers; ++i) {
    workers_.emplace_back([this] { RunWorker(); });
  }
}

void online_load::WaitUntilDone() {
  for (std::thread& worker : workers_) {
    worker.join();
  }
  workers_.clear();
}

online_counts online_load::Counts() const {
  return {arrivals_.size(), whole_, wrong_, refused_, broken_};
}

void online_load::RunWorker() {
  while (true) {
    const size_t number = next_++;
    if (number >= arrivals_.size()) {
      return;
    }
    std::this_thread::sleep_until(start_ + arrivals_[number]);
    SendOne(number);
  }
}

void online_load::SendOne(size_t number) {
  const std::string prompt =
      options_.name + " online question " + std::to_string(number);
  const nlohmann::json body = {{"model", options_.service},
                               {"prompt", prompt},
                               {"max_tokens", options_.tokens},
                               {"stream", true}};
  http_call call;
  call.verb = "POST";
  call.url = "http://" + options_.hosts[number % options_.hosts.size()] +
             "/v1/completions";
  call.token = options_.token;
  call.headers = {{"X-Deadline-Ms", std::to_string(options_.deadline_ms)}};
  call.body = body.dump();
  event_reader reader;
  const duration planned = arrivals_[number];
  steady_time last = start_ + planned;
  const http_outcome outcome =
      SendStreamingCall(call, [&](std::string_view bytes) {
        const bool is_first = reader.tokens == 0;
        if (reader.Take(bytes) == 0) {
          return;
        }
        const steady_time now = clock_.Now();
        sample_book& book = is_first ? first_tokens_ : token_gaps_;
        book.Add(planned, now - last);
        last = now;
      });
  if (!outcome.is_answered) {
    ++broken_;
  } else if (outcome.status != 200) {
    ++refused_;
  } else if (reader.is_ended &&
             reader.text == FakeAnswer(prompt, options_.tokens)) {
    ++whole_;
  } else {
    ++wrong_;
  }
}

}  // namespace shallotport
