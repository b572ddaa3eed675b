#include "fakes/fake_announcer.h"

#include <ulfius.h>

#include <utility>

namespace shallotport {

fake_announcer::fake_announcer(fake_announcer_options options,
                               std::function<std::string()> body)
    : options_(std::move(options)), body_(std::move(body)) {}

fake_announcer::~fake_announcer() {
  Stop();
}

void fake_announcer::Start() {
  if (!options_.hosts.empty()) {
    thread_ = std::thread([this] { Run(); });
  }
}

void fake_announcer::Stop() {
  {
    const std::lock_guard lock(mutex_);
    is_stopping_ = true;
  }
  changed_.notify_all();
  if (thread_.joinable()) {
    thread_.join();
  }
}

void fake_announcer::Hasten() {
  {
    const std::lock_guard lock(mutex_);
    is_hastened_ = true;
  }
  changed_.notify_all();
}

void fake_announcer::Run() {
  while (true) {
    for (size_t tries = 0; tries < options_.hosts.size(); ++tries) {
      if (SendTo(options_.hosts[current_])) {
        break;
      }
      current_ = (current_ + 1) % options_.hosts.size();
    }
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, options_.period,
                      [this] { return is_hastened_ || is_stopping_; });
    is_hastened_ = false;
    if (is_stopping_) {
      return;
    }
  }
}

bool fake_announcer::SendTo(const std::string& host) const {
  _u_request request;
  _u_response response;
  ulfius_init_request(&request);
  ulfius_init_response(&response);
  const std::string url = "http://" + host + "/v1/endpoints/announce";
  const std::string authorization = "Bearer " + options_.token;
  const std::string body = body_();
  ulfius_set_request_properties(&request, U_OPT_HTTP_VERB, "POST",
                                U_OPT_HTTP_URL, url.c_str(), U_OPT_TIMEOUT, 2UL,
                                U_OPT_HEADER_PARAMETER, "Authorization",
                                authorization.c_str(), U_OPT_HEADER_PARAMETER,
                                "Content-Type", "application/json", U_OPT_NONE);
  ulfius_set_binary_body_request(&request, body.data(), body.size());
  const bool sent = ulfius_send_http_request(&request, &response) == U_OK &&
                    response.status / 100 == 2;
  ulfius_clean_response(&response);
  ulfius_clean_request(&request);
  return sent;
}

}  // namespace shallotport
