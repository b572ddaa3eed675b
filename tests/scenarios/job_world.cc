#include <map>
#include <memory>
#include <set>
#include <sstream>
#include <string>

#include "batch/test_log.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr std::array<std::string_view, 4> kPhaseNames = {
    "open", "running", "finished", "cancelled"};

// The job catalogue with callers who submit and senders who lease and record.
class job_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override {
    bench_.log.leader_time += time.count() / 1'000;
    bench_.client.Expire({});
  }

 private:
  using verb = scenario_verb<job_world>;
  static const std::array<verb, 7> kActions;
  static const std::array<verb, 5> kExpectations;

  void Submit(step_arguments& arguments);
  void Lease(step_arguments& arguments);
  void Complete(step_arguments& arguments);
  void Fail(step_arguments& arguments);
  void Cancel(step_arguments& arguments);
  void Restart(step_arguments& arguments);
  void Drain(step_arguments& arguments);

  void ExpectJob(step_arguments& arguments);
  void ExpectResults(step_arguments& arguments);
  void ExpectLeased(step_arguments& arguments);
  void ExpectSameJob(step_arguments& arguments);
  void ExpectRevoked(step_arguments& arguments);

  struct held_lease {
    std::string host;
    leased_work work;
  };
  job_id Job(step_arguments& arguments);
  record_status Record(const held_lease& lease,
                       const leased_item& item,
                       item_outcome outcome,
                       const std::string& body);

  job_bench bench_;
  std::unique_ptr<job_state> restarted_;
  std::map<std::string, job_id> jobs_;
  std::map<std::string, std::string> accounts_;
  std::map<std::string, held_lease> leases_;
  std::set<std::string> same_jobs_;
};

const std::array<job_world::verb, 7> job_world::kActions = {
    {{"submit", &job_world::Submit},
     {"lease", &job_world::Lease},
     {"complete", &job_world::Complete},
     {"fail", &job_world::Fail},
     {"cancel", &job_world::Cancel},
     {"restart", &job_world::Restart},
     {"drain", &job_world::Drain}}};

const std::array<job_world::verb, 5> job_world::kExpectations = {
    {{"job", &job_world::ExpectJob},
     {"results", &job_world::ExpectResults},
     {"leased", &job_world::ExpectLeased},
     {"same_job", &job_world::ExpectSameJob},
     {"revoked", &job_world::ExpectRevoked}}};

void job_world::Begin(step_arguments& /*given*/) {}

