#include "http/http_server.h"

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <thread>
#include <utility>

namespace shallotport {

namespace {

constexpr size_t kStreamBlockBytes = 16 * 1024;
constexpr size_t kConnectionStackBytes = 512 * 1024;
// Bounds request line and headers together.
constexpr size_t kConnectionMemoryBytes = 64 * 1024;

// How long open connections without a request may take to close by themselves.
constexpr std::chrono::milliseconds kConnectionGrace{500};
constexpr std::chrono::milliseconds kConnectionPoll{5};

// Has the kernel drop every packet to the listening socket. Closing the socket
// at once would reset connections that are established but not yet accepted.
void DropNewConnections(int listener) {
  sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
  const sock_fprog program{1, drop_all};
  ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &program,
               sizeof(program));
}

bool ParseAddress(const std::string& text, sockaddr_in& address) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  address = {};
  address.sin_family = AF_INET;
  address.sin_port =
      htons(static_cast<uint16_t>(std::atoi(text.c_str() + colon + 1)));
  return inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) ==
         1;
}

std::vector<http_field> CopyFields(const _u_map* map) {
  std::vector<http_field> fields;
  const char** keys = u_map_enum_keys(map);
  for (size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
    const char* value = u_map_get(map, keys[i]);
    fields.push_back({keys[i], value == nullptr ? "" : value});
  }
  return fields;
}

http_request CopyRequest(const _u_request* request) {
  http_request copy;
  copy.method = request->http_verb;
  copy.path = request->url_path == nullptr ? "/" : request->url_path;
  copy.query = CopyFields(request->map_url);
  copy.headers = CopyFields(request->map_header);
  if (request->binary_body_length > 0) {
    copy.body.assign(static_cast<const char*>(request->binary_body),
                     request->binary_body_length);
  }
  return copy;
}

// Adapts a body_stream to the library's callback.
ssize_t ReadStream(void* user, uint64_t, char* out, size_t room) {
  auto* stream = static_cast<body_stream*>(user);
  std::string bytes;
  while (true) {
    const body_stream::state state = stream->Read(bytes, room);
    if (!bytes.empty()) {
      std::copy(bytes.begin(), bytes.end(), out);
      return static_cast<ssize_t>(bytes.size());
    }
    if (state == body_stream::state::kEnd) {
      return U_STREAM_END;
    }
    if (state == body_stream::state::kBroken) {
      return U_STREAM_ERROR;
    }
  }
}

void FreeStream(void* user) {
  delete static_cast<body_stream*>(user);
}

void FillResponse(http_reply reply, _u_response* response) {
  for (const http_field& field : reply.headers) {
    u_map_put(response->map_header, field.name.c_str(), field.value.c_str());
  }
  if (reply.stream) {
    ulfius_set_stream_response(response,
                               static_cast<unsigned int>(reply.status),
                               ReadStream, FreeStream, U_STREAM_SIZE_UNKNOWN,
                               kStreamBlockBytes, reply.stream.release());
    return;
  }
  ulfius_set_binary_body_response(response,
                                  static_cast<unsigned int>(reply.status),
                                  reply.body.data(), reply.body.size());
}

class ulfius_http_server final : public http_server {
 public:
  ulfius_http_server(const lane_settings& settings, request_handler handler)
      : settings_(settings), handler_(std::move(handler)) {}

  ~ulfius_http_server() override { ulfius_http_server::Stop(); }

