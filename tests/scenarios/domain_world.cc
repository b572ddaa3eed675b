#include <map>
#include <memory>
#include <string>

#include "membership/membership_simulation.h"
#include "routing/request_router.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr duration kServiceTime{50'000};

// The hosts of one failure domain with their membership, endpoint registry and
// router, and endpoints that announce themselves.
class domain_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override { net_->Run(time); }

 private:
  using verb = scenario_verb<domain_world>;
  static const std::array<verb, 14> kActions;
  static const std::array<verb, 7> kExpectations;

  size_t Host(step_arguments& arguments, const char* key);
  void MakeRouter(size_t host);
  configuration Services() const;

  void StopHost(step_arguments& arguments);
  void StartHost(step_arguments& arguments);
  void StallHost(step_arguments& arguments);
  void ResumeHost(step_arguments& arguments);
  void LeaveHost(step_arguments& arguments);
  void Cut(step_arguments& arguments);
  void Isolate(step_arguments& arguments);
  void Heal(step_arguments& arguments);
  void Lossy(step_arguments& arguments);
  void EndpointLeaves(step_arguments& arguments);
  void EndpointStops(step_arguments& arguments);
  void EndpointRestarts(step_arguments& arguments);
  void LateReport(step_arguments& arguments);
  void Requests(step_arguments& arguments);

  void ExpectLive(step_arguments& arguments);
  void ExpectEndpoint(step_arguments& arguments);
  void ExpectAgreement(step_arguments& arguments);
  void ExpectSent(step_arguments& arguments);
  void ExpectRefused(step_arguments& arguments);
  void ExpectNoDowns(step_arguments& arguments);
  void ExpectNoComeback(step_arguments& arguments);

  std::unique_ptr<membership_simulation> net_;
  std::vector<std::unique_ptr<request_router>> routers_;
  std::map<std::string, int64_t> sent_;  // Since the last `requests`.
  int64_t refused_ = 0;
};

const std::array<domain_world::verb, 14> domain_world::kActions = {
    {{"stop_host", &domain_world::StopHost},
     {"start_host", &domain_world::StartHost},
     {"stall_host", &domain_world::StallHost},
     {"resume_host", &domain_world::ResumeHost},
     {"leave", &domain_world::LeaveHost},
     {"cut", &domain_world::Cut},
     {"isolate", &domain_world::Isolate},
     {"heal", &domain_world::Heal},
     {"lossy", &domain_world::Lossy},
     {"endpoint_leaves", &domain_world::EndpointLeaves},
     {"endpoint_stops", &domain_world::EndpointStops},
     {"endpoint_restarts", &domain_world::EndpointRestarts},
     {"late_report", &domain_world::LateReport},
     {"requests", &domain_world::Requests}}};

const std::array<domain_world::verb, 7> domain_world::kExpectations = {
    {{"live", &domain_world::ExpectLive},
     {"endpoint", &domain_world::ExpectEndpoint},
     {"agreement", &domain_world::ExpectAgreement},
     {"sent", &domain_world::ExpectSent},
     {"refused", &domain_world::ExpectRefused},
     {"no_host_declared_down", &domain_world::ExpectNoDowns},
     {"nothing_back_after_leaving", &domain_world::ExpectNoComeback}}};

void domain_world::Begin(step_arguments& given) {
  const auto hosts = static_cast<size_t>(given.Number("hosts"));
  const auto endpoints = static_cast<size_t>(given.Number("endpoints", 0));
  const auto seed = static_cast<uint64_t>(given.Number("seed", 1));
  if (hosts == 0 || hosts > 64 || endpoints > 500) {
    given.Fail("expected 1 to 64 hosts and at most 500 endpoints");
    return;
  }
  net_ = std::make_unique<membership_simulation>(hosts, seed);
  for (size_t host = 0; host < hosts; ++host) {
    routers_.emplace_back();
    MakeRouter(host);
  }
  net_->on_endpoint = [this](size_t host, const endpoint_event& event) {
    if (event.kind == endpoint_event_kind::kRemoved) {
      routers_[host]->RemoveEndpoint(net_->now(), event.endpoint.id);
    } else {
      routers_[host]->UpdateEndpoint(net_->now(), event.endpoint);
    }
  };
  for (size_t i = 0; i < endpoints; ++i) {
    net_->AddEndpoint("runner-" + std::to_string(i), i % hosts);
  }
}

configuration domain_world::Services() const {
  configuration config;
  account_configuration account;
  account.id = account_id("lysberg");
  account.requests_per_second = 1'000'000;
  account.concurrent_requests = 1'000'000;
  config.accounts.push_back(account);
  service_configuration service;
  service.id = service_id("assistant");
  config.services.push_back(service);
  return config;
}

void domain_world::MakeRouter(size_t host) {
  request_router_options options;
  options.host = membership_simulation::IdOf(host);
  options.domain = domain_id("a");
  options.started = net_->nodes()[host].started;
  options.seed = host + 1;
  routers_[host] = std::make_unique<request_router>(options);
  routers_[host]->SetConfiguration(Services(), 1);
}

