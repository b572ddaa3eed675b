#ifndef SHALLOTPORT_JOBSTORE_ITEM_VERSION_POLICY_H_
#define SHALLOTPORT_JOBSTORE_ITEM_VERSION_POLICY_H_

#include <cstdint>

namespace shallotport {

// What is known of an item that may be sent.
struct item_text_facts {
  bool has_begun = false;  // Its text has a first event.
  // An endpoint of the text's origin is ready, and the route allows it.
  bool is_origin_ready = false;
  // By the schedule, if the text is resumed now.
  bool can_be_in_time = false;
  // Progress of the text has been proposed, with an outcome not known yet.
  bool is_committing = false;
};

// Where an item may be sent.
enum class version_choice : uint8_t {
  kAnyVersion,       // A text that has begun is discarded.
  kOwnVersion,       // Waits for a free slot there.
  kOwnVersionFirst,  // As kAnyVersion if no slot is free there.
  kNone,
};

// Decides whether an item is resumed, waits or begins anew: what endpoints of
// two software versions send does not fit together. Pure.
version_choice ChooseVersion(const item_text_facts& facts);

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_ITEM_VERSION_POLICY_H_
