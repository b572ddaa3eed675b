#include "http/endpoint_caller.h"

#include <curl/curl.h>

#include <atomic>
#include <future>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/response_head.h"

namespace shallotport {

namespace {

constexpr int kIdlePollMilliseconds = 1000;
constexpr size_t kMaxHeadBytes = 64UL * 1024;

// The library wants one initialisation a process, before any thread uses it.
void InitialiseCurl() {
  static const CURLcode outcome = curl_global_init(CURL_GLOBAL_ALL);
  (void)outcome;
}

struct running_call {
  call_number number = 0;
  endpoint_call call;
  std::shared_ptr<endpoint_call_sink> sink;
  CURL* handle = nullptr;
  curl_slist* header_list = nullptr;
  int status = 0;
  std::string head;            // As received, until it is whole.
  bool is_head_whole = false;  // Of the final answer, not an interim one.
  bool is_head_malformed = false;
  bool is_head_reported = false;
  std::vector<http_field> headers;

  running_call() = default;
  running_call(const running_call&) = delete;
  running_call& operator=(const running_call&) = delete;
  ~running_call() {
    curl_slist_free_all(header_list);
    if (handle != nullptr) {
      curl_easy_cleanup(handle);
    }
  }

  void ReportHead() {
    if (!std::exchange(is_head_reported, true)) {
      sink->OnHead(status, std::move(headers));
    }
  }
};

std::string_view Trimmed(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t\r\n");
  if (first == std::string_view::npos) {
    return {};
  }
  return text.substr(first, text.find_last_not_of(" \t\r\n") - first + 1);
}

// The size of the line; anything else ends the call.
size_t OnHeaderLine(char* data, size_t size, size_t count, void* user) {
  auto* call = static_cast<running_call*>(user);
  const std::string_view raw(data, size * count);
  if (call->is_head_whole) {
    return raw.size();  // A trailer.
  }
  call->head.append(raw);
  const std::string_view line = Trimmed(raw);
  const bool is_too_long = call->head.size() > kMaxHeadBytes;
  if (line.empty() || is_too_long) {
    const std::string head = std::exchange(call->head, {});
    call->is_head_malformed =
        is_too_long || CheckResponseHead(head) != head_fault::kNone;
    call->is_head_whole = !call->is_head_malformed && call->status >= 200;
    return call->is_head_malformed ? 0 : raw.size();
  }
  if (line.starts_with("HTTP/")) {
    long status = 0;
    curl_easy_getinfo(call->handle, CURLINFO_RESPONSE_CODE, &status);
    call->status = static_cast<int>(status);
    call->headers.clear();
    return raw.size();
  }
  const size_t colon = line.find(':');
  if (colon != std::string_view::npos) {
    call->headers.push_back({std::string(line.substr(0, colon)),
                             std::string(Trimmed(line.substr(colon + 1)))});
  }
  return raw.size();
}

size_t OnBodyBytes(char* data, size_t size, size_t count, void* user) {
  auto* call = static_cast<running_call*>(user);
  call->ReportHead();
  call->sink->OnBytes({data, size * count});
  return size * count;
}

class curl_endpoint_caller final : public endpoint_caller {
 public:
  explicit curl_endpoint_caller(size_t max_calls) : max_calls_(max_calls) {
    InitialiseCurl();
    multi_ = curl_multi_init();
    thread_ = std::thread([this] { Run(); });
  }

  ~curl_endpoint_caller() override {
    curl_endpoint_caller::Stop();
    curl_multi_cleanup(multi_);
  }

  bool IsUsable() const { return multi_ != nullptr; }

  result<call_number> Start(endpoint_call call,
                            std::shared_ptr<endpoint_call_sink> sink) override {
    call_number number = 0;
    {
      const std::lock_guard lock(mutex_);
      if (is_stopping_ || open_calls_ >= max_calls_) {
        ++refused_;
        return error{error_kind::kNoCapacity, "too many calls to endpoints",
                     std::chrono::milliseconds(100)};
      }
      ++open_calls_;
      number = ++last_number_;
      auto added = std::make_unique<running_call>();
      added->number = number;
      added->call = std::move(call);
      added->sink = std::move(sink);
      added_.push_back(std::move(added));
    }
    curl_multi_wakeup(multi_);
    return number;
  }

  void Cancel(call_number call) override {
    {
      const std::lock_guard lock(mutex_);
      cancelled_.push_back(call);
    }
    curl_multi_wakeup(multi_);
  }

