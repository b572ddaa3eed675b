#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_MESSAGES_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_MESSAGES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "control/configuration.h"

namespace shallotport {

// The command that puts a configuration into force. It is accepted only while
// `expected_revision` is the revision in force (0: none yet).
struct configuration_change {
  std::string change_id;  // Chosen by the operator; a resend keeps it.
  log_index expected_revision = 0;
  std::string text;      // The YAML as given.
  configuration parsed;  // What the text says.
  std::string author;
  std::string note;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(change_id, expected_revision, text, parsed, author, note);
  }
};

enum class change_verdict : uint8_t {
  kAccepted = 0,
  kConflict = 1,        // Another revision is in force.
  kChangeIdReused = 2,  // The id was first used for a different change.
  kInvalid = 3,         // Malformed, or without a change id.
};

// The reply to a configuration_change.
struct change_outcome {
  change_verdict verdict = change_verdict::kInvalid;
  log_index revision = 0;  // Accepted: its own; else the one then in force.
  bool is_repeat = false;  // The id was seen before; this is its first outcome.

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(verdict, revision, is_repeat);
  }
};

// What changed after revision `from`, up to revision `to`. Valid on a host that
// holds any revision from `from` on, since items are replaced whole.
struct configuration_delta {
  log_index from = 0;
  log_index to = 0;
  bool is_whole = false;  // Replaces everything; `from` does not matter.
  std::vector<account_configuration> accounts;
  std::vector<service_configuration> services;
  std::vector<account_id> removed_accounts;
  std::vector<service_id> removed_services;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(from, to, is_whole, accounts, services, removed_accounts,
            removed_services);
  }
};

// One line of the history, without its text.
struct change_record {
  log_index revision = 0;
  log_index previous_revision = 0;
  std::string change_id;
  std::string author;
  std::string note;
  wall_milliseconds accepted_at = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, previous_revision, change_id, author, note, accepted_at);
  }
};

// The configuration in force with the text that it was given as.
struct configuration_in_force {
  log_index revision = 0;  // 0: none was accepted yet.
  configuration parsed;
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(revision, parsed, text);
  }
};

// The text of one revision, when the history still holds it.
struct configuration_text {
  bool is_found = false;
  std::string text;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(is_found, text);
  }
};

enum class configuration_query_kind : uint8_t {
  kCurrent = 0,  // -> configuration_in_force
  kSince = 1,    // argument: revision; -> configuration_delta
  kHistory = 2,  // argument: most entries; -> vector<change_record>
  kText = 3,     // argument: revision; -> configuration_text
};

struct configuration_query {
  configuration_query_kind kind = configuration_query_kind::kCurrent;
  uint64_t argument = 0;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, argument);
  }
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_MESSAGES_H_
