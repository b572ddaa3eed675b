#include <utility>

#include "base/codec.h"
#include "consensus/forwarding_log_internal.h"

namespace shallotport {

namespace {

constexpr std::chrono::seconds kRelayTimeToLive{2};
constexpr size_t kMaxRelays = 1'024;

}  // namespace

void forwarding_log::implementation::OnPeerMessage(const host_id& from,
                                                   std::string_view bytes) {
  auto message = Decode<forwarding_message>(bytes);
  if (!IsOk(message)) {
    return;
  }
  if (auto* reply = std::get_if<forwarding_reply>(&ValueOf(message))) {
    OnReply(std::move(*reply));
  } else {
    ServeRequest(from, std::get<forwarding_request>(ValueOf(message)));
  }
}

// Serves another host's call with the local member, or relays it.
void forwarding_log::implementation::ServeRequest(
    const host_id& from,
    const forwarding_request& request) {
  Count(served_);
  if (Relay(from, request)) {
    return;
  }
  const auto send_reply = [self = weak_from_this(), from,
                           call_id = request.call_id](
                              const result<std::string>& outcome) {
    const auto alive = self.lock();
    if (alive == nullptr) {
      return;
    }
    forwarding_reply reply;
    reply.call_id = call_id;
    reply.is_ok = IsOk(outcome);
    reply.kind = IsOk(outcome) ? error_kind::kInternal : ErrorOf(outcome).kind;
    reply.text = IsOk(outcome) ? ValueOf(outcome) : ErrorOf(outcome).detail;
    if (alive->options_.local != nullptr) {
      reply.leader = alive->options_.local->leader();
      reply.members = alive->options_.local->members();
    }
    alive->send_(from, Encode(forwarding_message(reply)));
  };
  if (options_.local == nullptr) {
    send_reply(MakeError(error_kind::kNotLeader, "no member on this host"));
    return;
  }
  SubmitLocally(request, send_reply);
}

// Relays a call to the leader, for a host that cannot reach it. False if the
// local member has to serve it instead.
bool forwarding_log::implementation::Relay(const host_id& from,
                                           const forwarding_request& request) {
  if (!request.may_relay || options_.local == nullptr) {
    return false;
  }
  const host_id leader = options_.local->leader();
  if (leader.IsEmpty() || leader == options_.host || leader == from) {
    return false;
  }
  forwarding_request relayed = request;
  relayed.may_relay = false;
  {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.Now();
    std::erase_if(relayed_calls_, [now](const auto& relay) {
      return relay.second.expires_at < now;
    });
    if (relayed_calls_.size() >= kMaxRelays) {
      return false;
    }
    relayed.call_id = next_call_id_++;
    relayed_calls_[relayed.call_id] = {from, request.call_id,
                                       now + kRelayTimeToLive};
    ++relayed_;
  }
  send_(leader, Encode(forwarding_message(relayed)));
  return true;
}

bool forwarding_log::implementation::RelayReply(forwarding_reply& reply) {
  host_id requester;
  {
    const std::lock_guard lock(mutex_);
    const auto relay = relayed_calls_.find(reply.call_id);
    if (relay == relayed_calls_.end()) {
      return false;
    }
    requester = relay->second.requester;
    reply.call_id = relay->second.call_id;
    relayed_calls_.erase(relay);
  }
  send_(requester, Encode(forwarding_message(reply)));
  return true;
}

void forwarding_log::implementation::OnReply(forwarding_reply reply) {
  if (RelayReply(reply)) {
    return;
  }
  std::shared_ptr<blocking_reply> waiting;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_calls_.find(reply.call_id);
    if (found == waiting_calls_.end()) {
      ++unknown_replies_;
      return;
    }
    waiting = found->second;
    selector_.OnReply(reply.leader, std::move(reply.members));
  }
  const bool is_known_kind = static_cast<size_t>(reply.kind) < kErrorKindCount;
  const error_kind kind = is_known_kind ? reply.kind : error_kind::kInternal;
  waiting->Set(reply.is_ok ? result<std::string>(std::move(reply.text))
                           : result<std::string>(MakeError(kind, reply.text)));
}

}  // namespace shallotport