bool domain_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool domain_world::Expect(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

size_t domain_world::Host(step_arguments& arguments, const char* key) {
  const int64_t number = arguments.Number(key);
  if (number < 0 || static_cast<size_t>(number) >= net_->nodes().size()) {
    arguments.Fail(std::string(key) + ": no such host");
    return 0;
  }
  return static_cast<size_t>(number);
}

void domain_world::StopHost(step_arguments& arguments) {
  net_->StopHost(Host(arguments, "host"));
}

void domain_world::StartHost(step_arguments& arguments) {
  const size_t host = Host(arguments, "host");
  MakeRouter(host);
  net_->StartHost(host);
}

void domain_world::StallHost(step_arguments& arguments) {
  net_->nodes()[Host(arguments, "host")].is_stalled = true;
}

void domain_world::ResumeHost(step_arguments& arguments) {
  net_->nodes()[Host(arguments, "host")].is_stalled = false;
}

void domain_world::LeaveHost(step_arguments& arguments) {
  net_->Leave(Host(arguments, "host"));
}

void domain_world::Cut(step_arguments& arguments) {
  const size_t from = Host(arguments, "from");
  const size_t to = Host(arguments, "to");
  net_->BlockLink(from, to);
  if (arguments.Flag("both_ways", false)) {
    net_->BlockLink(to, from);
  }
}

void domain_world::Isolate(step_arguments& arguments) {
  const size_t host = Host(arguments, "host");
  for (size_t other = 0; other < net_->nodes().size(); ++other) {
    net_->BlockLink(host, other);
    net_->BlockLink(other, host);
  }
}

void domain_world::Heal(step_arguments& /*arguments*/) {
  net_->Heal();
}

void domain_world::Lossy(step_arguments& arguments) {
  net_->drop_share = arguments.Share("drop", 0);
  net_->duplicate_share = arguments.Share("duplicate", 0);
}

void domain_world::EndpointLeaves(step_arguments& arguments) {
  net_->endpoints()[arguments.Text("name")].record.is_leaving = true;
}

void domain_world::EndpointStops(step_arguments& arguments) {
  net_->endpoints()[arguments.Text("name")].is_running = false;
}

void domain_world::EndpointRestarts(step_arguments& arguments) {
  net_->RestartEndpoint(arguments.Text("name"));
}

// A report from before, without the leaving mark, reaches a host now.
void domain_world::LateReport(step_arguments& arguments) {
  endpoint_record record = net_->endpoints()[arguments.Text("name")].record;
  record.is_leaving = false;
  if (arguments.Flag("claims_newer", false)) {
    ++record.load.sequence;
  } else {
    record.load.sequence /= 2;
  }
  net_->AnnounceAt(Host(arguments, "at"), record);
}

void domain_world::Requests(step_arguments& arguments) {
  const size_t host = Host(arguments, "at");
  const int64_t count = arguments.Number("count");
  sent_.clear();
  refused_ = 0;
  for (int64_t i = 0; i < count; ++i) {
    route_query query;
    query.account = account_id("lysberg");
    query.service = service_id("assistant");
    query.deadline = net_->now() + duration(10'000'000);
    const auto choice = routers_[host]->Admit(net_->now(), query);
    if (!IsOk(choice)) {
      ++refused_;
      continue;
    }
    ++sent_[ValueOf(choice).endpoint.text()];
    routers_[host]->OnStarted(net_->now(), ValueOf(choice).ticket);
    routers_[host]->OnFinished(net_->now(), ValueOf(choice).ticket,
                               attempt_outcome::kOk, kServiceTime);
  }
}

void domain_world::ExpectLive(step_arguments& arguments) {
  const size_t host = Host(arguments, "at");
  arguments.Check(
      "live hosts seen by host " + std::to_string(host),
      static_cast<int64_t>(net_->nodes()[host].core->LiveHosts().size()),
      arguments.Number("count"));
}

void domain_world::ExpectEndpoint(step_arguments& arguments) {
  const std::string name = arguments.Text("name");
  const std::string where = arguments.Text("at", "all");
  const bool is_known = arguments.Flag("known", true);
  const bool checks_leaving = arguments.Has("leaving");
  const bool is_leaving = arguments.Flag("leaving", false);
  for (size_t host = 0; host < net_->nodes().size(); ++host) {
    const bool is_asked = where == "all" ? net_->nodes()[host].is_running
                                         : where == std::to_string(host);
    if (!is_asked) {
      continue;
    }
    const auto seen = net_->nodes()[host].registry->Find(endpoint_id(name));
    if (seen.has_value() != is_known) {
      arguments.Fail("host " + std::to_string(host) +
                     (is_known ? " does not know " : " still knows ") + name);
    } else if (seen && checks_leaving && seen->is_leaving != is_leaving) {
      arguments.Fail("host " + std::to_string(host) + " sees " + name +
                     (is_leaving ? " as not leaving" : " as leaving"));
    }
  }
}

void domain_world::ExpectAgreement(step_arguments& arguments) {
  arguments.CheckText("disagreement", net_->Disagreement(), "");
}

void domain_world::ExpectSent(step_arguments& arguments) {
  const std::string name = arguments.Text("to");
  const int64_t count = name == "any" ? 0 : sent_[name];
  int64_t all = 0;
  for (const auto& [endpoint, sent] : sent_) {
    all += sent;
  }
  const int64_t actual = name == "any" ? all : count;
  if (arguments.Has("count")) {
    arguments.Check("requests sent to " + name, actual,
                    arguments.Number("count"));
  }
  if (actual < arguments.Number("at_least", 0)) {
    arguments.Fail("only " + std::to_string(actual) + " requests sent to " +
                   name);
  }
}

void domain_world::ExpectRefused(step_arguments& arguments) {
  arguments.Check("refused requests", refused_, arguments.Number("count"));
}

void domain_world::ExpectNoDowns(step_arguments& arguments) {
  for (const auto& node : net_->nodes()) {
    arguments.Check("hosts declared down",
                    static_cast<int64_t>(node.down_events), 0);
  }
}

void domain_world::ExpectNoComeback(step_arguments& arguments) {
  arguments.CheckText("violations", net_->Violations(), "");
}

}  // namespace

std::unique_ptr<scenario_world> MakeDomainWorld() {
  return std::make_unique<domain_world>();
}

}  // namespace shallotport
