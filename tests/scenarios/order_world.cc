#include <map>
#include <memory>
#include <string>

#include "control/order_sender.h"
#include "control/order_state.h"
#include "scenarios/scenario_world.h"

namespace shallotport {

namespace {

constexpr duration kStep{50'000};

// Two hosts that lead one after the other, the orders slice of the log, and
// endpoints that execute what reaches them. An isolated leader is not told; it
// stops when its lease ends by its own clock.
class order_world final : public scenario_world {
 public:
  void Begin(step_arguments& given) override;
  bool Do(std::string_view verb, step_arguments& arguments) override;
  bool Expect(std::string_view verb, step_arguments& arguments) override;
  void Advance(duration time) override;

 private:
  using verb = scenario_verb<order_world>;
  static const std::array<verb, 4> kActions;
  static const std::array<verb, 3> kExpectations;

  struct fake_endpoint {
    bool checks_fencing = false;
    fencing_number highest = 0;
    bool has_gone_back = false;  // Executed an older leader's order later.
    std::map<std::string, int64_t> executed;
  };
  struct flying_order {
    size_t leader;
    order_send send;
  };

  void AddOrder(step_arguments& arguments);
  void IsolateLeader(step_arguments& arguments);
  void TakeOver(step_arguments& arguments);
  void SlowLinks(step_arguments& arguments);

  void ExpectExecuted(step_arguments& arguments);
  void ExpectNoneGoneBack(step_arguments& arguments);
  void ExpectQueueEmpty(step_arguments& arguments);

  order_reply Commit(const order_command& command) {
    return state_.ApplyCommand({++index_, 0}, command);
  }
  void Lead(size_t leader);
  void StepLeader(size_t leader);
  void Deliver(const flying_order& order);

  steady_time now_{duration(1'000'000'000)};
  order_sender_options options_;
  order_state state_;
  log_index index_ = 0;
  std::array<order_sender, 2> senders_;
  std::array<steady_time, 2> lease_until_{};
  size_t leader_ = 0;
  bool is_isolated_ = false;
  duration flight_{1'000};
  std::map<endpoint_id, fake_endpoint> endpoints_;
  std::multimap<steady_time, flying_order> flying_;
};

const std::array<order_world::verb, 4> order_world::kActions = {
    {{"order", &order_world::AddOrder},
     {"isolate_leader", &order_world::IsolateLeader},
     {"take_over", &order_world::TakeOver},
     {"slow_links", &order_world::SlowLinks}}};

const std::array<order_world::verb, 3> order_world::kExpectations = {
    {{"executed", &order_world::ExpectExecuted},
     {"no_endpoint_went_back", &order_world::ExpectNoneGoneBack},
     {"queue_is_empty", &order_world::ExpectQueueEmpty}}};

void order_world::Begin(step_arguments& /*given*/) {
  endpoints_[endpoint_id("checking")].checks_fencing = true;
  endpoints_[endpoint_id("ignoring")].checks_fencing = false;
  Lead(0);
}

bool order_world::Do(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kActions, verb, arguments);
}

bool order_world::Expect(std::string_view verb, step_arguments& arguments) {
  return RunVerb(*this, kExpectations, verb, arguments);
}

void order_world::Lead(size_t leader) {
  leader_ = leader;
  is_isolated_ = false;
  lease_until_[leader] = now_ + options_.longest_lease;
  senders_[leader].OnLeadershipGained(now_);
  for (const auto& [id, endpoint] : endpoints_) {
    senders_[leader].OnEndpoint(id, endpoint.checks_fencing);
  }
}

void order_world::Advance(duration time) {
  const steady_time end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    if (!is_isolated_) {
      lease_until_[leader_] = now_ + options_.longest_lease;
    }
    StepLeader(0);
    StepLeader(1);
    while (!flying_.empty() && flying_.begin()->first <= now_) {
      const flying_order order = flying_.begin()->second;
      flying_.erase(flying_.begin());
      Deliver(order);
    }
  }
}

void order_world::StepLeader(size_t leader) {
  const bool can_commit = leader == leader_ && !is_isolated_;
  if (can_commit) {
    senders_[leader].OnQueue(state_.List().queued);
  }
  const order_actions actions =
      senders_[leader].Step(now_, lease_until_[leader]);
  if (actions.must_take_epoch && can_commit) {
    senders_[leader].OnEpochTaken(now_, Commit(order_take_epoch{}).epoch);
  }
  for (const order_settle& settle : actions.settles) {
    if (can_commit) {
      Commit(settle);
    }
  }
  for (const order_send& send : actions.sends) {
    flying_.emplace(now_ + flight_, flying_order{leader, send});
  }
}

void order_world::Deliver(const flying_order& order) {
  fake_endpoint& endpoint = endpoints_[order.send.order.endpoint];
  const fencing_number fencing = order.send.fencing;
  const bool is_old = fencing < endpoint.highest;
  const bool is_refused = is_old && endpoint.checks_fencing;
  if (!is_refused) {
    endpoint.has_gone_back = endpoint.has_gone_back || is_old;
    endpoint.highest = std::max(endpoint.highest, fencing);
    ++endpoint.executed[order.send.order.id];
  }
  senders_[order.leader].OnAnswer(
      now_, order.send.order.id, fencing,
      is_refused ? order_answer::kOldFencing : order_answer::kDone, "");
}

void order_world::AddOrder(step_arguments& arguments) {
  endpoint_order order;
  order.id = arguments.Text("id");
  order.endpoint = endpoint_id(arguments.Text("endpoint"));
  order.action = order_action::kSetRole;
  order.role = "decode";
  if (!endpoints_.contains(order.endpoint)) {
    arguments.Fail("endpoint: expected checking or ignoring");
  }
  Commit(order_add{order});
}

void order_world::IsolateLeader(step_arguments& /*arguments*/) {
  is_isolated_ = true;
}

// The other host leads. An earlier call than the end of the lease is a mistake
// of the script.
void order_world::TakeOver(step_arguments& arguments) {
  if (now_ < lease_until_[leader_]) {
    arguments.Fail("the former leader still holds its lease");
    return;
  }
  Lead(1 - leader_);
}

void order_world::SlowLinks(step_arguments& arguments) {
  flight_ = arguments.Time("flight");
}

void order_world::ExpectExecuted(step_arguments& arguments) {
  const std::string id = arguments.Text("id");
  int64_t times = 0;
  for (const auto& [name, endpoint] : endpoints_) {
    const auto found = endpoint.executed.find(id);
    times += found == endpoint.executed.end() ? 0 : found->second;
  }
  if (arguments.Has("count")) {
    arguments.Check("executions of " + id, times, arguments.Number("count"));
  }
  if (times < arguments.Number("at_least", 0)) {
    arguments.Fail(id + " was executed " + std::to_string(times) + " times");
  }
}

void order_world::ExpectNoneGoneBack(step_arguments& arguments) {
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.has_gone_back) {
      arguments.Fail(id.text() +
                     " executed an older leader's order after a newer one's");
    }
  }
}

void order_world::ExpectQueueEmpty(step_arguments& arguments) {
  arguments.Check("queued orders",
                  static_cast<int64_t>(state_.List().queued.size()), 0);
}

}  // namespace

std::unique_ptr<scenario_world> MakeOrderWorld() {
  return std::make_unique<order_world>();
}

}  // namespace shallotport
