#ifndef SHALLOTPORT_BASE_IDS_H_
#define SHALLOTPORT_BASE_IDS_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace shallotport {

// A name that cannot be mixed up with a name of another kind. `Tag` is any
// type that is used for no other id.
template <typename Tag>
class named_id {
 public:
  named_id() = default;
  explicit named_id(std::string text) : text_(std::move(text)) {}

  const std::string& text() const { return text_; }
  bool IsEmpty() const { return text_.empty(); }

  auto operator<=>(const named_id&) const = default;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(text_);
  }

 private:
  std::string text_;
};

using host_id = named_id<struct host_tag>;          // A process of ours.
using domain_id = named_id<struct domain_tag>;      // A failure domain.
using account_id = named_id<struct account_tag>;    // A caller's account.
using endpoint_id = named_id<struct endpoint_tag>;  // A runner or service.
using service_id = named_id<struct service_tag>;    // A model or service name.
using request_id = named_id<struct request_tag>;    // Caller's view of a call.
using attempt_id = named_id<struct attempt_tag>;    // One call to an endpoint.
using job_id = named_id<struct job_tag>;            // A batch job.

// Counts the starts of one host or endpoint; a higher number is a later start.
using incarnation = uint64_t;

// Index of an entry of the replicated log; the first entry has index 1.
using log_index = uint64_t;

// Fencing number of orders to endpoints.
using fencing_number = uint64_t;

}  // namespace shallotport

template <typename Tag>
struct std::hash<shallotport::named_id<Tag>> {
  size_t operator()(const shallotport::named_id<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.text());
  }
};

#endif  // SHALLOTPORT_BASE_IDS_H_
