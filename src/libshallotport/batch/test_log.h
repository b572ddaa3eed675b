#ifndef SHALLOTPORT_BATCH_TEST_LOG_H_
#define SHALLOTPORT_BATCH_TEST_LOG_H_

#include <string>
#include <utility>
#include <vector>

#include "base/codec.h"
#include "batch/job_client.h"
#include "batch/job_state.h"
#include "batch/memory_payloads.h"
#include "consensus/replicated_log.h"

namespace shallotport {

// Test only: a replicated log with a single member. It applies a command at
// once, with the leader time that the test sets.
class test_log final : public replicated_log {
 public:
  explicit test_log(job_state& state) : state_(&state) {}

  result<std::string> Propose(replicated_slice,
                              std::string command,
                              steady_time) override {
    commands.push_back(command);
    return state_->Apply({++index, leader_time}, command);
  }

  result<std::string> Query(replicated_slice,
                            std::string query,
                            steady_time) override {
    return state_->Query(query);
  }

  void SetState(job_state& state) { state_ = &state; }

  log_index index = 0;
  wall_milliseconds leader_time = 1'000'000;
  std::vector<std::string> commands;

 private:
  job_state* state_;
};

// Test only: a job catalogue with a client, and helpers for common steps.
class job_bench {
 public:
  explicit job_bench(const job_state_settings& settings = {})
      : state(settings, payloads), log(state), client(log) {}

  create_job Request(const std::string& account, const std::string& key) const {
    create_job request;
    request.account = account_id(account);
    request.key = key;
    request.digest = "digest";
    request.service = service_id("model");
    request.path = "/v1/chat/completions";
    request.deadline = log.leader_time + 3'600'000;
    return request;
  }

  // A sealed job of `count` items with the bodies "0", "1", ...
  job_id Submit(const create_job& request, uint32_t count) {
    job_id id = ValueOf(client.Create(request, {})).id;
    add_items items{request.account, id, 0, {}};
    for (uint32_t i = 0; i < count; ++i) {
      items.bodies.push_back(std::to_string(i));
    }
    client.Add(items, {});
    client.Seal({request.account, id, count}, {});
    return id;
  }

  job_id Submit(const std::string& account, uint32_t count) {
    return Submit(Request(account, ""), count);
  }

  leased_work Lease(const std::string& host,
                    uint32_t max_items,
                    incarnation started = 1) {
    return ValueOf(client.Lease(
        {host_id(host), started, {service_id("model")}, max_items, 10'000},
        {}));
  }

  record_status Record(const item_ref& ref,
                       lease_epoch epoch,
                       item_outcome outcome,
                       const std::string& body) {
    const record_results command{
        host_id("a"),
        1,
        {{ref, epoch, outcome, error_kind::kEndpointFailed, body}}};
    return ValueOf(client.Record(command, {})).statuses.at(0);
  }

  job_status Status(const std::string& account, const job_id& id) {
    return ValueOf(client.Status({account_id(account), id}, {}));
  }

  memory_payloads payloads;
  job_state state;
  test_log log;
  job_client client;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_TEST_LOG_H_
