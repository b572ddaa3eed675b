#ifndef SHALLOTPORT_BATCH_BATCH_CALLS_H_
#define SHALLOTPORT_BATCH_BATCH_CALLS_H_

#include <functional>
#include <string>

#include "batch/batch_sender_messages.h"

namespace shallotport {

// Sends the calls of batch items to endpoints. No function blocks.
class batch_calls {
 public:
  using end_handler = std::function<void(batch_call_end end)>;

  virtual ~batch_calls() = default;

  // Invokes `ended` exactly once, on any thread, also when the call is
  // cancelled or cannot be started.
  virtual void Start(const start_batch_call& call, end_handler ended) = 0;

  // The call ends shortly after with kCancelled, unless it has already ended.
  virtual void Cancel(batch_call call) = 0;
};

struct item_claim_reply {
  item_claim claim = item_claim::kUnavailable;
  std::string answer;  // Set with kAnswered.
};

// Claims of items of non-idempotent services. The functions block the worker
// thread that calls them; all calls for one item come from the same thread, in
// order.
class item_claims {
 public:
  virtual ~item_claims() = default;
  virtual item_claim_reply Begin(const begin_item_claim& claim) = 0;
  virtual void Finish(const finish_item_claim& claim) = 0;
  virtual void Release(const release_item_claim& claim) = 0;
  virtual void Abandon(const abandon_item_claim& claim) = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_BATCH_CALLS_H_
