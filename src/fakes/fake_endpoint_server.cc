#include "fakes/fake_endpoint_server.h"

#include <arpa/inet.h>
#include <ulfius.h>

#include <charconv>
#include <utility>

#include "fakes/fake_answers.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kIdlePollPeriod{20};

uint16_t PortOf(std::string_view address) {
  const std::string_view text = address.substr(address.rfind(':') + 1);
  uint16_t port = 0;
  std::from_chars(text.data(), text.data() + text.size(), port);
  return port;
}

}  // namespace

const fake_endpoint_server::route fake_endpoint_server::kRoutes[] = {
    {"POST", "/v1/completions", &fake_endpoint_server::HandleCompletion},
    {"POST", "/v1/chat/completions", &fake_endpoint_server::HandleCompletion},
    {"POST", "/v1/services/:service/*", &fake_endpoint_server::HandleService},
    {"POST", "/v1/services/:service", &fake_endpoint_server::HandleService},
    {"POST", "/control/cancel", &fake_endpoint_server::HandleCancel},
    {"GET", "/control/outcome", &fake_endpoint_server::HandleOutcome},
    {"GET", "/control/runs", &fake_endpoint_server::HandleRuns},
    {"POST", "/control/orders", &fake_endpoint_server::HandleOrder},
    {"POST", "/control/fault", &fake_endpoint_server::HandleFault},
};

fake_endpoint_server::fake_endpoint_server(fake_endpoint_options options)
    : options_(std::move(options)),
      run_book_(options_.runs_file),
      engine_(options_.engine),
      random_(options_.seed),
      last_active_(Now()) {}

result<std::unique_ptr<fake_endpoint_server>> fake_endpoint_server::Start(
    fake_endpoint_options options) {
  std::unique_ptr<fake_endpoint_server> server(
      new fake_endpoint_server(std::move(options)));
  if (status listening = server->Listen(); !IsOk(listening)) {
    return ErrorOf(listening);
  }
  server->engine_thread_ =
      std::thread([raw = server.get()] { raw->RunEngine(); });
  server->announcer_ = std::make_unique<fake_announcer>(
      server->options_.announcer,
      [raw = server.get()] { return raw->AnnouncementJson(); });
  server->announcer_->Start();
  return server;
}

status fake_endpoint_server::Listen() {
  const std::string& address = options_.record.address;
  sockaddr_in bind_address{};
  bind_address.sin_family = AF_INET;
  const uint16_t port = PortOf(address);
  if (port == 0 ||
      inet_pton(AF_INET, address.substr(0, address.rfind(':')).c_str(),
                &bind_address.sin_addr) != 1) {
    return MakeError(error_kind::kInvalidRequest, "bad address " + address);
  }
  bind_address.sin_port = htons(port);
  instance_ = std::make_unique<_u_instance>();
  ulfius_init_instance(instance_.get(), port, &bind_address, nullptr);
  instance_->max_post_body_size = 4 * 1024 * 1024;
  instance_->allowed_post_processor = U_POST_PROCESS_NONE;
  for (const route& entry : kRoutes) {
    bound_routes_.push_back(
        std::make_unique<bound_route>(bound_route{this, entry.handle}));
    ulfius_add_endpoint_by_val(instance_.get(), entry.verb, entry.url, nullptr,
                               0, &Dispatch, bound_routes_.back().get());
  }
  MHD_OptionItem mhd_options[] = {
      {MHD_OPTION_NOTIFY_COMPLETED,
       reinterpret_cast<intptr_t>(mhd_request_completed), nullptr},
      {MHD_OPTION_URI_LOG_CALLBACK,
       reinterpret_cast<intptr_t>(ulfius_uri_logger), nullptr},
      {MHD_OPTION_SOCK_ADDR, 0, &bind_address},
      {MHD_OPTION_CONNECTION_LIMIT,
       static_cast<intptr_t>(options_.max_connections), nullptr},
      {MHD_OPTION_END, 0, nullptr}};
  const unsigned flags =
      MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD;
  if (ulfius_start_framework_with_mhd_options(instance_.get(), flags,
                                              mhd_options) != U_OK) {
    ulfius_clean_instance(instance_.get());
    instance_.reset();
    return MakeError(error_kind::kInternal, "cannot listen on " + address);
  }
  return success{};
}

fake_endpoint_server::~fake_endpoint_server() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
    for (const auto& [attempt, call] : calls_) {
      call->changed.notify_all();
    }
  }
  engine_changed_.notify_all();
  if (announcer_) {
    announcer_->Stop();
  }
  if (engine_thread_.joinable()) {
    engine_thread_.join();
  }
  if (instance_) {
    ulfius_stop_framework(instance_.get());
    ulfius_clean_instance(instance_.get());
  }
}

void fake_endpoint_server::BeginLeaving() {
  {
    const std::lock_guard lock(mutex_);
    is_leaving_ = true;
    last_active_ = Now();
  }
  engine_changed_.notify_all();
  announcer_->Hasten();
}

void fake_endpoint_server::WaitUntilIdle(std::chrono::milliseconds idle) {
  while (true) {
    {
      const std::lock_guard lock(mutex_);
      if (!calls_.empty() || active_services_ > 0) {
        last_active_ = Now();
      }
      if (Now() - last_active_ >= idle) {
        return;
      }
    }
    std::this_thread::sleep_for(kIdlePollPeriod);
  }
}

int fake_endpoint_server::Dispatch(const _u_request* request,
                                   _u_response* response,
                                   void* bound) {
  const bound_route& target = *static_cast<bound_route*>(bound);
  (target.server->*target.handle)(*request, *response);
  return U_CALLBACK_COMPLETE;
}

std::string fake_endpoint_server::AnnouncementJson() {
  const std::lock_guard lock(mutex_);
  endpoint_record record = options_.record;
  record.is_leaving = is_leaving_;
  record.load = engine_.Report(Now());
  if (!record.is_runner) {
    record.load.running = active_services_;
  }
  return FakeAnnouncement(record, engine_.TakeCacheEvents());
}

void fake_endpoint_server::RunEngine() {
  std::unique_lock lock(mutex_);
  while (!is_stopping_) {
    for (const fake_engine_event& event : engine_.Advance(Now())) {
      Deliver(event);
    }
    const std::optional<steady_time> next = engine_.NextEvent();
    if (next) {
      engine_changed_.wait_until(lock, *next);
    } else {
      engine_changed_.wait(lock);
    }
  }
}

void fake_endpoint_server::Deliver(const fake_engine_event& event) {
  const auto found = calls_.find(event.attempt);
  if (found == calls_.end()) {
    return;
  }
  fake_call& call = *found->second;
  switch (event.kind) {
    case fake_engine_event::event_kind::kToken:
      call.computed_tokens = event.token_index + 1;
      break;
    case fake_engine_event::event_kind::kFinished:
      call.is_finished = true;
      break;
    case fake_engine_event::event_kind::kCancelled:
      call.is_cancelled = true;
      break;
  }
  call.changed.notify_all();
  if (event.kind != fake_engine_event::event_kind::kToken) {
    calls_.erase(found);
  }
}

}  // namespace shallotport
