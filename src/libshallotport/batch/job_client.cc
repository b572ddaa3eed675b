#include "batch/job_client.h"

#include <iterator>

#include "base/codec.h"
#include "consensus/replicated_log.h"

namespace shallotport {

namespace {

template <typename Reply>
result<Reply> DecodeReply(const result<std::string>& bytes) {
  if (!IsOk(bytes)) {
    return ErrorOf(bytes);
  }
  result<job_reply<Reply>> reply = Decode<job_reply<Reply>>(ValueOf(bytes));
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  if (const auto* refusal = std::get_if<job_refusal>(&ValueOf(reply))) {
    return MakeError(refusal->kind, refusal->detail);
  }
  return std::get<Reply>(ValueOf(std::move(reply)));
}

template <typename Reply, typename Command>
result<Reply> ProposeTo(replicated_log& log,
                        const Command& command,
                        steady_time deadline) {
  return DecodeReply<Reply>(log.Propose(
      replicated_slice::kJobs, Encode(job_command(command)), deadline));
}

template <typename Reply, typename Query>
result<Reply> QueryLog(replicated_log& log,
                       const Query& query,
                       steady_time deadline) {
  return DecodeReply<Reply>(
      log.Query(replicated_slice::kJobs, Encode(job_query(query)), deadline));
}

}  // namespace

result<job_created> job_client::Create(const create_job& command,
                                       steady_time deadline) {
  return ProposeTo<job_created>(log_, command, deadline);
}

result<items_added> job_client::Add(const add_items& command,
                                    steady_time deadline) {
  return ProposeTo<items_added>(log_, command, deadline);
}

result<job_status> job_client::Seal(const seal_job& command,
                                    steady_time deadline) {
  return ProposeTo<job_status>(log_, command, deadline);
}

result<job_status> job_client::Cancel(const cancel_job& command,
                                      steady_time deadline) {
  return ProposeTo<job_status>(log_, command, deadline);
}

result<job_deleted> job_client::Delete(const delete_job& command,
                                       steady_time deadline) {
  return ProposeTo<job_deleted>(log_, command, deadline);
}

result<jobs_expired> job_client::Expire(steady_time deadline) {
  return ProposeTo<jobs_expired>(log_, expire_jobs{}, deadline);
}

result<leased_work> job_client::Lease(const lease_items& command,
                                      steady_time deadline) {
  result<items_leased> grant = ProposeTo<items_leased>(log_, command, deadline);
  if (!IsOk(grant)) {
    return ErrorOf(grant);
  }
  leased_work work{ValueOf(std::move(grant)), {}};
  while (work.bodies.size() < work.grant.items.size()) {
    lease_bodies_query query{command.host, command.host_incarnation, {}};
    for (size_t i = work.bodies.size(); i < work.grant.items.size(); ++i) {
      query.items.push_back(work.grant.items[i].ref);
    }
    result<lease_bodies> part = QueryLog<lease_bodies>(log_, query, deadline);
    if (!IsOk(part)) {
      return ErrorOf(part);
    }
    std::vector<std::string>& bodies = ValueOf(part).bodies;
    if (bodies.empty() || bodies.size() > query.items.size()) {
      return MakeError(error_kind::kCorrupt,
                       "reply has a wrong number of item bodies");
    }
    work.bodies.insert(work.bodies.end(),
                       std::make_move_iterator(bodies.begin()),
                       std::make_move_iterator(bodies.end()));
  }
  return work;
}

result<results_recorded> job_client::Record(const record_results& command,
                                            steady_time deadline) {
  result<results_recorded> reply =
      ProposeTo<results_recorded>(log_, command, deadline);
  if (IsOk(reply) && ValueOf(reply).statuses.size() != command.results.size()) {
    return MakeError(error_kind::kCorrupt,
                     "reply has a wrong number of result statuses");
  }
  return reply;
}

result<lease_changes> job_client::Renew(const renew_leases& command,
                                        steady_time deadline) {
  return ProposeTo<lease_changes>(log_, command, deadline);
}

result<job_status> job_client::Status(const job_status_query& query,
                                      steady_time deadline) {
  return QueryLog<job_status>(log_, query, deadline);
}

result<job_list> job_client::List(const list_jobs_query& query,
                                  steady_time deadline) {
  return QueryLog<job_list>(log_, query, deadline);
}

result<results_page> job_client::Results(const results_query& query,
                                         steady_time deadline) {
  return QueryLog<results_page>(log_, query, deadline);
}

result<lease_changes> job_client::Revocations(const revocations_query& query,
                                              steady_time deadline) {
  return QueryLog<lease_changes>(log_, query, deadline);
}

result<next_expiry> job_client::NextExpiry(steady_time deadline) {
  return QueryLog<next_expiry>(log_, expiry_query{}, deadline);
}

result<waiting_items> job_client::Waiting(const waiting_query& query,
                                          steady_time deadline) {
  return QueryLog<waiting_items>(log_, query, deadline);
}

}  // namespace shallotport
