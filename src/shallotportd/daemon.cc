#include "daemon.h"

#include <atomic>
#include <future>
#include <nlohmann/json.hpp>
#include <thread>
#include <utility>

#include "base/digest.h"
#include "base/log.h"
#include "batch_host.h"
#include "claims/claim_coordinator.h"
#include "configuration_distributor.h"
#include "configuration_reports.h"
#include "consensus/forwarding_log.h"
#include "control_member.h"
#include "http/endpoint_caller.h"
#include "http/http_server.h"
#include "incarnation_file.h"
#include "log_claims.h"
#include "membership/membership_duty.h"
#include "order_driver.h"
#include "order_operations.h"
#include "serving/batch_interface.h"
#include "serving/caller_interface.h"
#include "serving/configuration_operations.h"
#include "serving/configuration_view.h"
#include "serving/endpoint_interface.h"
#include "serving/exchange_finisher.h"
#include "serving/host_operations.h"
#include "serving/job_operations.h"
#include "serving/online_exchange.h"
#include "serving/operator_interface.h"
#include "serving/routing_duty.h"
#include "serving/serving_metrics.h"
#include "serving/spill_offers.h"
#include "serving/state_registry.h"
#include "transport/peer_network.h"

namespace shallotport {

namespace {

constexpr duration kAnnounceTimeout = std::chrono::seconds(2);
constexpr duration kStateTimeout = std::chrono::seconds(2);

peer_network_options NetworkOptions(const host_settings& settings,
                                    incarnation started) {
  peer_network_options options;
  options.host = settings.host;
  options.started = started;
  options.address = settings.peer_address;
  for (const peer_settings& peer : settings.peers) {
    options.peers.push_back({peer.host, peer.address});
  }
  options.seed = HashOf(settings.host.text(), started);
  return options;
}

membership_duty_options MembershipOptions(const host_settings& settings,
                                          incarnation started) {
  membership_duty_options options;
  options.hosts.self = settings.host;
  options.hosts.domain = settings.domain;
  options.hosts.address = settings.peer_address;
  options.hosts.started = started;
  options.endpoints.self = settings.host;
  options.endpoints.domain = settings.domain;
  options.summaries.self = settings.host;
  options.summaries.domain = settings.domain;
  std::map<domain_id, summary_domain> others;
  for (const peer_settings& peer : settings.peers) {
    if (peer.domain == settings.domain) {
      if (peer.host != settings.host) {
        options.hosts.seeds.push_back({peer.host, peer.address});
      }
      continue;
    }
    summary_domain& other = others[peer.domain];
    other.domain = peer.domain;
    other.contacts.emplace_back(peer.host, peer.address);
  }
  for (auto& [id, other] : others) {
    options.summaries.domains.push_back(std::move(other));
  }
  return options;
}

forwarding_options ForwardingOptions(const host_settings& settings,
                                     incarnation started,
                                     replica* local) {
  forwarding_options options;
  options.host = settings.host;
  options.host_incarnation = started;
  for (const peer_settings& peer : settings.peers) {
    if (peer.is_control_member) {
      options.members.push_back(peer.host);
    }
  }
  options.local = local;
  options.seed = HashOf(settings.host.text(), started + 1);
  return options;
}

std::string_view NameOf(host_event_kind kind) {
  constexpr std::array<std::string_view, 4> kNames = {"up", "suspect", "down",
                                                      "left"};
  return kNames[static_cast<size_t>(kind)];
}

}  // namespace

// Members are destroyed in reverse order: what uses others comes after them.
struct daemon::parts {
  host_settings settings;
  system_clock_source clock;
  incarnation started = 0;
  std::vector<spill_contact> contacts;  // Hosts of other failure domains.
  std::atomic<bool> is_draining{false};

