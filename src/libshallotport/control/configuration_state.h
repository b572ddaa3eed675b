#ifndef SHALLOTPORT_CONTROL_CONFIGURATION_STATE_H_
#define SHALLOTPORT_CONTROL_CONFIGURATION_STATE_H_

#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "consensus/replicated_state.h"
#include "control/change_index.h"
#include "control/configuration_messages.h"

namespace shallotport {

// The configuration slice of the replicated log, held by each of its members.
//
// A change is accepted when the revision it expects is the one in force, and
// its log index becomes the new revision: of several racers exactly one wins.
// The outcomes of the last kOutcomesKept change ids are remembered, refusals
// included, and returned to resends. A resend that is older still cannot be
// accepted a second time: its expected revision lies below the one in force.
//
// The history keeps up to kHistoryKept changes with their texts, each stored as
// its difference from the following one, within kHistoryBytes.
class configuration_state final : public replicated_state {
 public:
  static constexpr size_t kOutcomesKept = 4096;
  static constexpr size_t kHistoryKept = 1024;
  static constexpr size_t kHistoryBytes = 16U << 20U;

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  log_index revision() const { return data_.revision; }
  const configuration& current() const { return data_.parsed; }

  // What changed after `revision`; whole when that is too long ago.
  configuration_delta Since(log_index revision) const;

  void WriteState(nlohmann::json& out) const override;

 private:
  // The middle of an older text; both ends are taken from the next newer one.
  struct text_difference {
    uint64_t same_prefix = 0;
    uint64_t same_suffix = 0;
    std::string middle;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(same_prefix, same_suffix, middle);
    }
  };

  // A past change; `older_text` is the text of its previous revision.
  struct history_entry {
    change_record record;
    text_difference older_text;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(record, older_text);
    }
  };

  struct remembered_outcome {
    std::string change_id;
    uint64_t digest = 0;  // Of the whole command.
    change_outcome outcome;
    template <typename Archive>
    void serialize(Archive& archive) {
      archive(change_id, digest, outcome);
    }
  };

  struct state_data {
    log_index revision = 0;
    configuration parsed;
    std::string text;
    change_index changes;
    std::deque<history_entry> history;  // Oldest first.
    uint64_t history_bytes = 0;
    std::deque<remembered_outcome> outcomes;  // Oldest first.
    uint64_t accepted = 0;
    uint64_t refused = 0;
    uint64_t repeated = 0;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(revision, parsed, text, changes, history, history_bytes, outcomes,
              accepted, refused, repeated);
    }
  };

  class writer;

  change_outcome Decide(const apply_context& context,
                        configuration_change change,
                        uint64_t digest);
  void PutIntoForce(const apply_context& context, configuration_change change);
  void Remember(std::string change_id, uint64_t digest, change_outcome outcome);
  void AddToHistory(const apply_context& context,
                    const configuration_change& change);
  void TrimHistory();
  void IndexOutcomes();
  configuration_text TextOf(log_index revision) const;
  std::vector<change_record> History(uint64_t limit) const;

  static text_difference Difference(std::string_view older,
                                    std::string_view newer);
  static std::string Restore(const text_difference& difference,
                             std::string_view newer);

  state_data data_;
  // Number of the outcome by change id; the oldest kept has number
  // `first_outcome_`.
  std::map<std::string, uint64_t, std::less<>> outcome_numbers_;
  uint64_t first_outcome_ = 0;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_CONTROL_CONFIGURATION_STATE_H_
