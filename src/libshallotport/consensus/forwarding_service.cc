#include <utility>

#include "base/codec.h"
#include "consensus/forwarding_log_internal.h"

namespace shallotport {

namespace {

constexpr std::chrono::seconds kRelayLifetime{2};
constexpr size_t kMaxRelays = 1'024;

}  // namespace

void forwarding_log::implementation::OnPeerMessage(const host_id& from,
                                                   std::string_view bytes) {
  auto message = Decode<forwarding_message>(bytes);
  if (!IsOk(message)) {
    return;
  }
  if (auto* reply = std::get_if<forwarding_reply>(&ValueOf(message))) {
    TakeReply(std::move(*reply));
  } else {
    Serve(from, std::get<forwarding_request>(ValueOf(message)));
  }
}

// Answers another host's call from the local member.
void forwarding_log::implementation::Serve(const host_id& from,
                                           const forwarding_request& request) {
  Count(served_);
  if (Relay(from, request)) {
    return;
  }
  const auto answer = [self = weak_from_this(), from, call = request.call](
                          const result<std::string>& outcome) {
    const auto alive = self.lock();
    if (alive == nullptr) {
      return;
    }
    forwarding_reply reply;
    reply.call = call;
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
    answer(MakeError(error_kind::kNotLeader, "no member on this host"));
    return;
  }
  SubmitLocally(request, answer);
}

// Passes a call on to the leader, for a host that does not reach it.
bool forwarding_log::implementation::Relay(const host_id& from,
                                           const forwarding_request& request) {
  if (!request.may_relay || options_.local == nullptr) {
    return false;
  }
  const host_id leader = options_.local->leader();
  if (leader.IsEmpty() || leader == options_.host || leader == from) {
    return false;
  }
  forwarding_request passed = request;
  passed.may_relay = false;
  {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.Now();
    std::erase_if(
        relays_, [now](const auto& relay) { return relay.second.until < now; });
    if (relays_.size() >= kMaxRelays) {
      return false;
    }
    passed.call = next_call_++;
    relays_[passed.call] = {from, request.call, now + kRelayLifetime};
    ++relayed_;
  }
  send_(leader, Encode(forwarding_message(passed)));
  return true;
}

bool forwarding_log::implementation::PassBack(forwarding_reply& reply) {
  host_id asker;
  {
    const std::lock_guard lock(mutex_);
    const auto relay = relays_.find(reply.call);
    if (relay == relays_.end()) {
      return false;
    }
    asker = relay->second.from;
    reply.call = relay->second.call;
    relays_.erase(relay);
  }
  send_(asker, Encode(forwarding_message(reply)));
  return true;
}

void forwarding_log::implementation::TakeReply(forwarding_reply reply) {
  if (PassBack(reply)) {
    return;
  }
  std::shared_ptr<blocking_reply> waiting;
  {
    const std::lock_guard lock(mutex_);
    const auto found = waiting_.find(reply.call);
    if (found == waiting_.end()) {
      ++unknown_replies_;
      return;
    }
    waiting = found->second;
    leader_ = reply.leader;
    if (!reply.members.empty()) {
      // Those of the settings stay: the named ones may be a member's old view.
      named_members_ = std::move(reply.members);
      members_ = named_members_;
      members_.insert(members_.end(), options_.members.begin(),
                      options_.members.end());
    }
  }
  const bool is_known_kind = static_cast<size_t>(reply.kind) < kErrorKindCount;
  const error_kind kind = is_known_kind ? reply.kind : error_kind::kInternal;
  waiting->Set(reply.is_ok ? result<std::string>(std::move(reply.text))
                           : result<std::string>(MakeError(kind, reply.text)));
}

}  // namespace shallotport
