#include "eventio/http_listener.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "eventio/http_connection.h"

namespace shallotport {

http_listener::http_listener(boost::asio::io_context& loop,
                             const clock_source& clock,
                             request_handler on_request)
    : loop_(loop),
      clock_(clock),
      on_request_(std::move(on_request)),
      acceptor_(loop, [this](boost::asio::ip::tcp::socket socket) {
        auto connection =
            std::make_shared<http_connection>(*this, std::move(socket));
        connections_.insert(connection);
        connection->Start();
      }) {}

http_listener::~http_listener() {
  const auto open = std::exchange(connections_, {});
  for (const auto& each : open) {
    each->Detach();
  }
}

status http_listener::Listen(const std::string& address, uint16_t port) {
  return acceptor_.Listen(address, port);
}

void http_listener::StartDraining() {
  is_draining_ = true;
}

void http_listener::CloseIdle(steady_time now) {
  acceptor_.Close();
  const std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                          connections_.end());
  for (const auto& each : all) {
    each->CloseIfIdle(now);
  }
}

void http_listener::EndAll() {
  acceptor_.Close();
  const std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                          connections_.end());
  for (const auto& each : all) {
    each->EndRequest();
  }
}

void http_listener::Sweep(steady_time now) {
  const std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                          connections_.end());
  for (const auto& each : all) {
    each->Sweep(now);
  }
  if (memory_ != nullptr && memory_->Pressure() == memory_pressure::kCritical) {
    CloseLargest();
  }
}

// The kernel would end the whole process.
void http_listener::CloseLargest() {
  std::vector<std::shared_ptr<http_connection>> all(connections_.begin(),
                                                    connections_.end());
  std::sort(all.begin(), all.end(),
            [](const auto& a, const auto& b) { return a->held() > b->held(); });
  for (const auto& each : all) {
    if (memory_->Excess() == 0 || each->held() == 0) {
      return;
    }
    ++counters_.closed_for_memory;
    each->Close();
  }
}

size_t http_listener::busy_count() const {
  return static_cast<size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [](const auto& each) { return each->is_busy(); }));
}

}  // namespace shallotport