bool job_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool job_world::Expect(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

job_id job_world::Job(step_arguments& arguments) {
  const std::string name = arguments.Text("job");
  if (!jobs_.contains(name)) {
    arguments.Fail("job: no job " + name);
  }
  return jobs_[name];
}

// A resend is a second submit of the same name.
void job_world::Submit(step_arguments& arguments) {
  const std::string name = arguments.Text("job");
  const std::string account = arguments.Text("account", "lysberg");
  const job_id id =
      bench_.Submit(bench_.Request(account, name),
                    static_cast<uint32_t>(arguments.Number("items")));
  if (jobs_.contains(name) && jobs_[name] == id) {
    same_jobs_.insert(name);
  }
  jobs_[name] = id;
  accounts_[name] = account;
}

void job_world::Lease(step_arguments& arguments) {
  const std::string host = arguments.Text("host");
  leases_[arguments.Text("as")] = {
      host, bench_.Lease(
                host, static_cast<uint32_t>(arguments.Number("items")),
                static_cast<incarnation>(arguments.Number("incarnation", 1)))};
}

record_status job_world::Record(const held_lease& lease,
                                const leased_item& item,
                                item_outcome outcome,
                                const std::string& body) {
  const record_results command{host_id(lease.host),
                               1,
                               {{item.ref, lease.work.grant.epoch, outcome,
                                 error_kind::kEndpointFailed, body}}};
  const auto reply = bench_.client.Record(command, {});
  return IsOk(reply) ? ValueOf(reply).statuses.at(0) : record_status::kUnknown;
}

void job_world::Complete(step_arguments& arguments) {
  const held_lease& lease = leases_[arguments.Text("lease")];
  const std::string prefix = arguments.Text("result", "result ");
  for (size_t i = 0; i < lease.work.grant.items.size(); ++i) {
    Record(lease, lease.work.grant.items[i], item_outcome::kDone,
           prefix + lease.work.bodies.at(i));
  }
}

void job_world::Fail(step_arguments& arguments) {
  const held_lease& lease = leases_[arguments.Text("lease")];
  const bool is_death = arguments.Flag("endpoint_died", false);
  for (const leased_item& item : lease.work.grant.items) {
    Record(lease, item,
           is_death ? item_outcome::kEndpointDied : item_outcome::kRetry,
           "failed");
  }
}

void job_world::Cancel(step_arguments& arguments) {
  const std::string name = arguments.Text("job");
  bench_.client.Cancel({account_id(accounts_[name]), jobs_[name]}, {});
}

// All members restart from a snapshot.
void job_world::Restart(step_arguments& arguments) {
  std::stringstream bytes;
  const job_state& current = restarted_ ? *restarted_ : bench_.state;
  auto loaded =
      std::make_unique<job_state>(job_state_settings{}, bench_.payloads);
  if (!IsOk(current.BeginSnapshot()->Write(bytes)) ||
      !IsOk(loaded->LoadSnapshot(bytes))) {
    arguments.Fail("the snapshot could not be read back");
    return;
  }
  restarted_ = std::move(loaded);
  bench_.log.SetState(*restarted_);
}

// Leases and completes everything; items whose body is listed always fail.
void job_world::Drain(step_arguments& arguments) {
  const std::string impossible = arguments.Text("impossible_item", "none");
  for (int round = 0; round < 200; ++round) {
    const held_lease lease{"drainer", bench_.Lease("drainer", 16)};
    if (lease.work.grant.items.empty()) {
      return;
    }
    for (size_t i = 0; i < lease.work.grant.items.size(); ++i) {
      const std::string& body = lease.work.bodies.at(i);
      const bool is_impossible = body == impossible;
      Record(lease, lease.work.grant.items[i],
             is_impossible ? item_outcome::kEndpointDied : item_outcome::kDone,
             "result " + body);
    }
  }
  arguments.Fail("items remain after 200 rounds");
}

void job_world::ExpectJob(step_arguments& arguments) {
  const std::string name = arguments.Text("job");
  const auto status =
      bench_.client.Status({account_id(accounts_[name]), jobs_[name]}, {});
  if (!IsOk(status)) {
    arguments.Fail("no such job");
    return;
  }
  const job_status& seen = ValueOf(status);
  if (arguments.Has("phase")) {
    arguments.CheckText("phase", kPhaseNames[static_cast<size_t>(seen.phase)],
                        arguments.Text("phase"));
  }
  const std::map<std::string, uint32_t> counts = {
      {"done", seen.counts.done},
      {"failed", seen.counts.failed},
      {"cancelled", seen.counts.cancelled},
      {"duplicates", seen.counts.duplicates},
      {"leased", seen.counts.leased}};
  for (const auto& [key, count] : counts) {
    if (arguments.Has(key)) {
      arguments.Check(key, count, arguments.Number(key));
    }
  }
}

void job_world::ExpectResults(step_arguments& arguments) {
  const job_id id = Job(arguments);
  const std::string name = arguments.Text("job");
  const std::string account = arguments.Text("account", accounts_[name]);
  const auto page =
      bench_.client.Results({account_id(account), id, 0, 1 << 20}, {});
  if (!IsOk(page)) {
    arguments.Check("results", 0, arguments.Number("count"));
    arguments.Use("prefix");
    return;
  }
  const std::string prefix = arguments.Text("prefix", "result ");
  int64_t count = 0;
  for (const result_line& line : ValueOf(page).lines) {
    if (line.outcome == final_outcome::kDone) {
      ++count;
      arguments.CheckText("result of item " + std::to_string(line.index),
                          line.body, prefix + std::to_string(line.index));
    }
  }
  arguments.Check("results", count, arguments.Number("count"));
}

void job_world::ExpectLeased(step_arguments& arguments) {
  arguments.Check("leased items",
                  static_cast<int64_t>(
                      leases_[arguments.Text("lease")].work.grant.items.size()),
                  arguments.Number("count"));
}

void job_world::ExpectSameJob(step_arguments& arguments) {
  arguments.Check("resend got the first job",
                  same_jobs_.contains(arguments.Text("job")) ? 1 : 0, 1);
}

void job_world::ExpectRevoked(step_arguments& arguments) {
  const held_lease& lease = leases_[arguments.Text("lease")];
  const auto changes = bench_.client.Revocations(
      {host_id(lease.host), 1, {lease.work.grant.epoch}}, {});
  const bool has_ended = IsOk(changes) && (!ValueOf(changes).ended.empty() ||
                                           ValueOf(changes).revoked.size() ==
                                               lease.work.grant.items.size());
  arguments.Check("revoked", has_ended ? 1 : 0, 1);
}

}  // namespace

std::unique_ptr<scenario_world> MakeJobWorld() {
  return std::make_unique<job_world>();
}

}  // namespace shallotport
