#include "control_member.h"

#include "base/digest.h"
#include "batch/job_state.h"
#include "batch/stored_payloads.h"
#include "claims/claim_state.h"
#include "control/configuration_state.h"
#include "control/order_state.h"
#include "storage/payload_store.h"
#include "transport/peer_network.h"

namespace shallotport {

namespace {

constexpr uint32_t kGroup = 1;

replica_options OptionsOf(const host_settings& settings) {
  replica_options options;
  options.group = kGroup;
  options.host = settings.host;
  options.folder = settings.data_folder + "/log";
  for (const peer_settings& peer : settings.peers) {
    if (peer.is_control_member) {
      options.initial_members.push_back(peer.host);
    }
  }
  options.heartbeat_interval = settings.heartbeat_interval;
  options.election_timeout = settings.election_timeout;
  options.lease_duration = settings.election_timeout * 3 / 4;
  options.seed = HashOf(settings.host.text());
  return options;
}

}  // namespace

struct control_member::parts {
  std::unique_ptr<stored_payloads> payloads;
  configuration_state configuration;
  order_state orders;
  claim_state claims;
  std::unique_ptr<job_state> jobs;
  std::unique_ptr<replica> member;
};

control_member::control_member(std::unique_ptr<parts> made)
    : parts_(std::move(made)) {}

control_member::~control_member() {
  Stop();
}

result<std::unique_ptr<control_member>> control_member::Create(
    const host_settings& settings,
    const clock_source& clock,
    peer_network& network) {
  auto made = std::make_unique<parts>();
  result<std::unique_ptr<payload_store>> store =
      payload_store::Open(settings.data_folder + "/payloads");
  if (!IsOk(store)) {
    return ErrorOf(store);
  }
  made->payloads = std::make_unique<stored_payloads>(std::move(ValueOf(store)));
  job_state_settings job_settings;
  job_settings.group = kGroup;
  made->jobs = std::make_unique<job_state>(job_settings, *made->payloads);
  result<std::unique_ptr<replica>> member = replica::Create(
      OptionsOf(settings), clock,
      [&network](const host_id& to, std::string bytes) {
        network.SendStream(peer_channel::kConsensus, to, std::move(bytes));
      });
  if (!IsOk(member)) {
    return ErrorOf(member);
  }
  made->member = std::move(ValueOf(member));
  made->member->Register(replicated_slice::kConfiguration,
                         &made->configuration);
  made->member->Register(replicated_slice::kOrders, &made->orders);
  made->member->Register(replicated_slice::kClaims, &made->claims);
  made->member->Register(replicated_slice::kJobs, made->jobs.get());
  return std::unique_ptr<control_member>(new control_member(std::move(made)));
}

status control_member::Start() {
  return parts_->member->Start();
}

void control_member::Stop() {
  parts_->member->Stop();
}

replica& control_member::log_member() {
  return *parts_->member;
}

}  // namespace shallotport
