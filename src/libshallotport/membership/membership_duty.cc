#include "membership/membership_duty.h"

#include <algorithm>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

#include "base/log.h"

namespace shallotport {

namespace {

uint16_t SaturatingAdd(uint16_t sum, uint32_t increment) {
  return static_cast<uint16_t>(std::min<uint32_t>(sum + increment, 65'535));
}

std::vector<service_summary> Summarize(
    const domain_id& domain,
    const std::vector<endpoint_record>& endpoints) {
  std::map<service_id, service_summary> sums;
  for (const endpoint_record& endpoint : endpoints) {
    if (endpoint.is_leaving) {
      continue;
    }
    for (const service_id& service : endpoint.services) {
      service_summary& sum = sums[service];
      sum.domain = domain;
      sum.service = service;
      sum.endpoints = SaturatingAdd(sum.endpoints, 1);
      sum.slots = SaturatingAdd(sum.slots, endpoint.load.slots);
      sum.running = SaturatingAdd(sum.running, endpoint.load.running);
      sum.queued = SaturatingAdd(sum.queued, endpoint.load.queued);
    }
  }
  std::vector<service_summary> summaries;
  summaries.reserve(sums.size());
  for (auto& [service, sum] : sums) {
    summaries.push_back(std::move(sum));
  }
  return summaries;
}

void LogHostEvent(const host_event& event) {
  constexpr const char* kEventTexts[] = {" is up", " is suspected", " is down",
                                         " left"};
  LogStateChange(
      "membership",
      event.host.id.text() + kEventTexts[static_cast<size_t>(event.kind)]);
}

}  // namespace

result<std::unique_ptr<membership_duty>> membership_duty::Create(
    membership_duty_options options,
    const clock_source& clock,
    uint64_t seed,
    membership_duty_callbacks callbacks) {
  auto core = membership_core::Create(options.hosts, clock.Now(), seed);
  if (!IsOk(core)) {
    return ErrorOf(core);
  }
  return std::unique_ptr<membership_duty>(
      new membership_duty(std::move(options), clock, seed, std::move(callbacks),
                          std::move(ValueOf(core))));
}

membership_duty::membership_duty(membership_duty_options options,
                                 const clock_source& clock,
                                 uint64_t seed,
                                 membership_duty_callbacks callbacks,
                                 membership_core core)
    : callbacks_(std::move(callbacks)),
      core_(std::move(core)),
      registry_(std::move(options.endpoints), clock.Now(), seed + 1),
      summaries_(std::move(options.summaries), clock.Now(), seed + 2),
      thread_(
          clock,
          options.ring_capacity,
          [this](steady_time now, duty_message message) {
            std::visit([this, now](const auto& typed) { Handle(now, typed); },
                       message);
          },
          [this](steady_time now) { return OnTimer(now); }) {}

membership_duty::~membership_duty() {
  Stop();
}

void membership_duty::Start() {
  thread_.Start();
}

void membership_duty::Stop() {
  thread_.Stop();
}

bool membership_duty::PushPeerMessage(peer_message message) {
  return thread_.TryPush(std::move(message));
}

bool membership_duty::Announce(endpoint_record endpoint,
                               std::function<void(status)> done) {
  return thread_.TryPush(announcement{std::move(endpoint), std::move(done)});
}

bool membership_duty::BeginLeave() {
  return thread_.TryPush(leave_request{});
}

bool membership_duty::SetServices(std::vector<service_id> services) {
  return thread_.TryPush(std::move(services));
}

bool membership_duty::RequestState(std::function<void(nlohmann::json)> done) {
  return thread_.TryPush(state_request{std::move(done)});
}

steady_time membership_duty::OnTimer(steady_time now) {
  if (now >= core_.next_timer()) {
    Perform(core_.OnTimer(now));
  }
  if (now >= registry_.next_timer()) {
    Perform(registry_.OnTimer(now));
  }
  if (now >= summaries_.next_timer()) {
    RefreshSummaries(now);
  }
  return std::min(
      {core_.next_timer(), registry_.next_timer(), summaries_.next_timer()});
}

void membership_duty::Handle(steady_time now, const peer_message& message) {
  if (message.channel == peer_channel::kMembership) {
    const auto decoded = DecodeMembershipMessage(message.payload);
    if (IsOk(decoded)) {
      Perform(core_.OnMessage(now, message.from, ValueOf(decoded)));
      return;
    }
  } else if (message.channel == peer_channel::kEndpoints) {
    const auto decoded = DecodeRegistryMessage(message.payload);
    if (IsOk(decoded)) {
      Perform(registry_.OnMessage(now, message.from, ValueOf(decoded)));
      return;
    }
  } else if (message.channel == peer_channel::kSummaries) {
    const auto decoded = DecodeSummaryMessage(message.payload);
    if (IsOk(decoded)) {
      summaries_.OnMessage(now, ValueOf(decoded));
      return;
    }
  }
  ++corrupt_messages_;
}

void membership_duty::Handle(steady_time now, const announcement& message) {
  const bool has_left = core_.self().state == host_state::kLeft;
  std::vector<registry_action> actions;
  const status announced =
      has_left ? status(MakeError(error_kind::kShuttingDown,
                                  "this host leaves; announce to another one"))
               : registry_.Announce(now, message.endpoint, actions);
  Perform(actions);
  if (message.done) {
    message.done(announced);
  }
}

void membership_duty::Handle(steady_time now, const leave_request&) {
  Perform(core_.BeginLeave(now));
}

void membership_duty::Handle(steady_time,
                             const std::vector<service_id>& services) {
  services_ = services;
  summaries_.SetServices(services_);
}

void membership_duty::Handle(steady_time, const state_request& message) {
  nlohmann::json state;
  core_.WriteState(state["membership"]);
  registry_.WriteState(state["endpoints"]);
  summaries_.WriteState(state["summaries"]);
  nlohmann::json& counters = state["membership"]["counters"];
  counters["corrupt_messages"] = corrupt_messages_;
  counters["sent_messages"] = sent_messages_;
  counters["sent_bytes"] = sent_bytes_;
  counters["ring_refused"] = thread_.ring().refused();
  message.done(std::move(state));
}

void membership_duty::Perform(const std::vector<membership_action>& actions) {
  bool has_changed = false;
  for (const membership_action& action : actions) {
    if (const auto* event = std::get_if<host_event>(&action)) {
      has_changed = true;
      LogHostEvent(*event);
      callbacks_.on_host(*event);
      continue;
    }
    const auto& send = std::get<send_membership>(action);
    std::string payload = EncodeMembershipMessage(send.message);
    ++sent_messages_;
    sent_bytes_ += payload.size();
    callbacks_.send(peer_channel::kMembership, send.to, send.address,
                    std::move(payload));
  }
  if (has_changed) {
    registry_.SetPeers(core_.LiveHosts());
    summaries_.SetPeers(core_.LiveHosts());
  }
}

void membership_duty::Perform(const std::vector<registry_action>& actions) {
  for (const registry_action& action : actions) {
    if (const auto* event = std::get_if<endpoint_event>(&action)) {
      callbacks_.on_endpoint(*event);
      continue;
    }
    const auto& send = std::get<send_registry>(action);
    std::string payload = EncodeRegistryMessage(send.message);
    ++sent_messages_;
    sent_bytes_ += payload.size();
    callbacks_.send(peer_channel::kEndpoints, send.to, {}, std::move(payload));
  }
}

void membership_duty::RefreshSummaries(steady_time now) {
  summaries_.SetLocal(now, Summarize(core_.domain(), registry_.Endpoints()));
  for (const send_summary& send : summaries_.OnTimer(now)) {
    std::string payload = EncodeSummaryMessage(send.message);
    ++sent_messages_;
    sent_bytes_ += payload.size();
    callbacks_.send(peer_channel::kSummaries, send.to, send.address,
                    std::move(payload));
  }
  std::vector<service_summary> other_domains;
  for (const service_id& service : services_) {
    for (service_summary& summary : summaries_.Find(now, service)) {
      other_domains.push_back(std::move(summary));
    }
  }
  callbacks_.on_summaries(other_domains);
}

}  // namespace shallotport
