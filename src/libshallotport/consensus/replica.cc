#include "consensus/replica.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "consensus/blocking_reply.h"
#include "consensus/host_replacement.h"
#include "consensus/replica_driver.h"

namespace shallotport {

namespace {

constexpr std::chrono::seconds kDumpTimeout{1};

status CheckOptions(const replica_options& options) {
  const auto invalid = [](const std::string& what) {
    return MakeError(error_kind::kInvalidRequest, what);
  };
  if (options.host.IsEmpty() || options.folder.empty()) {
    return invalid("a replica needs a host id and a folder");
  }
  if (options.initial_members.size() > kMaxGroupMembers) {
    return invalid("too many initial members");
  }
  const bool is_ordered =
      duration(0) < options.heartbeat_interval &&
      2 * options.heartbeat_interval < options.lease_duration &&
      options.lease_duration < options.election_timeout;
  if (!is_ordered) {
    return invalid("needs 2 * heartbeat < lease < election");
  }
  return success{};
}

// Reduces the result of a membership step, whose reply is empty, to a status.
status StatusOf(const result<std::string>& reply) {
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return success{};
}

}  // namespace

result<std::unique_ptr<replica>> replica::Create(replica_options options,
                                                 const clock_source& clock,
                                                 send_function send) {
  if (status checked = CheckOptions(options); !IsOk(checked)) {
    return ErrorOf(checked);
  }
  return std::unique_ptr<replica>(new replica(std::make_unique<replica_driver>(
      std::move(options), clock, std::move(send))));
}

replica::replica(std::unique_ptr<replica_driver> driver)
    : driver_(std::move(driver)) {}

replica::~replica() {
  Stop();
}

void replica::Register(replicated_slice slice, replicated_state* state) {
  driver_->states().Register(slice, state);
}

status replica::Start() {
  if (status opened = driver_->Open(); !IsOk(opened)) {
    return opened;
  }
  driver_->Start();
  is_started_ = true;
  return success{};
}

void replica::Stop() {
  if (std::exchange(is_started_, false)) {
    driver_->Stop();
  }
}

void replica::OnPeerMessage(const host_id&, std::string bytes) {
  driver_->TryPush(peer_bytes{std::move(bytes)});
}

void replica::SubmitProposal(proposal submitted, reply_function reply) {
  const auto shared_reply = std::make_shared<reply_function>(std::move(reply));
  const bool is_queued = driver_->TryPush(submitted_proposal{
      std::move(submitted),
      [shared_reply](auto outcome) { (*shared_reply)(std::move(outcome)); }});
  if (!is_queued) {
    (*shared_reply)(
        MakeError(error_kind::kNotLeader, "the replica's ring is full"));
  }
}

void replica::SubmitQuery(replicated_slice slice,
                          std::string query,
                          reply_function reply) {
  const auto shared_reply = std::make_shared<reply_function>(std::move(reply));
  const bool is_queued = driver_->TryPush(submitted_query{
      slice, std::move(query),
      [shared_reply](auto outcome) { (*shared_reply)(std::move(outcome)); }});
  if (!is_queued) {
    (*shared_reply)(
        MakeError(error_kind::kNotLeader, "the replica's ring is full"));
  }
}

void replica::SubmitStep(membership_step step,
                         const host_id& host,
                         reply_function reply) {
  const auto shared_reply = std::make_shared<reply_function>(std::move(reply));
  const bool is_queued =
      driver_->TryPush(submitted_step{step, host, [shared_reply](auto outcome) {
                                        (*shared_reply)(std::move(outcome));
                                      }});
  if (!is_queued) {
    (*shared_reply)(
        MakeError(error_kind::kNotLeader, "the replica's ring is full"));
  }
}

result<std::string> replica::Propose(replicated_slice slice,
                                     std::string command,
                                     steady_time deadline) {
  const auto waiting = std::make_shared<blocking_reply>();
  proposal submitted;
  submitted.slice = slice;
  submitted.command = std::move(command);
  SubmitProposal(std::move(submitted),
                 [waiting](auto reply) { waiting->Set(std::move(reply)); });
  return waiting->WaitUntil(deadline).value_or(
      MakeError(error_kind::kNoQuorum, "not committed in time"));
}

result<std::string> replica::Query(replicated_slice slice,
                                   std::string query,
                                   steady_time deadline) {
  const auto waiting = std::make_shared<blocking_reply>();
  SubmitQuery(slice, std::move(query),
              [waiting](auto reply) { waiting->Set(std::move(reply)); });
  return waiting->WaitUntil(deadline).value_or(
      MakeError(error_kind::kNoQuorum, "no quorum in time"));
}

host_id replica::leader() const {
  return driver_->published_leader();
}

std::vector<host_id> replica::members() const {
  return driver_->published_members();
}

bool replica::is_leader() const {
  return driver_->clock().Now() < driver_->published_lease_end();
}

uint64_t replica::term() const {
  return driver_->published_term();
}

status replica::ChangeMembership(membership_step step,
                                 const host_id& host,
                                 steady_time deadline) {
  const auto waiting = std::make_shared<blocking_reply>();
  SubmitStep(step, host,
             [waiting](auto reply) { waiting->Set(std::move(reply)); });
  return StatusOf(waiting->WaitUntil(deadline).value_or(
      MakeError(error_kind::kNoQuorum, "not committed in time")));
}

status replica::AddLearner(const host_id& host, steady_time deadline) {
  return ChangeMembership(membership_step::kAddLearner, host, deadline);
}

status replica::Promote(const host_id& host, steady_time deadline) {
  return ChangeMembership(membership_step::kPromote, host, deadline);
}

status replica::Remove(const host_id& host, steady_time deadline) {
  return ChangeMembership(membership_step::kRemove, host, deadline);
}

status replica::ReplaceMember(const host_id& removed,
                              const host_id& added,
                              steady_time deadline) {
  const auto apply_step = [&](membership_step step, const host_id& host) {
    return ChangeMembership(step, host, deadline);
  };
  return ReplaceVoter(apply_step, removed, added, driver_->clock(), deadline);
}

void replica::WriteState(nlohmann::json& out) const {
  auto text = std::make_shared<std::promise<std::string>>();
  std::future<std::string> dumped = text->get_future();
  const bool is_dumped =
      driver_->TryPush(state_dump_request{text}) &&
      dumped.wait_for(kDumpTimeout) == std::future_status::ready;
  if (!is_dumped) {
    out["failure"] = "the duty thread does not answer";
    return;
  }
  out.update(nlohmann::json::parse(dumped.get()));
}

}  // namespace shallotport
