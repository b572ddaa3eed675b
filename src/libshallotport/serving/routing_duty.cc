#include "serving/routing_duty.h"

#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/codec.h"
#include "serving/configuration_view.h"

namespace shallotport {

namespace {

constexpr size_t kRingCapacity = 8192;
constexpr duration kFullRingPause = std::chrono::microseconds(200);

}  // namespace

routing_duty::routing_duty(const request_router_options& options,
                           const clock_source& clock,
                           limits_sender send_limits)
    : router_(options),
      send_limits_(std::move(send_limits)),
      thread_(
          clock,
          kRingCapacity,
          [this](steady_time now, message received) {
            std::visit([this, now](auto& kind) { On(now, kind); }, received);
          },
          [this](steady_time now) { return ExchangeLimits(now); }) {}

routing_duty::~routing_duty() {
  Stop();
}

void routing_duty::Admit(route_query query, admit_reply reply) {
  std::optional<message> refused =
      thread_.Offer(admit_message{std::move(query), std::move(reply)});
  if (refused) {
    std::get<admit_message>(*refused).reply(
        error{error_kind::kNoCapacity, "the host has too many requests waiting",
              std::chrono::milliseconds(100)});
  }
}

void routing_duty::ReportStarted(attempt_ticket ticket) {
  Push(report_message{report_kind::kStarted, ticket});
}

void routing_duty::ReportFirstByte(attempt_ticket ticket) {
  Push(report_message{report_kind::kFirstByte, ticket});
}

void routing_duty::ReportFinished(attempt_ticket ticket,
                                  attempt_outcome outcome,
                                  duration service_time) {
  Push(report_message{report_kind::kFinished, ticket, outcome, service_time});
}

void routing_duty::UpdateEndpoint(endpoint_record record) {
  Push(std::move(record));
}

void routing_duty::RemoveEndpoint(endpoint_id id) {
  Push(remove_message{std::move(id)});
}

void routing_duty::SetConfiguration(
    std::shared_ptr<const configuration_snapshot> settings) {
  Push(std::move(settings));
}

void routing_duty::SetHosts(std::vector<host_id> hosts) {
  Push(hosts_message{std::move(hosts)});
}

void routing_duty::OnLimitsMessage(peer_message message) {
  thread_.TryPush(std::move(message));
}

void routing_duty::OnDomainOffer(domain_offer summary) {
  Push(std::move(summary));
}

domain_offer routing_duty::MakeDomainOffer() {
  std::promise<domain_offer> reply;
  std::future<domain_offer> made = reply.get_future();
  Push(offer_message{&reply});
  return made.get();
}

void routing_duty::WriteState(nlohmann::json& out) {
  std::promise<std::string> reply;
  std::future<std::string> text = reply.get_future();
  Push(state_message{&reply});
  out = nlohmann::json::parse(text.get());
  out["ring"] = {{"used", thread_.ring().size()},
                 {"refused", thread_.ring().refused()}};
}

void routing_duty::Push(message pushed) {
  std::optional<message> refused = thread_.Offer(std::move(pushed));
  while (refused && !thread_.ring().IsClosed()) {
    std::this_thread::sleep_for(kFullRingPause);
    refused = thread_.Offer(*std::move(refused));
  }
  if (!refused) {
    return;
  }
  // The thread has ended: whoever waits for an answer gets an empty one.
  if (auto* state = std::get_if<state_message>(&*refused)) {
    state->reply->set_value("{}");
  } else if (auto* offer = std::get_if<offer_message>(&*refused)) {
    offer->reply->set_value({});
  }
}

void routing_duty::On(steady_time now, admit_message& message) {
  message.reply(router_.Admit(now, message.query));
}

void routing_duty::On(steady_time now, const report_message& message) {
  switch (message.kind) {
    case report_kind::kStarted:
      router_.OnStarted(now, message.ticket);
      break;
    case report_kind::kFirstByte:
      router_.OnFirstByte(now, message.ticket);
      break;
    case report_kind::kFinished:
      router_.OnFinished(now, message.ticket, message.outcome,
                         message.service_time);
      break;
  }
}

void routing_duty::On(steady_time now, const endpoint_record& record) {
  router_.UpdateEndpoint(now, record);
}

void routing_duty::On(steady_time now, const remove_message& message) {
  router_.RemoveEndpoint(now, message.id);
}

void routing_duty::On(
    steady_time /*now*/,
    const std::shared_ptr<const configuration_snapshot>& settings) {
  router_.SetConfiguration(settings->settings(), settings->revision());
}

void routing_duty::On(steady_time /*now*/, const hosts_message& message) {
  router_.limiter().SetHosts(message.hosts);
}

void routing_duty::On(steady_time now, const peer_message& limits) {
  const result<limits_message> message = Decode<limits_message>(limits.payload);
  if (IsOk(message)) {
    router_.limiter().OnMessage(now, limits.from, limits.from_incarnation,
                                ValueOf(message));
  }
}

steady_time routing_duty::ExchangeLimits(steady_time now) {
  if (now < next_exchange_) {
    return next_exchange_;
  }
  for (const auto& [to, message] : router_.limiter().MakeMessages(now)) {
    send_limits_(to, Encode(message));
  }
  next_exchange_ = now + account_limiter::kExchangePeriod;
  return next_exchange_;
}

void routing_duty::On(steady_time now, const domain_offer& summary) {
  router_.OnDomainOffer(now, summary);
}

void routing_duty::On(steady_time /*now*/, const state_message& message) {
  nlohmann::json state;
  router_.WriteState(state);
  message.reply->set_value(state.dump());
}

void routing_duty::On(steady_time now, const offer_message& message) {
  message.reply->set_value(router_.MakeDomainOffer(now));
}

}  // namespace shallotport
