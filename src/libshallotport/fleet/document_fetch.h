#ifndef SHALLOTPORT_FLEET_DOCUMENT_FETCH_H_
#define SHALLOTPORT_FLEET_DOCUMENT_FETCH_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/fleet_messages.h"

namespace shallotport {

// How a host reads a whole configuration: piece by piece, one piece under way
// at a time, from one control host at a time, so that other messages never wait
// behind more than one piece. A control host that does not answer is replaced
// by another one, which goes on where the former ended. A read is finished even
// if a newer document is noticed meanwhile: its successor is then a difference,
// and changes in quick succession cannot put it off for ever. Pure.
class document_fetch {
 public:
  // `self`: spreads the hosts over the control hosts.
  explicit document_fetch(host_id self) : self_(std::move(self)) {}

  struct step {
    host_id source;
    document_read read;
  };

  // A control host has a document of this version.
  void Notice(uint64_t version) {
    newest_noticed_ = std::max(newest_noticed_, version);
  }
  // `source` has this document, and it has to be read as a whole.
  void Offer(const host_id& source,
             uint64_t version,
             uint64_t digest,
             uint64_t size);
  // The version in force here. What is newer has to be offered again: it may be
  // a small difference from this one.
  void SetInForce(uint64_t version);
  // What is to be read now, if anything. The outcome must be told by OnChunk()
  // or OnFailure().
  std::optional<step> Next(steady_time now);
  // Returns the document once it is whole.
  std::optional<configuration_document> OnChunk(steady_time now,
                                                const document_chunk& chunk);
  // No answer, or one that cannot be read.
  void OnFailure(steady_time now);

  bool IsUnderWay() const { return transfer_.has_value(); }
  // The newest version that a control host has named; 0: none.
  uint64_t newest_noticed() const { return newest_noticed_; }

 private:
  struct offer {
    uint64_t version = 0;
    uint64_t digest = 0;
    uint64_t size = 0;
    steady_time not_before{};  // After a failure.
  };
  struct transfer {
    uint64_t version = 0;
    uint64_t digest = 0;
    uint64_t size = 0;
    std::string bytes;
    host_id source;
    bool is_asked = false;
  };

  void Begin(steady_time now);
  std::optional<host_id> ChooseSource(steady_time now, uint64_t version) const;

  const host_id self_;
  std::map<host_id, offer> offers_;
  std::optional<transfer> transfer_;
  std::optional<uint64_t> in_force_;
  uint64_t newest_noticed_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_FETCH_H_
