#ifndef SHALLOTPORT_EVENTIO_LINK_HUB_H_
#define SHALLOTPORT_EVENTIO_LINK_HUB_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "base/result.h"

namespace shallotport {

class host_link;

// What the frames of the hub itself mean; the duties number theirs from
// kFirstDutyFrame on.
enum class link_frame : uint8_t {
  kPing = 1,
  kPong = 2,
  kCall = 3,
  kReply = 4,
  kFirstDutyFrame = 16,
};

// The TCP links between this host and others of ours. A host dials those that
// it wants something from; answers and subscriptions come back on the same
// link. Links are pinged, and one that stays silent is dialed anew; time in
// which this process itself stood still does not count as silence.
class link_hub {
 public:
  using frame_handler = std::function<
      void(host_link& link, uint8_t kind, std::string_view payload)>;
  using reply_function = std::function<void(result<std::string> reply)>;
  // Answers a call; `reply` may be kept and called later, once.
  using call_handler =
      std::function<void(host_link& link,
                         uint8_t method,
                         std::string_view body,
                         std::function<void(std::string)> reply)>;

  // Other hosts reach this one at `own_ip`. Links are accepted on `bind_ip` and
  // dialed from there, where that is another address; empty: `own_ip`.
  link_hub(boost::asio::io_context& loop,
           const clock_source& clock,
           std::string own_ip,
           uint16_t port,
           std::string bind_ip = {});
  ~link_hub();

  status Listen();

  frame_handler on_frame;
  call_handler on_call;
  // A dialed link is up, or one of either kind has gone down.
  std::function<void(host_link& link)> on_link_up;
  std::function<void(host_link& link)> on_link_down;

  // Keeps links to exactly these addresses dialed.
  void SetTargets(const std::set<std::string>& ips);
  // On the dialed link to `ip`; dropped when it is not up.
  void Send(const std::string& ip, uint8_t kind, std::string_view payload);
  // kNoCapacity: the link is not up and nothing was sent. kOutcomeUnknown: no
  // reply in time, or the link broke.
  void Call(const std::string& ip,
            uint8_t method,
            std::string_view body,
            duration timeout,
            reply_function on_reply);
  bool IsUp(const std::string& ip) const;
  std::vector<std::string> UpTargets() const;

  // Call ten times a second or more.
  void Tick(steady_time now);

  const std::string& own_ip() const { return own_ip_; }
  const std::set<std::shared_ptr<host_link>>& accepted() const {
    return accepted_;
  }

 private:
  friend class host_link;

  struct pending_call {
    std::string ip;
    steady_time deadline{};
    reply_function on_reply;
  };

  void Accept();
  void Dial(const std::string& ip);
  void OnFrame(host_link& link, uint8_t kind, std::string_view payload);
  void OnDown(host_link& link);
  void FailCalls(const std::string& ip);

  boost::asio::io_context& loop_;
  const clock_source& clock_;
  const std::string own_ip_;
  const uint16_t port_;
  const std::string bind_ip_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer accept_retry_timer_;
  std::set<std::string> targets_;
  std::map<std::string, std::shared_ptr<host_link>> dialed_;
  std::map<std::string, steady_time> next_dial_at_;
  std::set<std::shared_ptr<host_link>> accepted_;
  std::map<uint64_t, pending_call> calls_;
  uint64_t next_call_id_ = 1;
  steady_time last_tick_at_{};
  bool is_shutting_down_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_EVENTIO_LINK_HUB_H_
