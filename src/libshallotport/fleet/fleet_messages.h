#ifndef SHALLOTPORT_FLEET_FLEET_MESSAGES_H_
#define SHALLOTPORT_FLEET_FLEET_MESSAGES_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "fleet/document_delta.h"
#include "fleet/endpoint_report.h"
#include "fleet/endpoint_start.h"

namespace shallotport {

// Frames between hosts of a fleet whose hosts discover each other. The numbers
// are part of the protocol and are never reused.
enum class fleet_frame : uint8_t {
  kAnnouncement = 16,  // host_announcement, from the dialing host.
  kDirectory = 17,     // directory_update, from control hosts.
  // configuration_document, from control hosts to hosts of earlier builds,
  // which send no kDocumentReceipt.
  kDocument = 18,
  kEndpoint = 19,    // endpoint_update, from control hosts.
  kConsensus = 20,   // group_envelope, between members of one group.
  kLoad = 21,        // load_report, from entry hosts to job stores.
  kLoadTotals = 22,  // load_report, from the job group's leader to entry hosts.
  kJobMembers = 23,  // job_group_members, from that leader to control hosts.
  kStreams = 24,     // stream_report, from entry hosts to job stores.
  // crash_evidence, from entry hosts to job stores and from these to all.
  kCrashEvidence = 25,
  // Limits of endpoints, from the job group's leader to all hosts and back.
  kEndpointLimits = 26,
  kSlotGrant = 27,   // slot_grant, from the job group's leader to entry hosts.
  kSlotCancel = 29,  // slot_cancellation, from entry hosts to that leader.
  kLeaderFeatures = 30,   // leader_features, from that leader to entry hosts.
  kBusyAccounts = 31,     // EncodeBusyAccounts(), from it to entry hosts.
  kDocumentReceipt = 32,  // document_receipt, to control hosts.
  kDocumentNotice = 33,   // document_notice, from control hosts.
  // EncodeGrantRecords(), from the job group's leader to its other voters.
  kGrantRecords = 34,
};

// Calls from entry hosts to the leader of the job group, or to other hosts
// where it says so.
enum class fleet_call : uint8_t {
  kSubmitJob = 1,
  kReadJob = 2,
  kReadItem = 3,
  kEndJob = 4,
  kRequestSlot = 5,  // slot_request; the reply is a slot_reply.
  kFindStream = 6,   // stream_query, to any store; the reply is a stream_reply.
  // Empty, to any control host. The empty reply comes after all that the
  // control host has passed on before. Earlier builds do not reply.
  kConfirmView = 7,
  // EncodeNeeds(); the reply is EncodeGrants(). Earlier builds reply with
  // another message.
  kRequestAllotment = 8,
  // queued_slot_request; the reply is a slot_reply. Only to leaders that have
  // named kQueuesSlotRequests.
  kQueueSlot = 9,
  // document_read, to a control host that has sent a notice of the document;
  // the reply is a document_chunk.
  kReadDocument = 10,
  // EncodeGrantRecords(), the records that a new leader has, without their
  // grants, to the other voters of the job group; the reply has those that it
  // lacks. Earlier builds reply with another message.
  kReadGrantRecords = 11,
};

enum class host_role : uint8_t { kEntry = 1, kControl = 2, kStore = 3 };

// What a host tells about itself.
struct host_announcement {
  host_id host;  // Its address between hosts; a wiped host keeps it.
  std::string name;
  host_role role = host_role::kEntry;
  domain_id domain;
  std::string operator_address;  // IP:PORT, of control hosts only.
  incarnation start_id = 0;      // Drawn at random at each start.
  incarnation disk = 0;  // Of its consensus group's files; 0: none opened yet.
  bool is_first_start = false;  // The whole fleet starts with empty disks.
  uint64_t document_version = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, name, role, domain, operator_address, start_id, disk,
            is_first_start, document_version);
  }
};

struct directory_entry {
  host_announcement host;
  uint32_t age_ms = 0;  // Since its last announcement was received.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(host, age_ms);
  }
};

// What one control host knows of the fleet. Entry hosts are only counted.
struct directory_update {
  std::vector<directory_entry> hosts;
  uint32_t entry_host_count = 0;
  std::vector<host_id> job_founders;
  std::vector<std::string> retiring;  // Names of job stores.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(hosts, entry_host_count, job_founders, retiring);
  }
};

// The configuration as the operator sent it; the highest version is in force.
struct configuration_document {
  uint64_t version = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, bytes);
  }
};

// Which configuration a host has in force. The first one is sent before the
// host's announcement.
struct document_receipt {
  uint64_t version = 0;
  uint64_t digest = 0;  // HashOf() its bytes; 0: there is none.
  // The host knows of a newer one, or has just connected: it waits for a notice
  // that starts from this document.
  bool awaits_notice = false;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest, awaits_notice);
  }
};

// A control host has a newer configuration.
struct document_notice {
  uint64_t version = 0;
  uint64_t digest = 0;
  uint64_t size = 0;
  // The document from which `delta` starts; 0: there is no delta, the document
  // can be read with kReadDocument.
  uint64_t base_version = 0;
  uint64_t base_digest = 0;
  document_delta delta;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest, size, base_version, base_digest, delta);
  }
};

// Asks for the bytes of a document from `offset` on.
struct document_read {
  uint64_t version = 0;
  uint64_t digest = 0;
  uint64_t offset = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(version, digest, offset);
  }
};

struct document_chunk {
  bool is_held = false;  // False: the control host no longer has the document.
  uint64_t offset = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(is_held, offset, bytes);
  }
};

struct endpoint_update {
  std::vector<endpoint_report> reports;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(reports);
  }
};

struct group_envelope {
  uint32_t group = 0;
  std::string bytes;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(group, bytes);
  }
};

// The committed members of the job group, sent by its leader.
struct job_group_members {
  uint64_t term = 0;
  std::vector<host_id> voters;
  std::vector<host_id> learners;
  // Names of the retiring hosts that the leader knows of.
  std::vector<std::string> leaving;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(term, voters, learners, leaving);
  }
};

struct load_entry {
  uint32_t endpoint = 0;  // LoadKey() of its id.
  uint16_t running = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(endpoint, running);
  }
};

// Interval at which the job group's leader sends load totals: their cost grows
// with the number of entry hosts.
constexpr std::chrono::milliseconds LoadTotalsInterval(size_t entry_hosts) {
  return std::chrono::milliseconds(
      std::clamp<size_t>(2 * entry_hosts, 50, 300));
}

// Short key of an endpoint in load reports, which are sent dozens of times a
// second.
uint32_t LoadKey(const endpoint_id& endpoint);

// Requests that our hosts have in flight at endpoints: absolute numbers, so
// that a lost report does no harm.
struct load_report {
  std::vector<load_entry> entries;
  // Endpoints that lately said in a response that they leave.
  std::vector<endpoint_start> leaving;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(entries, leaving);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_FLEET_FLEET_MESSAGES_H_
