#ifndef SHALLOTPORT_BATCH_ITEM_PAYLOADS_H_
#define SHALLOTPORT_BATCH_ITEM_PAYLOADS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace shallotport {

// Location of a payload in this host's store. Not valid on another host or
// after a restart.
struct payload_location {
  uint32_t segment = 0;
  uint32_t offset = 0;
  uint32_t length = 0;

  auto operator<=>(const payload_location&) const = default;
};

// Stores the bytes of items and results outside the job catalogue's memory.
// Append() and Release() are called on the thread that applies commands, Read()
// on any thread, also while a snapshot is written.
class item_payloads {
 public:
  virtual ~item_payloads() = default;
  virtual result<payload_location> Append(std::string_view bytes) = 0;
  virtual result<std::string> Read(const payload_location& payload) const = 0;
  // Frees the payload's space. The caller must not read the payload afterwards.
  virtual void Release(const payload_location& payload) = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_ITEM_PAYLOADS_H_
