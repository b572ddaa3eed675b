#include "eventio/endpoint_connection_pool.h"

#include <algorithm>
#include <utility>

#include "eventio/endpoint_connection.h"

namespace shallotport {

namespace {

// Handle of a call; cancels it when destroyed.
class pooled_call final : public endpoint_call {
 public:
  explicit pooled_call(std::shared_ptr<endpoint_connection> connection)
      : connection_(std::move(connection)) {}
  ~pooled_call() override {
    if (connection_ != nullptr) {
      connection_->Close();
    }
  }
  void Pause() override {
    if (connection_ != nullptr) {
      connection_->PauseReading();
    }
  }
  void Resume() override {
    if (connection_ != nullptr) {
      connection_->ResumeReading();
    }
  }
  // Called when the call has ended; its connection may serve another one.
  void Release() { connection_.reset(); }

 private:
  std::shared_ptr<endpoint_connection> connection_;
};

}  // namespace

endpoint_connection_pool::endpoint_connection_pool(
    boost::asio::io_context& loop,
    const clock_source& clock,
    std::string source_ip)
    : loop_(loop), clock_(clock), source_ip_(std::move(source_ip)) {}

endpoint_connection_pool::~endpoint_connection_pool() {
  const auto idle = std::exchange(idle_, {});
  for (const auto& [address, connections] : idle) {
    for (const auto& each : connections) {
      each->Detach();
    }
  }
}

std::unique_ptr<endpoint_call> endpoint_connection_pool::Start(
    const endpoint_address& to,
    outbound_request request,
    call_events events) {
  std::shared_ptr<endpoint_connection> connection = TakeReusable(to, request);
  if (connection == nullptr) {
    ++counters_.opened;
    connection = std::make_shared<endpoint_connection>(*this, to);
  } else {
    ++counters_.reused;
  }
  auto call = std::make_unique<pooled_call>(connection);
  // Releases the handle's reference before reporting the end: by then the
  // connection may be idle again, or in use by another call.
  events.on_end = [handle = call.get(),
                   on_end = std::move(events.on_end)](call_end end) {
    handle->Release();
    on_end(end);
  };
  connection->Begin(std::move(request), std::move(events));
  return call;
}

std::shared_ptr<endpoint_connection> endpoint_connection_pool::TakeReusable(
    const endpoint_address& to,
    const outbound_request& request) {
  const steady_time now = clock_.Now();
  // Looked up anew for each connection: closing one changes the map.
  while (auto connection = FindIdle(to, request)) {
    RemoveIdle(connection.get());
    if (connection->IsReusable(now) &&
        paths_.MayReuse(now, connection->is_relayed()) &&
        !connection->HasInput()) {
      return connection;
    }
    connection->Close();
  }
  return nullptr;
}

std::shared_ptr<endpoint_connection> endpoint_connection_pool::FindIdle(
    const endpoint_address& to,
    const outbound_request& request) const {
  const auto found = idle_.find(to);
  if (found == idle_.end()) {
    return nullptr;
  }
  const auto last = std::find_if(
      found->second.rbegin(), found->second.rend(),
      [&request](const auto& each) { return each->MayCarry(request); });
  return last == found->second.rend() ? nullptr : *last;
}

void endpoint_connection_pool::RecordSkipped(const endpoint_address& from,
                                             const response_head& head,
                                             bool names_request) {
  ++counters_.skipped_responses;
  counters_.unidentified_responses += names_request ? 0 : 1;
  if (on_skipped) {
    on_skipped(from, head, names_request);
  }
}

void endpoint_connection_pool::AddIdle(
    std::shared_ptr<endpoint_connection> connection) {
  auto& idle = idle_[connection->address()];
  idle.push_back(std::move(connection));
}

void endpoint_connection_pool::RemoveIdle(
    const endpoint_connection* connection) {
  const auto found = idle_.find(connection->address());
  if (found == idle_.end()) {
    return;
  }
  std::erase_if(found->second, [connection](const auto& each) {
    return each.get() == connection;
  });
  if (found->second.empty()) {
    idle_.erase(found);
  }
}

void endpoint_connection_pool::Probe(
    const endpoint_address& to,
    std::function<void(probe_result result)> on_result) {
  ++counters_.probes;
  std::make_shared<connection_probe>(loop_, to, paths_.FirstRelay(clock_.Now()),
                                     std::move(on_result))
      ->Begin(paths_.IsCutOff());
}

void endpoint_connection_pool::Sweep(steady_time now) {
  std::vector<std::shared_ptr<endpoint_connection>> expired;
  for (const auto& [address, connections] : idle_) {
    for (const auto& each : connections) {
      const bool has_direct_path = !paths_.IsCutOff();
      if (!each->IsReusable(now) || (each->is_relayed() && has_direct_path)) {
        expired.push_back(each);
      }
    }
  }
  for (const auto& each : expired) {
    each->Close();
  }
}

void endpoint_connection_pool::CloseIdle(const endpoint_address& to) {
  const auto found = idle_.find(to);
  if (found == idle_.end()) {
    return;
  }
  const auto closing = found->second;
  for (const auto& each : closing) {
    each->Close();
  }
}

size_t endpoint_connection_pool::idle_count() const {
  size_t count = 0;
  for (const auto& [address, connections] : idle_) {
    count += connections.size();
  }
  return count;
}

}  // namespace shallotport