  status Start() {
    if (!ParseAddress(settings_.address, address_) ||
        ulfius_init_instance(&instance_, ntohs(address_.sin_port), &address_,
                             nullptr) != U_OK) {
      return MakeError(error_kind::kInvalidRequest,
                       settings_.address + ": not IP:port");
    }
    is_initialised_ = true;
    instance_.max_post_body_size = settings_.max_body_bytes;
    instance_.check_utf8 = 0;
    instance_.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&instance_, &HandleRequest, this);
    const unsigned int flags = MHD_USE_THREAD_PER_CONNECTION |
                               MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL |
                               MHD_USE_ITC;
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&OnCompleted),
         this},
        {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&OnArrived),
         this},
        {MHD_OPTION_SOCK_ADDR, 0, &address_},
        {MHD_OPTION_CONNECTION_LIMIT,
         static_cast<intptr_t>(settings_.max_connections), nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT,
         static_cast<intptr_t>(settings_.idle_timeout.count()), nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT,
         static_cast<intptr_t>(kConnectionMemoryBytes), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE,
         static_cast<intptr_t>(kConnectionStackBytes), nullptr},
        {MHD_OPTION_LISTENING_ADDRESS_REUSE, 1, nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    if (ulfius_start_framework_with_mhd_options(&instance_, flags, options) !=
        U_OK) {
      return MakeError(error_kind::kInvalidRequest,
                       settings_.address + ": cannot be bound");
    }
    is_running_ = true;
    return success{};
  }

  size_t active_requests() const override {
    const std::lock_guard lock(mutex_);
    return active_;
  }

  void StopAccepting() override {
    is_closing_ = true;
    const MHD_DaemonInfo* info =
        MHD_get_daemon_info(instance_.mhd_daemon, MHD_DAEMON_INFO_LISTEN_FD);
    if (info != nullptr) {
      DropNewConnections(info->listen_fd);
    }
  }

  bool WaitUntilIdle(std::chrono::milliseconds limit) override {
    const auto until = std::chrono::steady_clock::now() + limit;
    if (is_closing_) {
      WaitForConnections(std::min(limit, kConnectionGrace));
    }
    std::unique_lock lock(mutex_);
    return idle_.wait_until(lock, until, [this] { return active_ == 0; });
  }

  void Stop() override {
    if (std::exchange(is_running_, false)) {
      ulfius_stop_framework(&instance_);
    }
    if (std::exchange(is_initialised_, false)) {
      ulfius_clean_instance(&instance_);
    }
  }

 private:
  static void* OnArrived(void* user, const char* uri) {
    auto* server = static_cast<ulfius_http_server*>(user);
    {
      const std::lock_guard lock(server->mutex_);
      ++server->active_;
    }
    return ulfius_uri_logger(nullptr, uri);
  }

  static void OnCompleted(void* user,
                          MHD_Connection* connection,
                          void** context,
                          MHD_RequestTerminationCode reason) {
    mhd_request_completed(nullptr, connection, context, reason);
    auto* server = static_cast<ulfius_http_server*>(user);
    {
      const std::lock_guard lock(server->mutex_);
      --server->active_;
    }
    server->idle_.notify_all();
  }

  static int HandleRequest(const _u_request* request,
                           _u_response* response,
                           void* user) {
    const auto* server = static_cast<ulfius_http_server*>(user);
    http_request copy = CopyRequest(request);
    if (server->IsTooLarge(copy)) {
      FillResponse(
          MakeErrorReply(
              MakeError(error_kind::kTooLarge,
                        "the body exceeds " +
                            std::to_string(server->settings_.max_body_bytes) +
                            " bytes"),
              ""),
          response);
      return U_CALLBACK_COMPLETE;
    }
    http_reply reply = server->handler_(std::move(copy));
    if (server->is_closing_) {
      reply.headers.push_back({"Connection", "close"});
    }
    FillResponse(std::move(reply), response);
    return U_CALLBACK_COMPLETE;
  }

  void WaitForConnections(std::chrono::milliseconds limit) const {
    const auto until = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < until) {
      const MHD_DaemonInfo* info = MHD_get_daemon_info(
          instance_.mhd_daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
      if (info == nullptr || info->num_connections == 0) {
        return;
      }
      std::this_thread::sleep_for(kConnectionPoll);
    }
  }

  // The library cuts a body at its bound without a word.
  bool IsTooLarge(const http_request& request) const {
    if (request.body.size() >= settings_.max_body_bytes) {
      return true;
    }
    const std::string_view text =
        request.Header("Content-Length").value_or("0");
    uint64_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length > request.body.size();
  }

  const lane_settings settings_;
  const request_handler handler_;
  sockaddr_in address_{};
  _u_instance instance_{};
  bool is_initialised_ = false;
  bool is_running_ = false;
  std::atomic<bool> is_closing_{false};

  mutable std::mutex mutex_;
  std::condition_variable idle_;
  size_t active_ = 0;
};

}  // namespace

result<std::unique_ptr<http_server>> http_server::Create(
    const lane_settings& settings,
    request_handler handler) {
  auto server =
      std::make_unique<ulfius_http_server>(settings, std::move(handler));
  const status started = server->Start();
  if (!IsOk(started)) {
    return ErrorOf(started);
  }
  return std::unique_ptr<http_server>(std::move(server));
}

}  // namespace shallotport
