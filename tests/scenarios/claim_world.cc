#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "claims/claim_state.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr std::array<std::string_view, 13> kVerdictNames = {
    "granted",         "answered", "in_progress",  "outcome_unknown",
    "request_differs", "expired",  "storage_full", "attempt_released",
    "stale_host",      "done",     "not_holder",   "unclaimed",
    "malformed"};

// The claims slice of the log, with hosts that claim, settle and disappear.
class claim_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override { now_ += time.count() / 1'000; }

 private:
  using verb = scenario_verb<claim_world>;
  static const std::array<verb, 5> kActions;
  static const std::array<verb, 3> kExpectations;

  void Claim(step_arguments& arguments);
  void Finish(step_arguments& arguments);
  void Release(step_arguments& arguments);
  void HostLost(step_arguments& arguments);
  void Restart(step_arguments& arguments);

  void ExpectVerdict(step_arguments& arguments);
  void ExpectAnswer(step_arguments& arguments);
  void ExpectGrants(step_arguments& arguments);

  claim_key Key(step_arguments& arguments) const;

  claim_state state_;
  wall_milliseconds now_ = 1'000'000;
  claim_reply last_;
  std::map<std::string, int64_t> grants_;  // By key.
};

const std::array<claim_world::verb, 5> claim_world::kActions = {
    {{"claim", &claim_world::Claim},
     {"finish", &claim_world::Finish},
     {"release", &claim_world::Release},
     {"host_lost", &claim_world::HostLost},
     {"restart", &claim_world::Restart}}};

const std::array<claim_world::verb, 3> claim_world::kExpectations = {
    {{"verdict", &claim_world::ExpectVerdict},
     {"answer", &claim_world::ExpectAnswer},
     {"grants", &claim_world::ExpectGrants}}};

void claim_world::Begin(step_arguments& /*given*/) {}

bool claim_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool claim_world::Expect(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

claim_key claim_world::Key(step_arguments& arguments) const {
  return MakeClaimKey(account_id(arguments.Text("account", "lysberg")),
                      arguments.Text("key"));
}

void claim_world::Claim(step_arguments& arguments) {
  claim_begin begin;
  begin.key = Key(arguments);
  begin.request =
      MakeRequestDigest("POST", "/unlock", arguments.Text("request", "same"));
  begin.host = host_id(arguments.Text("host"));
  begin.host_incarnation =
      static_cast<incarnation>(arguments.Number("incarnation", 1));
  begin.attempt = attempt_id(arguments.Text("attempt"));
  begin.open_timeout_ms = 60'000;
  begin.retention_ms = 24LL * 3'600 * 1'000;
  last_ = state_.ApplyCommand(now_, begin);
  if (last_.result == claim_result::kGranted) {
    ++grants_[arguments.Text("key")];
  }
}

void claim_world::Finish(step_arguments& arguments) {
  last_ = state_.ApplyCommand(
      now_, claim_finish{Key(arguments),
                         attempt_id(arguments.Text("attempt")),
                         {200, {}, arguments.Text("answer"), false}});
}

void claim_world::Release(step_arguments& arguments) {
  last_ = state_.ApplyCommand(
      now_,
      claim_release{Key(arguments), attempt_id(arguments.Text("attempt"))});
}

void claim_world::HostLost(step_arguments& arguments) {
  last_ = state_.ApplyCommand(
      now_, claim_abandon{
                host_id(arguments.Text("host")),
                static_cast<incarnation>(arguments.Number("incarnation", 1))});
}

void claim_world::Restart(step_arguments& arguments) {
  std::stringstream bytes;
  claim_state loaded;
  if (!IsOk(state_.BeginSnapshot()->Write(bytes)) ||
      !IsOk(loaded.LoadSnapshot(bytes))) {
    arguments.Fail("the snapshot could not be read back");
    return;
  }
  state_ = std::move(loaded);
}

void claim_world::ExpectVerdict(step_arguments& arguments) {
  arguments.CheckText("verdict",
                      kVerdictNames[static_cast<size_t>(last_.result)],
                      arguments.Text("is"));
}

void claim_world::ExpectAnswer(step_arguments& arguments) {
  arguments.CheckText("answer", last_.response ? last_.response->body : "",
                      arguments.Text("is"));
}

void claim_world::ExpectGrants(step_arguments& arguments) {
  arguments.Check("grants", grants_[arguments.Text("key")],
                  arguments.Number("count"));
}

}  // namespace

std::unique_ptr<scenario_world> MakeClaimWorld() {
  return std::make_unique<claim_world>();
}

}  // namespace shallotport
