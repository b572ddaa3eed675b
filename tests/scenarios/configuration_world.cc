#include <map>
#include <memory>
#include <sstream>
#include <string>

#include "base/codec.h"
#include "control/configuration_delta.h"
#include "control/configuration_state.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr std::array<std::string_view, 4> kVerdictNames = {
    "accepted", "conflict", "change_id_reused", "invalid"};

// The configuration slice of the log, operators who change it, and hosts that
// follow it by deltas.
class configuration_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override { now_ += time.count() / 1'000; }

 private:
  using verb = scenario_verb<configuration_world>;
  static const std::array<verb, 5> kActions;
  static const std::array<verb, 4> kExpectations;

  struct following_host {
    log_index revision = 0;
    configuration config;
  };

  void Change(step_arguments& arguments);
  void ManyChanges(step_arguments& arguments);
  void Restart(step_arguments& arguments);
  void Follow(step_arguments& arguments);
  void LateDelta(step_arguments& arguments);

  void ExpectOutcome(step_arguments& arguments);
  void ExpectText(step_arguments& arguments);
  void ExpectHost(step_arguments& arguments);
  void ExpectRevisionRising(step_arguments& arguments);

  void Apply(const std::string& id,
             log_index expected,
             const std::string& text);

  configuration_state state_;
  log_index index_ = 0;
  wall_milliseconds now_ = 1'000;
  change_outcome last_;
  std::map<std::string, change_outcome> outcomes_;
  std::map<std::string, log_index> revisions_;
  std::map<int64_t, following_host> hosts_;
  configuration_delta old_delta_;
  bool has_fallen_ = false;
};

const std::array<configuration_world::verb, 5> configuration_world::kActions = {
    {{"change", &configuration_world::Change},
     {"many_changes", &configuration_world::ManyChanges},
     {"restart", &configuration_world::Restart},
     {"follow", &configuration_world::Follow},
     {"late_delta", &configuration_world::LateDelta}}};

const std::array<configuration_world::verb, 4>
    configuration_world::kExpectations = {
        {{"outcome", &configuration_world::ExpectOutcome},
         {"in_force", &configuration_world::ExpectText},
         {"host", &configuration_world::ExpectHost},
         {"never_reverted", &configuration_world::ExpectRevisionRising}}};

void configuration_world::Begin(step_arguments& given) {
  Apply("base", 0, given.Text("text", "base"));
  revisions_["base"] = state_.revision();
}

bool configuration_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool configuration_world::Expect(std::string_view verb,
                                 step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

void configuration_world::Apply(const std::string& id,
                                log_index expected,
                                const std::string& text) {
  configuration_change change;
  change.change_id = id;
  change.expected_revision = expected;
  change.text = text;
  service_configuration service;
  service.id = service_id(text);
  change.parsed.services.push_back(service);
  const log_index before = state_.revision();
  const auto outcome =
      Decode<change_outcome>(state_.Apply({++index_, ++now_}, Encode(change)));
  last_ = IsOk(outcome) ? ValueOf(outcome) : change_outcome{};
  has_fallen_ = has_fallen_ || state_.revision() < before;
  outcomes_[id] = last_;
}

// `based_on` names the change whose revision the operator saw.
void configuration_world::Change(step_arguments& arguments) {
  const std::string id = arguments.Text("id");
  const std::string base = arguments.Text("based_on", "base");
  if (!revisions_.contains(base)) {
    arguments.Fail("based_on: no accepted change " + base);
  }
  Apply(id, revisions_[base], arguments.Text("text", id));
  if (last_.verdict == change_verdict::kAccepted) {
    revisions_[id] = last_.revision;
  }
}

void configuration_world::ManyChanges(step_arguments& arguments) {
  const int64_t count = arguments.Number("count");
  for (int64_t i = 0; i < count; ++i) {
    const std::string id = "many-" + std::to_string(i);
    Apply(id, state_.revision(), id);
    revisions_[id] = last_.revision;
  }
}

void configuration_world::Restart(step_arguments& arguments) {
  std::stringstream bytes;
  configuration_state loaded;
  if (!IsOk(state_.BeginSnapshot()->Write(bytes)) ||
      !IsOk(loaded.LoadSnapshot(bytes))) {
    arguments.Fail("the snapshot could not be read back");
    return;
  }
  state_ = std::move(loaded);
}

void configuration_world::Follow(step_arguments& arguments) {
  following_host& host = hosts_[arguments.Number("host")];
  const configuration_delta delta = state_.Since(host.revision);
  if (old_delta_.to == 0) {
    old_delta_ = delta;
  }
  if (!IsOk(ApplyDelta(delta, host.revision, host.config))) {
    arguments.Fail("the delta was refused");
  }
}

// The first delta that was ever sent arrives again.
void configuration_world::LateDelta(step_arguments& arguments) {
  following_host& host = hosts_[arguments.Number("host")];
  const log_index before = host.revision;
  ApplyDelta(old_delta_, host.revision, host.config);
  has_fallen_ = has_fallen_ || host.revision < before;
}

void configuration_world::ExpectOutcome(step_arguments& arguments) {
  const std::string id = arguments.Text("of");
  const change_outcome& outcome = outcomes_[id];
  arguments.CheckText("verdict",
                      kVerdictNames[static_cast<size_t>(outcome.verdict)],
                      arguments.Text("is"));
  if (arguments.Has("repeat")) {
    arguments.Check("repeat", outcome.is_repeat ? 1 : 0,
                    arguments.Flag("repeat", false) ? 1 : 0);
  }
}

void configuration_world::ExpectText(step_arguments& arguments) {
  const std::string expected = arguments.Text("text");
  const configuration& current = state_.current();
  arguments.CheckText(
      "configuration in force",
      current.services.empty() ? "" : current.services.front().id.text(),
      expected);
}

void configuration_world::ExpectHost(step_arguments& arguments) {
  const following_host& host = hosts_[arguments.Number("host")];
  arguments.CheckText("configuration at the host",
                      host.config.services.empty()
                          ? ""
                          : host.config.services.front().id.text(),
                      arguments.Text("text"));
}

void configuration_world::ExpectRevisionRising(step_arguments& arguments) {
  arguments.Check("reverts", has_fallen_ ? 1 : 0, 0);
}

}  // namespace

std::unique_ptr<scenario_world> MakeConfigurationWorld() {
  return std::make_unique<configuration_world>();
}

}  // namespace shallotport
