#ifndef SHALLOTPORT_SERVING_ONLINE_EXCHANGE_H_
#define SHALLOTPORT_SERVING_ONLINE_EXCHANGE_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "control/configuration.h"
#include "http/endpoint_caller.h"
#include "http/http_message.h"
#include "routing/online_request.h"
#include "serving/event_mailbox.h"
#include "serving/model_stream.h"
#include "serving/online_claims.h"

namespace shallotport {

class exchange_finisher;
class routing_duty;
class serving_metrics;

// One online request as the callers' interface understood it.
struct exchange_request {
  request_id id;          // Of this host; the attempts are named after it.
  std::string public_id;  // Echoed to the caller.
  account_id account;
  std::string bearer_token;  // Passed on when the request is spilled.
  service_configuration service;
  bool is_idempotent = true;
  std::string method = "POST";
  std::string path;
  std::string content_type;
  std::string body;
  std::string key;  // Idempotency-Key; empty: none.
  uint64_t prefix_hash = 0;
  bool is_stream = false;
  bool is_chat = false;
  bool is_spilled = false;
  bool is_claimed = false;  // The spilling host holds the claim.
  steady_time deadline;
};

// What exchanges share. The pointers outlive every exchange.
struct exchange_services {
  const clock_source* clock = nullptr;
  routing_duty* routing = nullptr;
  endpoint_caller* caller = nullptr;
  online_claims* claims = nullptr;
  exchange_finisher* finisher = nullptr;
  serving_metrics* metrics = nullptr;
  std::string peer_secret;  // Proves to another host that a request is spilled.
  duration claim_timeout{0};
};

inline constexpr std::string_view kSpilledHeader = "X-Shallotport-Spilled";
inline constexpr std::string_view kClaimedHeader = "X-Shallotport-Claimed";

// Drives the online_request state machine of one request on its connection's
// thread: performs the machine's actions and feeds it the events that come
// back. What is left after the caller's answer goes to the exchange_finisher.
class online_exchange : public std::enable_shared_from_this<online_exchange> {
 public:
  online_exchange(exchange_request request, const exchange_services& services);

  // Runs the request until the head of its reply is known. Call once.
  http_reply Serve();

  // Answers without sending anything: `reason`, or what is recorded about the
  // request's key. Instead of Serve().
  http_reply Refuse(error reason);

  // Appends what has come for the caller; waits when there is nothing yet.
  body_stream::state ReadMore(std::string& out, size_t room);

  // The reply was sent or the caller has gone. Hands the rest on.
  void EndReply();

  // Handles events until the machine is done.
  void RunToEnd();

 private:
  using action_list = std::vector<online_action>;

  bool IsReplyReady() const;
  void HandleNextEvent();
  void Perform(action_list actions);

  void Do(request_route& action);
  void Do(const begin_claim& action);
  void Do(const finish_claim& action);
  void Do(const release_claim& action);
  void Do(const abandon_claim& action);
  void Do(const start_attempt& action);
  void Do(const cancel_attempt& action);
  void Do(const query_outcome& action);
  void Do(const report_started& action);
  void Do(const report_first_byte& action);
  void Do(const report_finished& action);
  void Do(const send_head& action);
  void Do(const send_bytes& action);
  void Do(const send_end& action);
  void Do(const respond_recorded& action);
  void Do(const respond_error& action);
  void Do(const request_done& action);

  // An error that promises not_run is no answer to a key that has run before:
  // asks the log and puts the recorded answer or the true reason in its place.
  void CorrectRefusal();
  bool IsModel() const;
  bool IsEventStream() const;
  std::vector<http_field> HeadersOf(const start_attempt& action) const;
  void CancelAtEngine(const start_attempt& attempt);
  std::string EndpointKey() const;
  http_reply MakeReply();

  struct open_call {
    call_number number = 0;
    start_attempt attempt;
  };

  exchange_request request_;
  const exchange_services& services_;
  std::shared_ptr<event_mailbox> mailbox_;
  online_request machine_;
  model_stream_writer writer_;
  claim_subject subject_;
  std::map<attempt_number, open_call> calls_;
  steady_time started_at_;

  // The reply as far as it is known.
  int status_ = 0;
  std::string reply_type_;
  std::optional<error> failure_;
  std::string out_;
  bool is_out_ended_ = false;
  bool is_out_broken_ = false;
  bool is_reply_ended_ = false;
  bool has_begun_claim_ = false;
  bool is_started_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_ONLINE_EXCHANGE_H_