  serving_metrics metrics;
  state_registry state;
  configuration_view configuration;
  std::unique_ptr<peer_network> network;
  std::unique_ptr<control_member> member;
  std::unique_ptr<forwarding_log> log;
  std::unique_ptr<claim_coordinator> coordinator;
  std::unique_ptr<log_claims> claims;
  std::unique_ptr<routing_duty> routing;
  std::unique_ptr<membership_duty> membership;
  std::unique_ptr<observed_caller> online_caller;
  std::unique_ptr<exchange_finisher> finisher;
  std::unique_ptr<batch_host> batch;
  std::unique_ptr<configuration_distributor> distributor;
  std::unique_ptr<configuration_operations> configuration_routes;
  std::unique_ptr<host_operations> host_routes;
  std::unique_ptr<configuration_reports> report_routes;
  std::unique_ptr<job_operations> job_routes;
  std::unique_ptr<order_operations> orders;
  std::unique_ptr<order_driver> order_sending;  // Members of the log only.
  exchange_services services;
  std::unique_ptr<batch_interface> batches;
  std::unique_ptr<caller_interface> callers;
  std::unique_ptr<endpoint_interface> endpoints;
  std::unique_ptr<operator_interface> operators;
  std::unique_ptr<http_server> caller_lane;
  std::unique_ptr<http_server> endpoint_lane;
  std::unique_ptr<http_server> operator_lane;