  void Stop() override {
    {
      const std::lock_guard lock(mutex_);
      is_stopping_ = true;
    }
    curl_multi_wakeup(multi_);
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  void WriteState(nlohmann::json& out) const override {
    const std::lock_guard lock(mutex_);
    out["counters"]["calls_open"] = open_calls_;
    out["counters"]["calls_started"] = last_number_;
    out["counters"]["calls_refused"] = refused_;
    out["max_calls"] = max_calls_;
  }

 private:
  void Run() {
    while (true) {
      if (!TakeRequests()) {
        break;
      }
      int running = 0;
      curl_multi_perform(multi_, &running);
      ReportEnded();
      curl_multi_poll(multi_, nullptr, 0, kIdlePollMilliseconds, nullptr);
    }
    while (!calls_.empty()) {
      End(calls_.begin()->second.get(), CURLE_ABORTED_BY_CALLBACK);
    }
  }

  // False when the caller is to stop.
  bool TakeRequests() {
    std::vector<std::unique_ptr<running_call>> added;
    std::vector<call_number> cancelled;
    bool is_stopping = false;
    {
      const std::lock_guard lock(mutex_);
      added.swap(added_);
      cancelled.swap(cancelled_);
      is_stopping = is_stopping_;
    }
    for (std::unique_ptr<running_call>& call : added) {
      Begin(std::move(call));
    }
    for (const call_number number : cancelled) {
      const auto found = calls_.find(number);
      if (found != calls_.end()) {
        End(found->second.get(), CURLE_ABORTED_BY_CALLBACK);
      }
    }
    return !is_stopping;
  }

  void Begin(std::unique_ptr<running_call> owned) {
    running_call* call = owned.get();
    call->handle = curl_easy_init();
    CURL* handle = call->handle;
    const std::string url = "http://" + call->call.address + call->call.path;
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_CUSTOMREQUEST, call->call.method.c_str());
    if (call->call.method != "GET") {
      curl_easy_setopt(handle, CURLOPT_POSTFIELDS, call->call.body.data());
      curl_easy_setopt(handle, CURLOPT_POSTFIELDSIZE_LARGE,
                       static_cast<curl_off_t>(call->call.body.size()));
    }
    // Without this the library waits for "100 Continue" before large bodies.
    call->header_list = curl_slist_append(call->header_list, "Expect:");
    for (const http_field& field : call->call.headers) {
      call->header_list = curl_slist_append(
          call->header_list, (field.name + ": " + field.value).c_str());
    }
    curl_easy_setopt(handle, CURLOPT_HTTPHEADER, call->header_list);
    curl_easy_setopt(handle, CURLOPT_PROXY, "");
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(handle, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(handle, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(handle, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(call->call.connect_timeout.count()));
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(call->call.timeout.count()));
    curl_easy_setopt(handle, CURLOPT_HEADERFUNCTION, OnHeaderLine);
    curl_easy_setopt(handle, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, OnBodyBytes);
    curl_easy_setopt(handle, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(handle, CURLOPT_PRIVATE, call);
    curl_multi_add_handle(multi_, handle);
    calls_.emplace(call->number, std::move(owned));
  }

  void ReportEnded() {
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(multi_, &left)) {
      if (message->msg != CURLMSG_DONE) {
        continue;
      }
      running_call* call = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
      End(call, message->data.result);
    }
  }

  void End(running_call* call, CURLcode outcome) {
    endpoint_call_end end;
    // The library takes an answer that ends within its head for a whole one.
    end.is_whole = outcome == CURLE_OK && call->is_head_whole;
    end.is_sent = WasSent(call->handle, outcome);
    if (call->is_head_malformed) {
      end.detail = "the answer's head is malformed";
    } else if (outcome != CURLE_OK) {
      end.detail = curl_easy_strerror(outcome);
    } else if (!end.is_whole) {
      end.detail = "the answer ended within its head";
    }
    if (end.is_whole) {
      call->ReportHead();
    }
    call->sink->OnEnd(end);
    curl_multi_remove_handle(multi_, call->handle);
    calls_.erase(call->number);
    const std::lock_guard lock(mutex_);
    --open_calls_;
  }

  static bool WasSent(CURL* handle, CURLcode outcome) {
    if (outcome == CURLE_COULDNT_CONNECT) {
      return false;
    }
    long request_bytes = 0;
    curl_easy_getinfo(handle, CURLINFO_REQUEST_SIZE, &request_bytes);
    return request_bytes > 0;
  }

  const size_t max_calls_;
  CURLM* multi_ = nullptr;
  std::thread thread_;

  mutable std::mutex mutex_;  // Guards the members up to the next comment.
  std::vector<std::unique_ptr<running_call>> added_;
  std::vector<call_number> cancelled_;
  size_t open_calls_ = 0;
  call_number last_number_ = 0;
  uint64_t refused_ = 0;
  bool is_stopping_ = false;

  // Touched by the caller's thread only.
  std::map<call_number, std::unique_ptr<running_call>> calls_;
};

// Collects a whole answer for CallAndWait.
class collecting_sink final : public endpoint_call_sink {
 public:
  void OnHead(int status, std::vector<http_field> headers) override {
    reply_.status = status;
    reply_.headers = std::move(headers);
  }
  void OnBytes(std::string_view bytes) override { reply_.body.append(bytes); }
  void OnEnd(const endpoint_call_end& end) override {
    if (end.is_whole) {
      outcome_.set_value(std::move(reply_));
    } else {
      outcome_.set_value(MakeError(error_kind::kEndpointFailed, end.detail));
    }
  }
  std::future<result<http_reply>> Outcome() { return outcome_.get_future(); }

 private:
  http_reply reply_;
  std::promise<result<http_reply>> outcome_;
};

}  // namespace

result<std::unique_ptr<endpoint_caller>> endpoint_caller::Create(
    size_t max_calls) {
  auto caller = std::make_unique<curl_endpoint_caller>(max_calls);
  if (!caller->IsUsable()) {
    return MakeError(error_kind::kInternal, "libcurl cannot be initialised");
  }
  return std::unique_ptr<endpoint_caller>(std::move(caller));
}

result<http_reply> CallAndWait(endpoint_caller& caller, endpoint_call call) {
  auto sink = std::make_shared<collecting_sink>();
  std::future<result<http_reply>> outcome = sink->Outcome();
  const result<call_number> started =
      caller.Start(std::move(call), std::move(sink));
  if (!IsOk(started)) {
    return ErrorOf(started);
  }
  return outcome.get();
}

}  // namespace shallotport
