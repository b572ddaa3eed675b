#include "batch_host.h"

#include <thread>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "consensus/replica.h"
#include "serving/configuration_view.h"
#include "transport/peer_network.h"

namespace shallotport {

namespace {

constexpr std::chrono::milliseconds kDrainPoll{20};

batch_duty_options DutyOptions(const host_settings& settings,
                               incarnation started) {
  batch_duty_options options;
  options.host = settings.host;
  options.started = started;
  options.seed = HashOf(settings.host.text(), started + 4);
  return options;
}

}  // namespace

batch_host::batch_host(const host_settings& settings,
                       incarnation started,
                       const clock_source& clock,
                       replicated_log& log,
                       replica* member,
                       online_claims& claims,
                       observed_caller& online,
                       peer_network& network,
                       std::unique_ptr<endpoint_caller> caller)
    : online_(online),
      hosts_({settings.host}),
      caller_(std::move(caller)),
      lane_({settings.host, started}, clock, *caller_),
      claims_(claims, clock, settings.host, started),
      duty_(DutyOptions(settings, started),
            clock,
            log,
            lane_,
            claims_,
            [&network](const host_id& to, std::string payload) {
              network.SendDatagram(peer_channel::kBatchYield, to,
                                   std::move(payload));
            }) {
  duty_.SetHosts({settings.host});
  online.SetObserver(duty_);
  network.SetReceiver(peer_channel::kBatchYield, [this](peer_message message) {
    duty_.OnPeerMessage(std::move(message));
  });
  if (member != nullptr) {
    expiry_ = std::make_unique<job_expiry>(
        log, clock, [member] { return member->is_leader(); });
  }
}

result<std::unique_ptr<batch_host>> batch_host::Create(
    const host_settings& settings,
    incarnation started,
    const clock_source& clock,
    replicated_log& log,
    replica* member,
    online_claims& claims,
    observed_caller& online,
    peer_network& network) {
  result<std::unique_ptr<endpoint_caller>> caller =
      endpoint_caller::Create(settings.batch_calls);
  if (!IsOk(caller)) {
    return ErrorOf(caller);
  }
  return std::unique_ptr<batch_host>(
      new batch_host(settings, started, clock, log, member, claims, online,
                     network, std::move(ValueOf(caller))));
}

void batch_host::Start() {
  duty_.Start();
  if (expiry_) {
    expiry_->Start();
  }
}

void batch_host::WaitUntilDrained(std::chrono::milliseconds longest) {
  for (auto waited = std::chrono::milliseconds(0);
       !duty_.IsDrained() && waited < longest; waited += kDrainPoll) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

void batch_host::Drain(std::chrono::milliseconds longest) {
  duty_.BeginDrain();
  WaitUntilDrained(longest * 3 / 4);
  duty_.CancelRunning();
  WaitUntilDrained(longest / 4);
}

void batch_host::Stop() {
  if (expiry_) {
    expiry_->Stop();
  }
  caller_->Stop();
  duty_.Stop();
}

void batch_host::OnHost(const host_event& event) {
  const bool is_gone = event.kind == host_event_kind::kDown ||
                       event.kind == host_event_kind::kLeft;
  const bool is_changed = is_gone ? hosts_.erase(event.host.id) > 0
                                  : hosts_.insert(event.host.id).second;
  if (is_changed) {
    duty_.SetHosts({hosts_.begin(), hosts_.end()});
  }
}

void batch_host::OnEndpoint(const endpoint_event& event) {
  if (event.kind == endpoint_event_kind::kRemoved) {
    online_.Remove(event.endpoint.id);
    duty_.RemoveEndpoint(event.endpoint.id);
    return;
  }
  online_.SetAddress(event.endpoint.id, event.endpoint.address);
  duty_.UpdateEndpoint(event.endpoint);
}

void batch_host::SetConfiguration(const configuration_snapshot& snapshot) {
  std::vector<batch_service> services;
  for (const service_configuration& service : snapshot.settings().services) {
    batch_service each;
    each.id = service.id;
    each.window.strategy = service.batch_strategy;
    each.window.reserve_slots = service.online_reserve_slots;
    services.push_back(std::move(each));
  }
  duty_.SetServices(std::move(services));
}

}  // namespace shallotport
