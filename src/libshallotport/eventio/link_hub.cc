#include "eventio/link_hub.h"

#include <algorithm>
#include <cstring>
#include <utility>

#include "eventio/handler_guard.h"
#include "eventio/host_link.h"

namespace shallotport {

namespace {

using error_code = boost::system::error_code;

constexpr std::chrono::milliseconds kRedialInterval{100};
// Three usual intervals between ticks. If ticks are further apart, this process
// stalled and has not yet read what arrived meanwhile.
constexpr std::chrono::milliseconds kStallThreshold{300};

// Payload of a kCall frame: call id (8 bytes), method (1 byte), body. A kReply
// frame carries the call id and the reply.
constexpr size_t kCallIdBytes = sizeof(uint64_t);
constexpr size_t kCallHeaderBytes = kCallIdBytes + 1;

std::string EncodeCallId(uint64_t call_id) {
  std::string out(kCallIdBytes, '\0');
  std::memcpy(out.data(), &call_id, kCallIdBytes);
  return out;
}

uint64_t DecodeCallId(std::string_view payload) {
  uint64_t call_id = 0;
  std::memcpy(&call_id, payload.data(), kCallIdBytes);
  return call_id;
}

}  // namespace

link_hub::link_hub(boost::asio::io_context& loop,
                   const clock_source& clock,
                   std::string own_ip,
                   uint16_t port,
                   std::string bind_ip)
    : loop_(loop),
      clock_(clock),
      own_ip_(std::move(own_ip)),
      port_(port),
      bind_ip_(std::move(bind_ip)),
      acceptor_(loop,
                [this](boost::asio::ip::tcp::socket socket) {
                  auto link =
                      std::make_shared<host_link>(*this, std::move(socket));
                  accepted_.insert(link);
                  link->StartAccepted();
                }),
      last_tick_at_(clock.Now()) {}

link_hub::~link_hub() {
  is_shutting_down_ = true;
  const auto dialed = std::exchange(dialed_, {});
  for (const auto& [ip, link] : dialed) {
    link->Detach();
  }
  const auto accepted = std::exchange(accepted_, {});
  for (const auto& link : accepted) {
    link->Detach();
  }
}

status link_hub::Listen() {
  return acceptor_.Listen(bind_ip_.empty() ? own_ip_ : bind_ip_, port_);
}

void link_hub::SetTargets(const std::set<std::string>& ips) {
  targets_ = ips;
  targets_.erase(own_ip_);
  std::vector<std::shared_ptr<host_link>> removed;
  for (const auto& [ip, link] : dialed_) {
    if (!targets_.contains(ip)) {
      removed.push_back(link);
    }
  }
  for (const auto& link : removed) {
    link->Close();
  }
  const steady_time now = clock_.Now();
  for (const std::string& ip : targets_) {
    const auto next_dial = next_dial_at_.find(ip);
    if (!dialed_.contains(ip) &&
        (next_dial == next_dial_at_.end() || now >= next_dial->second)) {
      Dial(ip);
    }
  }
}

void link_hub::Dial(const std::string& ip) {
  next_dial_at_[ip] = clock_.Now() + kRedialInterval;
  auto link = std::make_shared<host_link>(*this, ip);
  dialed_[ip] = link;
  link->Dial(port_, bind_ip_);
}

void link_hub::Send(const std::string& ip,
                    uint8_t kind,
                    std::string_view payload) {
  const auto found = dialed_.find(ip);
  if (found != dialed_.end()) {
    found->second->Send(kind, payload);
  }
}

bool link_hub::IsUp(const std::string& ip) const {
  const auto found = dialed_.find(ip);
  return found != dialed_.end() && found->second->is_up();
}

std::vector<std::string> link_hub::UpTargets() const {
  std::vector<std::string> up;
  for (const auto& [ip, link] : dialed_) {
    if (link->is_up()) {
      up.push_back(ip);
    }
  }
  return up;
}

size_t link_hub::LongestQueueBytes() const {
  size_t longest = 0;
  for (const auto& link : accepted_) {
    longest = std::max(longest, link->queued_bytes());
  }
  for (const auto& [ip, link] : dialed_) {
    longest = std::max(longest, link->queued_bytes());
  }
  return longest;
}

size_t link_hub::QueuedBytes() const {
  size_t sum = 0;
  for (const auto& link : accepted_) {
    sum += link->queued_bytes();
  }
  for (const auto& [ip, link] : dialed_) {
    sum += link->queued_bytes();
  }
  return sum;
}

void link_hub::Call(const std::string& ip,
                    uint8_t method,
                    std::string_view body,
                    duration timeout,
                    reply_function on_reply) {
  if (!IsUp(ip)) {
    on_reply(MakeError(error_kind::kNoCapacity, "no link to " + ip));
    return;
  }
  const uint64_t call_id = next_call_id_++;
  calls_[call_id] = {ip, clock_.Now() + timeout, std::move(on_reply)};
  std::string payload = EncodeCallId(call_id);
  payload.push_back(static_cast<char>(method));
  payload.append(body);
  Send(ip, static_cast<uint8_t>(link_frame::kCall), payload);
}

void link_hub::OnFrame(host_link& link,
                       uint8_t kind,
                       std::string_view payload) {
  switch (static_cast<link_frame>(kind)) {
    case link_frame::kPing:
      link.Send(static_cast<uint8_t>(link_frame::kPong), {});
      return;
    case link_frame::kPong:
      return;
    case link_frame::kCall: {
      if (payload.size() < kCallHeaderBytes || !on_call) {
        return;
      }
      const auto method = static_cast<uint8_t>(payload[kCallIdBytes]);
      const auto respond =
          [call_id = DecodeCallId(payload),
           weak = link.weak_from_this()](const std::string& reply) {
            if (const auto open = weak.lock()) {
              open->Send(static_cast<uint8_t>(link_frame::kReply),
                         EncodeCallId(call_id) + reply);
            }
          };
      // A call that fails gets no reply; others on the link go on.
      RunGuarded("calls", [&] {
        on_call(link, method, payload.substr(kCallHeaderBytes), respond);
      });
      return;
    }
    case link_frame::kReply: {
      if (payload.size() < kCallIdBytes) {
        return;
      }
      const auto found = calls_.find(DecodeCallId(payload));
      if (found == calls_.end()) {
        return;
      }
      const reply_function on_reply = std::move(found->second.on_reply);
      calls_.erase(found);
      RunGuarded("replies",
                 [&] { on_reply(std::string(payload.substr(kCallIdBytes))); });
      return;
    }
    default:
      if (on_frame) {
        on_frame(link, kind, payload);
      }
  }
}

void link_hub::OnDown(host_link& link) {
  if (is_shutting_down_) {
    return;
  }
  const auto self = link.shared_from_this();
  accepted_.erase(self);
  const auto found = dialed_.find(link.ip());
  if (found != dialed_.end() && found->second == self) {
    dialed_.erase(found);
    FailCalls(link.ip());
  }
  if (on_link_down) {
    on_link_down(link);
  }
}

void link_hub::FailCalls(const std::string& ip) {
  std::vector<reply_function> failed;
  for (auto at = calls_.begin(); at != calls_.end();) {
    if (at->second.ip == ip) {
      failed.push_back(std::move(at->second.on_reply));
      at = calls_.erase(at);
    } else {
      ++at;
    }
  }
  for (const reply_function& each : failed) {
    each(
        MakeError(error_kind::kOutcomeUnknown, "the link to " + ip + " broke"));
  }
}

void link_hub::Tick(steady_time now) {
  std::vector<std::shared_ptr<host_link>> links(accepted_.begin(),
                                                accepted_.end());
  for (const auto& [ip, link] : dialed_) {
    links.push_back(link);
  }
  const duration tick_gap = now - last_tick_at_;
  for (const auto& link : links) {
    if (tick_gap > kStallThreshold) {
      link->ExcuseStall(tick_gap, now);
    }
    link->Tick(now);
  }
  last_tick_at_ = now;
  SetTargets(std::set<std::string>(targets_));
  std::vector<reply_function> expired;
  for (auto at = calls_.begin(); at != calls_.end();) {
    if (now >= at->second.deadline) {
      expired.push_back(std::move(at->second.on_reply));
      at = calls_.erase(at);
    } else {
      ++at;
    }
  }
  for (const reply_function& each : expired) {
    each(MakeError(error_kind::kOutcomeUnknown, "no reply in time"));
  }
}

}  // namespace shallotport
