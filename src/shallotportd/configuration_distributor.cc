#include "configuration_distributor.h"

#include <nlohmann/json.hpp>

#include "base/codec.h"
#include "base/log.h"
#include "consensus/replicated_log.h"
#include "control/configuration_client.h"

namespace shallotport {

namespace {

constexpr duration kAskInterval = std::chrono::milliseconds(50);
constexpr duration kAskTimeout = std::chrono::milliseconds(200);
constexpr duration kStateTimeout = std::chrono::seconds(2);
constexpr size_t kRingCapacity = 1024;
constexpr size_t kMostWaiting = 64;

spread_peer SelfOf(const host_settings& settings) {
  spread_peer self{settings.host, settings.domain, false};
  for (const peer_settings& peer : settings.peers) {
    self.is_control |= peer.host == settings.host && peer.is_control_member;
  }
  return self;
}

std::vector<spread_peer> PeersOf(const host_settings& settings) {
  std::vector<spread_peer> peers;
  peers.reserve(settings.peers.size());
  for (const peer_settings& peer : settings.peers) {
    peers.push_back({peer.host, peer.domain, peer.is_control_member});
  }
  return peers;
}

}  // namespace

configuration_distributor::configuration_distributor(
    const host_settings& settings,
    uint64_t seed,
    replicated_log* member,
    const clock_source& clock,
    configuration_view& view,
    send_function send,
    on_change changed)
    : clock_(clock),
      view_(view),
      member_(member),
      send_(std::move(send)),
      changed_(std::move(changed)),
      spread_({}, SelfOf(settings), PeersOf(settings), seed),
      thread_(
          clock,
          kRingCapacity,
          [this](steady_time now, message received) {
            OnMessage(now, std::move(received));
          },
          [this](steady_time now) { return OnTimer(now); }) {}

void configuration_distributor::OnPeerMessage(const host_id& from,
                                              std::string bytes) {
  thread_.TryPush(peer_bytes{from, std::move(bytes)});
}

result<spread_progress> configuration_distributor::Progress(log_index revision,
                                                            duration timeout) {
  auto reply = std::make_shared<std::promise<spread_progress>>();
  std::future<spread_progress> answer = reply->get_future();
  if (!thread_.TryPush(progress_request{revision, std::move(reply)}) ||
      answer.wait_for(timeout) != std::future_status::ready) {
    return MakeError(error_kind::kNoQuorum,
                     "the leader did not say who has the revision in force");
  }
  return answer.get();
}

void configuration_distributor::WriteState(nlohmann::json& out) {
  auto reply = std::make_shared<std::promise<nlohmann::json>>();
  std::future<nlohmann::json> dumped = reply->get_future();
  if (thread_.TryPush(state_request{std::move(reply)}) &&
      dumped.wait_for(kStateTimeout) == std::future_status::ready) {
    out = dumped.get();
  }
}

void configuration_distributor::OnMessage(steady_time now, message received) {
  std::visit([&](const auto& typed) { On(now, typed); }, received);
}

void configuration_distributor::On(steady_time now, const hurry&) {
  ask_at_ = now;
}

void configuration_distributor::On(steady_time now,
                                   const peer_bytes& received) {
  const auto decoded = DecodeSpread(received.bytes);
  if (IsOk(decoded)) {
    Perform(spread_.OnMessage(now, received.from, ValueOf(decoded)));
  }
}

void configuration_distributor::On(steady_time now,
                                   const progress_request& received) {
  if (waiting_.size() >= kMostWaiting) {
    waiting_.erase(waiting_.begin());
  }
  waiting_[++queries_] = received.reply;
  Perform(spread_.AskProgress(now, {queries_, received.revision}));
}

void configuration_distributor::On(steady_time, const state_request& received) {
  nlohmann::json dump;
  spread_.WriteState(dump);
  received.reply->set_value(std::move(dump));
}

steady_time configuration_distributor::OnTimer(steady_time now) {
  if (member_ != nullptr && ask_at_ <= now) {
    AskMember(now);
    ask_at_ = clock_.Now() + kAskInterval;
  }
  if (spread_.next_timer() <= now) {
    Perform(spread_.OnTimer(now));
  }
  return member_ != nullptr ? std::min(ask_at_, spread_.next_timer())
                            : spread_.next_timer();
}

void configuration_distributor::AskMember(steady_time now) {
  configuration_client client(*member_);
  const auto delta =
      client.Since(spread_.replica().revision(), now + kAskTimeout);
  const bool is_leader = IsOk(delta);
  Perform(spread_.OnCommitted(
      now, is_leader ? ValueOf(delta) : configuration_delta{}, is_leader));
}

void configuration_distributor::Perform(const spread_actions& actions) {
  for (const spread_send& send : actions.sends) {
    send_(send.to, EncodeSpread(send.message));
  }
  if (actions.progress) {
    const auto waiting = waiting_.extract(actions.progress->number);
    if (!waiting.empty()) {
      waiting.mapped()->set_value(*actions.progress);
    }
  }
  const configuration_replica& replica = spread_.replica();
  if (actions.has_new_revision &&
      view_.Update(replica.revision(), replica.current())) {
    LogStateChange(
        "configuration",
        "revision " + std::to_string(replica.revision()) + " is in force");
    changed_(view_.Current());
  }
}

}  // namespace shallotport
