#include "jobstore/item_version_policy.h"

namespace shallotport {

version_choice ChooseVersion(const item_text_facts& facts) {
  if (!facts.has_begun) {
    return version_choice::kAnyVersion;
  }
  if (!facts.is_origin_ready) {
    return facts.is_committing ? version_choice::kNone
                               : version_choice::kAnyVersion;
  }
  // Beginning anew takes longer than waiting for a slot, unless the endpoints
  // that seem to be ready have been lost.
  return facts.can_be_in_time || facts.is_committing
             ? version_choice::kOwnVersion
             : version_choice::kOwnVersionFirst;
}

}  // namespace shallotport