  status Compose();
  status ComposeLog();
  status ComposeMembership();
  status ComposeOnline();
  status ComposeBatch();
  void ComposeInterfaces();
  void ConnectNetwork();
  void AddStates();
  status Listen();
  status IsReady() const;
  status Announce(const endpoint_record& record);
  void WriteMembership(nlohmann::json& out);
};

status daemon::parts::Compose() {
  result<incarnation> number = NextIncarnation(settings.data_folder, clock);
  if (!IsOk(number)) {
    return ErrorOf(number);
  }
  started = ValueOf(number);
  result<std::unique_ptr<peer_network>> made =
      peer_network::Create(NetworkOptions(settings, started), clock);
  if (!IsOk(made)) {
    return ErrorOf(made);
  }
  network = std::move(ValueOf(made));
  using step = status (parts::*)();
  constexpr step kSteps[] = {&parts::ComposeLog, &parts::ComposeOnline,
                             &parts::ComposeBatch, &parts::ComposeMembership};
  for (const step compose : kSteps) {
    status composed = (this->*compose)();
    if (!IsOk(composed)) {
      return composed;
    }
  }
  ComposeInterfaces();
  ConnectNetwork();
  AddStates();
  return success{};
}

status daemon::parts::ComposeLog() {
  bool is_member = false;
  for (const peer_settings& peer : settings.peers) {
    is_member |= peer.host == settings.host && peer.is_control_member;
  }
  replica* local = nullptr;
  if (is_member) {
    result<std::unique_ptr<control_member>> made =
        control_member::Create(settings, clock, *network);
    if (!IsOk(made)) {
      return ErrorOf(made);
    }
    member = std::move(ValueOf(made));
    local = &member->log_member();
  }
  result<std::unique_ptr<forwarding_log>> made = forwarding_log::Create(
      ForwardingOptions(settings, started, local), clock,
      [this](const host_id& to, std::string bytes) {
        network->SendStream(peer_channel::kLogForwarding, to, std::move(bytes));
      });
  if (!IsOk(made)) {
    return ErrorOf(made);
  }
  log = std::move(ValueOf(made));
  orders = std::make_unique<order_operations>(*log, clock);
  if (local != nullptr) {
    auto driver = order_driver::Create(settings.host, *local, clock,
                                       settings.election_timeout);
    if (!IsOk(driver)) {
      return ErrorOf(driver);
    }
    order_sending = std::move(ValueOf(driver));
  }
  claim_coordinator_options options;
  options.host = settings.host;
  options.started = started;
  coordinator = std::make_unique<claim_coordinator>(options, *log, clock);
  claims = std::make_unique<log_claims>(*coordinator, *log, clock,
                                        settings.claim_timeout);
  distributor = std::make_unique<configuration_distributor>(
      settings, HashOf(settings.host.text(), started + 4), local, clock,
      configuration,
      [this](const host_id& to, std::string bytes) {
        network->SendStream(peer_channel::kConfiguration, to, std::move(bytes));
      },
      [this](const std::shared_ptr<const configuration_snapshot>& snapshot) {
        routing->SetConfiguration(snapshot);
        batch->SetConfiguration(*snapshot);
        std::vector<service_id> names;
        for (const service_configuration& service :
             snapshot->settings().services) {
          names.push_back(service.id);
        }
        membership->SetServices(std::move(names));
      });
  return success{};
}

status daemon::parts::ComposeMembership() {
  for (const peer_settings& peer : settings.peers) {
    if (peer.domain != settings.domain && !peer.caller_address.empty()) {
      contacts.push_back({peer.host, peer.domain, peer.caller_address});
    }
  }
  membership_duty_callbacks callbacks;
  callbacks.send = [this](peer_channel channel, const host_id& to,
                          const std::string& address, std::string payload) {
    if (!address.empty()) {
      network->SetPeer({to, address});
    }
    network->SendDatagram(channel, to, std::move(payload));
  };
  callbacks.on_host = [this](const host_event& event) {
    batch->OnHost(event);
    LogStateChange("membership", "host " + event.host.id.text() + " is " +
                                     std::string(NameOf(event.kind)));
  };
  callbacks.on_endpoint = [this](const endpoint_event& event) {
    batch->OnEndpoint(event);
    if (event.kind == endpoint_event_kind::kRemoved) {
      routing->RemoveEndpoint(event.endpoint.id);
      orders->RemoveEndpoint(event.endpoint.id);
      LogStateChange("endpoints",
                     "endpoint " + event.endpoint.id.text() + " is gone");
      return;
    }
    if (event.kind == endpoint_event_kind::kAdded) {
      LogStateChange("endpoints",
                     "endpoint " + event.endpoint.id.text() + " is known");
    }
    routing->UpdateEndpoint(event.endpoint);
    orders->UpdateEndpoint(event.endpoint);
  };
  callbacks.on_summaries =
      [this, sequence = uint64_t{0}](
          const std::vector<service_summary>& summaries) mutable {
        for (domain_offer& offer :
             MakeSpillOffers(summaries, contacts, ++sequence)) {
          routing->OnDomainOffer(std::move(offer));
        }
      };
  result<std::unique_ptr<membership_duty>> made = membership_duty::Create(
      MembershipOptions(settings, started), clock,
      HashOf(settings.host.text(), started + 2), std::move(callbacks));
  if (!IsOk(made)) {
    return ErrorOf(made);
  }
  membership = std::move(ValueOf(made));
  return success{};
}

status daemon::parts::ComposeBatch() {
  result<std::unique_ptr<batch_host>> made = batch_host::Create(
      settings, started, clock, *log, member ? &member->log_member() : nullptr,
      *claims, *online_caller, *network);
  if (!IsOk(made)) {
    return ErrorOf(made);
  }
  batch = std::move(ValueOf(made));
  return success{};
}

status daemon::parts::ComposeOnline() {
  request_router_options options;
  options.host = settings.host;
  options.domain = settings.domain;
  options.started = started;
  options.address = settings.caller_lane.address;
  options.seed = HashOf(settings.host.text(), started + 3);
  routing = std::make_unique<routing_duty>(
      options, clock, [this](const host_id& to, std::string payload) {
        network->SendDatagram(peer_channel::kLimits, to, std::move(payload));
      });
  std::vector<host_id> hosts;
  for (const peer_settings& peer : settings.peers) {
    hosts.push_back(peer.host);
  }
  routing->SetHosts(std::move(hosts));
  result<std::unique_ptr<endpoint_caller>> caller =
      endpoint_caller::Create(settings.online_calls);
  if (!IsOk(caller)) {
    return ErrorOf(caller);
  }
  online_caller =
      std::make_unique<observed_caller>(std::move(ValueOf(caller)), clock);
  finisher = std::make_unique<exchange_finisher>();
  services.clock = &clock;
  services.routing = routing.get();
  services.caller = online_caller.get();
  services.claims = claims.get();
  services.finisher = finisher.get();
  services.metrics = &metrics;
  services.peer_secret = settings.endpoint_token;
  services.claim_timeout = settings.claim_timeout;
  return success{};
}

void daemon::parts::ComposeInterfaces() {
  callers = std::make_unique<caller_interface>(
      caller_interface::options{settings.host, started}, services,
      configuration);
  batches = std::make_unique<batch_interface>(*log, clock);
  callers->SetBatchHandler(
      [this](const http_request& request, const authenticated_caller& caller) {
        return batches->Handle(request, caller);
      });
  endpoints = std::make_unique<endpoint_interface>(
      settings.endpoint_token,
      [this](const endpoint_record& record) { return Announce(record); });
  operators = std::make_unique<operator_interface>(
      settings.operator_token, state, metrics, [this] { return IsReady(); });
  configuration_routes = std::make_unique<configuration_operations>(
      *log, clock, [this] { distributor->Hurry(); });
  configuration_routes->AddRoutes(operators->routes());
  host_routes = std::make_unique<host_operations>(*log, clock);
  host_routes->AddRoutes(operators->routes());
  report_routes =
      std::make_unique<configuration_reports>(*log, clock, *distributor);
  report_routes->AddRoutes(operators->routes());
  job_routes = std::make_unique<job_operations>(*log, clock);
  job_routes->AddRoutes(operators->routes());
  orders->AddRoutes(operators->routes());
}

void daemon::parts::ConnectNetwork() {
  const auto to_membership = [this](peer_message message) {
    membership->PushPeerMessage(std::move(message));
  };
  network->SetReceiver(peer_channel::kMembership, to_membership);
  network->SetReceiver(peer_channel::kEndpoints, to_membership);
  network->SetReceiver(peer_channel::kSummaries, to_membership);
  network->SetReceiver(peer_channel::kLimits, [this](peer_message message) {
    routing->OnLimitsMessage(std::move(message));
  });
  network->SetReceiver(
      peer_channel::kConfiguration, [this](peer_message message) {
        distributor->OnPeerMessage(message.from, std::move(message.payload));
      });
  network->SetReceiver(peer_channel::kLogForwarding,
                       [this](const peer_message& message) {
                         log->OnPeerMessage(message.from, message.payload);
                       });
  if (member) {
    network->SetReceiver(peer_channel::kConsensus,
                         [this](peer_message message) {
                           member->log_member().OnPeerMessage(
                               message.from, std::move(message.payload));
                         });
  }
}

void daemon::parts::AddStates() {
  state.Add("host", [this](nlohmann::json& out) {
    out["host"] = settings.host.text();
    out["domain"] = settings.domain.text();
    out["incarnation"] = started;
    out["draining"] = is_draining.load();
    out["configuration_revision"] = configuration.revision();
    out["counters"]["configuration_revision"] = configuration.revision();
  });
  state.Add("online", [this](nlohmann::json& out) { metrics.WriteState(out); });
  state.Add("routing",
            [this](nlohmann::json& out) { routing->WriteState(out); });
  state.Add("membership",
            [this](nlohmann::json& out) { WriteMembership(out); });
  state.Add("batch", [this](nlohmann::json& out) { batch->WriteState(out); });
  state.Add("network",
            [this](nlohmann::json& out) { network->WriteState(out); });
  state.Add("configuration",
            [this](nlohmann::json& out) { distributor->WriteState(out); });
  state.Add("log", [this](nlohmann::json& out) { log->WriteState(out); });
  state.Add("claims",
            [this](nlohmann::json& out) { coordinator->WriteState(out); });
  state.Add("online_calls",
            [this](nlohmann::json& out) { online_caller->WriteState(out); });
  if (order_sending) {
    state.Add("orders",
              [this](nlohmann::json& out) { order_sending->WriteState(out); });
  }
  if (member) {
    state.Add("consensus", [this](nlohmann::json& out) {
      member->log_member().WriteState(out);
    });
  }
}

void daemon::parts::WriteMembership(nlohmann::json& out) {
  auto reply = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> dumped = reply->get_future();
  const bool is_asked = membership->RequestState(
      [reply](nlohmann::json dump) { reply->set_value(std::move(dump)); });
  if (is_asked && dumped.wait_for(kStateTimeout) == std::future_status::ready) {
    out = dumped.get();
  }
}

status daemon::parts::Announce(const endpoint_record& record) {
  auto reply = std::make_shared<std::promise<status>>();
  std::future<status> outcome = reply->get_future();
  const bool is_taken = membership->Announce(
      record, [reply](status done) { reply->set_value(std::move(done)); });
  if (!is_taken ||
      outcome.wait_for(kAnnounceTimeout) != std::future_status::ready) {
    return error{error_kind::kNoCapacity, "the host is too busy",
                 std::chrono::milliseconds(500)};
  }
  return outcome.get();
}

status daemon::parts::IsReady() const {
  if (is_draining) {
    return MakeError(error_kind::kShuttingDown, "shutting down");
  }
  if (configuration.revision() == 0) {
    return MakeError(error_kind::kNoCapacity, "no configuration in force yet");
  }
  return success{};
}

status daemon::parts::Listen() {
  struct lane {
    const lane_settings& settings;
    http_server::request_handler handler;
    std::unique_ptr<http_server>& server;
  };
  const lane lanes[] = {{settings.operator_lane,
                         [this](const http_request& request) {
                           return operators->Handle(request);
                         },
                         operator_lane},
                        {settings.endpoint_lane,
                         [this](const http_request& request) {
                           return endpoints->Handle(request);
                         },
                         endpoint_lane},
                        {settings.caller_lane,
                         [this](http_request request) {
                           return callers->Handle(std::move(request));
                         },
                         caller_lane}};
  for (const lane& opened : lanes) {
    result<std::unique_ptr<http_server>> server =
        http_server::Create(opened.settings, opened.handler);
    if (!IsOk(server)) {
      return ErrorOf(server);
    }
    opened.server = std::move(ValueOf(server));
  }
  return success{};
}

daemon::daemon(std::unique_ptr<parts> made) : parts_(std::move(made)) {}

daemon::~daemon() = default;

result<std::unique_ptr<daemon>> daemon::Create(const host_settings& settings) {
  auto made = std::make_unique<parts>();
  made->settings = settings;
  const status composed = made->Compose();
  if (!IsOk(composed)) {
    return ErrorOf(composed);
  }
  return std::unique_ptr<daemon>(new daemon(std::move(made)));
}

status daemon::Start() {
  if (parts_->member) {
    status started = parts_->member->Start();
    if (!IsOk(started)) {
      return started;
    }
  }
  parts_->network->Start();
  parts_->routing->Start();
  parts_->membership->Start();
  parts_->coordinator->Start();
  parts_->batch->Start();
  parts_->distributor->Start();
  if (parts_->order_sending) {
    parts_->order_sending->Start();
  }
  status listening = parts_->Listen();
  if (!IsOk(listening)) {
    return listening;
  }
  LogStateChange("host",
                 "started as incarnation " + std::to_string(parts_->started));
  return success{};
}

void daemon::Stop() {
  LogStateChange("host", "stopping: not ready from now on");
  parts_->is_draining = true;
  parts_->membership->BeginLeave();
  std::this_thread::sleep_for(parts_->settings.drain_notice);
  parts_->callers->BeginDrain();
  parts_->caller_lane->StopAccepting();
  if (!parts_->caller_lane->WaitUntilIdle(parts_->settings.drain_timeout)) {
    LogWarning("host", "requests were still under way at the drain timeout");
  }
  parts_->batch->Drain(parts_->settings.drain_timeout);
  parts_->finisher->Stop();
  parts_->caller_lane->Stop();
  parts_->endpoint_lane->Stop();
  if (parts_->order_sending) {
    parts_->order_sending->Stop();
  }
  parts_->distributor->Stop();
  parts_->batch->Stop();
  parts_->coordinator->Stop();
  if (parts_->member) {
    parts_->member->Stop();
  }
  parts_->log->Stop();
  parts_->membership->Stop();
  parts_->operator_lane->Stop();
  parts_->routing->Stop();
  parts_->online_caller->Stop();
  parts_->network->Stop();
  LogStateChange("host", "stopped");
}

}  // namespace shallotport
