#ifndef SHALLOTPORT_FLEET_DOCUMENT_ARCHIVE_H_
#define SHALLOTPORT_FLEET_DOCUMENT_ARCHIVE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "fleet/fleet_messages.h"

namespace shallotport {

// The newest configurations that a control host has, and what it tells other
// hosts of them: the difference from the one that a host has in force where
// that is small, otherwise where to read the whole. Pure.
class document_archive {
 public:
  // Keeps `document` as the newest one; older versions are ignored.
  void Add(const configuration_document& document);

  uint64_t newest() const {
    return documents_.empty() ? 0 : documents_.back().document.version;
  }
  // An encoded document_notice of the newest document for a host that has the
  // document `base_version` with `base_digest`.
  const std::string& NoticeFor(uint64_t base_version, uint64_t base_digest);
  // At most kMaxChunkBytes.
  document_chunk Read(const document_read& read) const;
  // Of the kept document `version`; 0: it is not kept.
  uint64_t DigestOf(uint64_t version) const;

 private:
  struct kept_document {
    configuration_document document;
    uint64_t digest = 0;
  };

  const kept_document* Find(uint64_t version) const;
  std::string MakeNotice(const kept_document* base) const;

  std::deque<kept_document> documents_;      // By rising version.
  std::map<uint64_t, std::string> notices_;  // By version of the base.
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_DOCUMENT_ARCHIVE_H_
