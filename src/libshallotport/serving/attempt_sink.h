#ifndef SHALLOTPORT_SERVING_ATTEMPT_SINK_H_
#define SHALLOTPORT_SERVING_ATTEMPT_SINK_H_

#include <memory>
#include <string>
#include <vector>

#include "http/endpoint_caller.h"
#include "routing/online_request_messages.h"
#include "serving/event_mailbox.h"
#include "serving/model_stream.h"

namespace shallotport {

// Whether an endpoint's refusal promises that nothing was executed.
inline constexpr std::string_view kNotRunHeader = "X-Not-Run";
inline constexpr std::string_view kRequestIdHeader = "X-Request-Id";

// Turns the answer of one call to an endpoint into events of its request: it
// checks that the answer is the attempt's own and arrived to its end. Lives on
// the endpoint_caller's thread.
class attempt_sink final : public endpoint_call_sink {
 public:
  struct identity {
    attempt_number number = 0;
    attempt_id id;
    request_id request;     // Put into the body of a model's whole answer.
    bool is_model = false;  // The body is a completion with an id.
  };

  attempt_sink(identity self, std::shared_ptr<event_mailbox> mailbox);

  void OnHead(int status, std::vector<http_field> headers) override;
  void OnBytes(std::string_view bytes) override;
  void OnEnd(const endpoint_call_end& end) override;

 private:
  void PostEnd(attempt_end_kind kind);
  void PostPiece(std::string bytes);
  void PostWholeBody();

  identity self_;
  std::shared_ptr<event_mailbox> mailbox_;
  model_stream_reader reader_;
  std::string body_;
  int status_ = 0;
  duration retry_after_{0};
  bool has_head_ = false;
  bool is_refusal_ = false;
  bool is_event_stream_ = false;
  bool has_stated_end_ = false;
  bool is_ended_ = false;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_SERVING_ATTEMPT_SINK_H_
