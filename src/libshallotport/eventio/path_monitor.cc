#include "eventio/path_monitor.h"

#include <algorithm>
#include <set>
#include <utility>

namespace shallotport {

namespace {

using std::chrono::milliseconds;

// Endpoints that crash one after the other are seldom so many without one in
// between that accepts connections.
constexpr size_t kMinFailedEndpoints = 3;
// While established connections are silent, too.
constexpr size_t kMinFailedIfSilent = 1;
constexpr milliseconds kFailureValidity{10'000};
// Sound endpoints pause for longer, but not several of them while no other one
// sends anything.
constexpr milliseconds kSilence{500};
constexpr size_t kMinSilentEndpoints = 2;
// While cut off, between direct connections that are tried.
constexpr milliseconds kDirectInterval{1'000};
constexpr size_t kMaxRelaysTried = 2;
constexpr milliseconds kInitialRelayBackoff{300};
constexpr uint32_t kMaxRelayDoublings = 4;
constexpr milliseconds kStrandedAfter{1'000};

bool Contains(std::span<const endpoint_path> tried, const endpoint_path& path) {
  return std::find(tried.begin(), tried.end(), path) != tried.end();
}

}  // namespace

void path_monitor::SetRelays(std::vector<relay_address> relays) {
  // An unchanged set keeps its order, which experience may have changed.
  if (relays.size() == relays_.size() &&
      std::is_permutation(relays.begin(), relays.end(), relays_.begin())) {
    return;
  }
  relays_ = std::move(relays);
  std::erase_if(backoffs_, [this](const auto& each) {
    return std::find(relays_.begin(), relays_.end(), each.first) ==
           relays_.end();
  });
}

std::optional<endpoint_path> path_monitor::NextPath(
    steady_time now,
    std::span<const endpoint_path> tried) {
  const bool has_tried_direct = Contains(tried, std::nullopt);
  if (!has_tried_direct) {
    const bool is_due = is_cut_off_ && now >= next_direct_at_;
    if (is_due) {
      next_direct_at_ = now + kDirectInterval;
    }
    if (!is_cut_off_ || is_due || (tried.empty() && !FirstRelay(now))) {
      return endpoint_path();
    }
  }
  const size_t relays_tried = tried.size() - (has_tried_direct ? 1 : 0);
  if (!is_cut_off_ || relays_tried >= kMaxRelaysTried) {
    return std::nullopt;
  }
  for (const relay_address& each : relays_) {
    if (IsUsable(now, each) && !Contains(tried, each)) {
      return endpoint_path(each);
    }
  }
  return std::nullopt;
}

bool path_monitor::MayReuse(steady_time now, bool is_relayed) {
  // A direct connection is due once in a while.
  return is_relayed ? is_cut_off_ && now < next_direct_at_ : !IsSilent(now);
}

void path_monitor::RecordConnected(steady_time now) {
  failed_.clear();
  is_cut_off_ = false;
  RecordReceived(now);
}

void path_monitor::RecordConnectFailed(steady_time now,
                                       const endpoint_address& to) {
  std::erase_if(failed_, [now](const auto& each) {
    return now >= each.second + kFailureValidity;
  });
  failed_[to] = now;
  const bool is_silent = CountSilentEndpoints(now) > 0;
  const size_t needed = is_silent ? kMinFailedIfSilent : kMinFailedEndpoints;
  if (!is_cut_off_ && failed_.size() >= needed) {
    is_cut_off_ = true;
    is_silent_ = is_silent_ || is_silent;
    next_direct_at_ = now + kDirectInterval;
    last_path_at_ = now;
  }
}

void path_monitor::RecordTimedOut(steady_time now, const endpoint_address& to) {
  if (now >= last_received_at_ + kSilence) {
    RecordConnectFailed(now, to);
  }
}

void path_monitor::RecordRelayUsed(steady_time now,
                                   const relay_address& relay) {
  last_path_at_ = now;
  backoffs_.erase(relay);
}

void path_monitor::RecordRelayFailed(steady_time now,
                                     const relay_address& relay) {
  relay_backoff& backoff = backoffs_[relay];
  backoff.until =
      now + kInitialRelayBackoff *
                (1u << std::min(backoff.failures++, kMaxRelayDoublings));
}

void path_monitor::RecordRelayUnanswered(const relay_address& relay) {
  const auto found = std::find(relays_.begin(), relays_.end(), relay);
  if (found != relays_.end()) {
    std::rotate(found, found + 1, relays_.end());
  }
}

void path_monitor::RecordSent(steady_time now,
                              uint64_t call,
                              const endpoint_address& to) {
  waiting_[call] = {to, now};
}

void path_monitor::RecordReceived(steady_time now) {
  last_received_at_ = now;
  is_silent_ = false;
}

void path_monitor::RecordEnded(uint64_t call) {
  waiting_.erase(call);
}

size_t path_monitor::CountSilentEndpoints(steady_time now) const {
  if (now < last_received_at_ + kSilence) {
    return 0;
  }
  std::set<endpoint_address> silent;
  for (const auto& [call, waiting] : waiting_) {
    if (now >= waiting.sent_at + kSilence) {
      silent.insert(waiting.to);
    }
  }
  return silent.size();
}

bool path_monitor::IsSilent(steady_time now) {
  is_silent_ = is_silent_ || CountSilentEndpoints(now) >= kMinSilentEndpoints;
  return is_silent_;
}

bool path_monitor::IsUsable(steady_time now, const relay_address& relay) const {
  const auto backoff = backoffs_.find(relay);
  return backoff == backoffs_.end() || now >= backoff->second.until;
}

std::optional<relay_address> path_monitor::FirstRelay(steady_time now) const {
  const auto found = std::find_if(
      relays_.begin(), relays_.end(),
      [&](const relay_address& each) { return IsUsable(now, each); });
  return found == relays_.end() ? std::nullopt : std::optional(*found);
}

bool path_monitor::IsStranded(steady_time now) const {
  return is_cut_off_ && now >= last_path_at_ + kStrandedAfter &&
         !FirstRelay(now);
}

}  // namespace shallotport
