#ifndef SHALLOTPORT_BATCH_ITEM_PAYLOADS_H_
#define SHALLOTPORT_BATCH_ITEM_PAYLOADS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"

namespace shallotport {

// Where a payload is kept on this host. Means nothing on another host or after
// a restart.
struct item_payload {
  uint32_t segment = 0;
  uint32_t offset = 0;
  uint32_t length = 0;

  auto operator<=>(const item_payload&) const = default;
};

// Keeps the bytes of items and results outside the job catalogue's memory.
// Append() and Release() are called by the thread that applies commands;
// Read() by any thread, also while a snapshot is written.
class item_payloads {
 public:
  virtual ~item_payloads() = default;
  virtual result<item_payload> Append(std::string_view bytes) = 0;
  virtual result<std::string> Read(const item_payload& payload) const = 0;
  // Gives up the payload's space; it is not read afterwards.
  virtual void Release(const item_payload& payload) = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_BATCH_ITEM_PAYLOADS_H_
