#ifndef SHALLOTPORT_JOBSTORE_JOB_TABLE_H_
#define SHALLOTPORT_JOBSTORE_JOB_TABLE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "consensus/replicated_state.h"
#include "jobstore/job_records.h"

namespace shallotport {

enum class job_command_kind : uint8_t {
  kSubmit = 1,
  kRecord = 2,         // Records the result of an item.
  kRecordFailure = 3,  // Counts a failed execution of an item.
  kCancel = 4,
  kProgress = 5,  // Records progress of several items, so that a new leader can
                  // resume them.
};

struct job_progress {
  job_id job;
  std::vector<item_progress> items;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(job, items);
  }
};

struct job_command {
  job_command_kind kind = job_command_kind::kSubmit;
  job_id job;
  job_submission submission;
  uint32_t item_index = 0;  // In the submission.
  item_result result;       // Its text is appended to the item's progress.
  std::string base_event;   // The result's text continues after this event.
  stream_origin origin;     // Of the result's text.
  // The result's text begins anew and replaces the item's progress.
  bool is_restart = false;
  std::vector<job_progress> progress;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(kind, job, submission, item_index, result, base_event, origin,
            is_restart, progress);
  }
};

std::string EncodeJobCommand(const job_command& command);

// Replicated state machine of the job group: the batch jobs of a fleet.
// Submitting a job is idempotent, the first result of an item stands, and
// results keep their positions. An item's text is of one service and software
// version. Cancelled and finished jobs stay readable for
// kJobRetentionMs after their submission.
class job_table final : public replicated_state {
 public:
  struct item_state {
    bool has_result = false;
    uint32_t failures = 0;
    std::string text;  // Of the events so far, while there is no result.
    std::string last_event;
    // Of the text; none before its first event.
    std::optional<stream_origin> origin;

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(has_result, failures, text, last_event, origin);
    }
  };

  struct job_state {
    job_submission submission;
    wall_milliseconds accepted_at = 0;
    // By its caller: remaining items need not be executed.
    bool is_cancelled = false;
    std::vector<item_state> items;
    std::vector<item_result> results;  // Ordered by position.

    bool IsOpen() const {
      return !is_cancelled && results.size() < items.size();
    }

    template <typename Archive>
    void serialize(Archive& archive) {
      archive(submission, accepted_at, is_cancelled, items, results);
    }
  };

  // Called with the job of every applied command; empty for kProgress.
  std::function<void(const job_id& job)> on_changed;
  // Called after a snapshot replaced the state.
  std::function<void()> on_loaded;

  std::string Apply(const apply_context& context,
                    std::string_view command) override;
  std::string Query(std::string_view query) const override;
  std::unique_ptr<snapshot_writer> BeginSnapshot() const override;
  status LoadSnapshot(std::istream& in) override;

  const job_state* Find(const job_id& job) const;
  const std::map<job_id, job_state>& jobs() const { return state_.jobs; }
  // Tokens of the accepted items of a route that have no result yet.
  uint64_t WaitingTokens(const std::string& route) const;

  // Results from position `start_position` on, limited to about a megabyte.
  job_store_reply Read(const job_id& job, uint32_t start_position) const;
  job_store_reply ReadItem(const job_id& job, const std::string& item_id) const;

 private:
  struct table_state {
    std::map<job_id, job_state> jobs;
    std::map<std::string, uint64_t> waiting_tokens;
  };
  class writer;

  job_store_reply_kind Submit(const apply_context& context,
                              job_submission&& submission);
  job_store_reply_kind Record(const job_command& command);
  job_store_reply_kind RecordFailure(const job_command& command);
  job_store_reply_kind Cancel(const job_id& job);
  job_store_reply_kind Progress(const job_command& command);
  void ReleaseWaitingTokens(const job_state& job, uint32_t item);
  void RemoveExpired(wall_milliseconds now);

  table_state state_;
};

}  // namespace shallotport

#endif  // SHALLOTPORT_JOBSTORE_JOB_TABLE_H_
