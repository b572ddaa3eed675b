#ifndef SHALLOTPORT_FLEET_DOCUMENT_OUTBOX_H_
#define SHALLOTPORT_FLEET_DOCUMENT_OUTBOX_H_

#include <cstdint>

#include "fleet/fleet_messages.h"

namespace shallotport {

// What a control host sends of the configuration on one link, so that no more
// than one document, or a difference for each change, waits in front of other
// messages. Pure; a link's order is relied on: what was sent is read before
// what is sent next.
class document_outbox {
 public:
  enum class step : uint8_t {
    kNothing,
    kNotice,  // For a host that has the document `base_version`.
    kWhole,   // To a host of an earlier build.
  };
  struct decision {
    step next = step::kNothing;
    uint64_t base_version = 0;
    uint64_t base_digest = 0;
  };

  // `newest`: version of the newest document, 0: there is none.
  decision OnPublished(uint64_t newest, uint64_t digest);
  decision OnReceipt(const document_receipt& receipt,
                     uint64_t newest,
                     uint64_t digest);
  decision OnAnnounced(uint64_t version, uint64_t newest);

 private:
  decision SendNotice(uint64_t newest, uint64_t digest);

  bool takes_notices_ = false;
  bool has_announced_ = false;
  // What the host has in force once it has read all that was sent.
  uint64_t base_version_ = 0;
  uint64_t base_digest_ = 0;
  uint64_t sent_version_ = 0;       // Whole documents.
  uint64_t confirmed_version_ = 0;  // Of hosts of earlier builds.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_OUTBOX_H_
