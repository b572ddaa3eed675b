#ifndef SHALLOTPORT_POISON_CRASH_ATTRIBUTION_H_
#define SHALLOTPORT_POISON_CRASH_ATTRIBUTION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "poison/crash_messages.h"

namespace shallotport {

// A part was blocked, or is not blocked any more.
struct block_change {
  enum class reason : uint8_t {
    kCrashes,      // Blocked.
    kWholeAnswer,  // Released: it was in a whole answer.
    kExplained,    // Released: another part explains its crashes.
    kExpired,      // Released: its crashes are old.
  };

  prompt_part part = 0;
  reason why = reason::kCrashes;
  // Of kCrashes: the evidence.
  service_id service;
  size_t crashes = 0;  // Those that count, one after the other.
  double chance = 0;   // That a sound part is in so many.
};

// Finds the parts of prompts under which endpoints crash. A crash breaks all
// requests that the endpoint has, of which one is guilty. A whole answer
// excuses the parts of its prompt from earlier crashes. Of the other parts, the
// one that is in most crashes explains these, then the next one explains what
// is left. A part is blocked if a sound one would hardly be in so many crashes,
// and in no whole answer, by chance.
//
// Hosts exchange their records, and each one decides by all of them and by how
// often its own attempts break. A host that errs blocks a part alone, and is
// corrected by the first whole answer at another host. Crashes count if their
// attempts began after the crash that was counted before: endpoints that end
// together have a cause in common. After two crashes, a request with the part
// is not sent again for a while that grows with each crash. Verdicts rest on
// what endpoints do: naming a part in a request has no effect by itself. Owned
// by the component that selects endpoints. Pure and bounded.
class crash_attribution {
 public:
  enum class role : uint8_t {
    kObserver,  // Passes on what this host saw.
    kRelay,     // Passes on what observers saw, too.
  };

  explicit crash_attribution(role own_role) : role_(own_role) {}

  // An attempt of this host at an endpoint of the service broke, for whatever
  // reason.
  void RecordBreak(steady_time now, const service_id& service);
  // This host got a whole answer to a prompt with these parts.
  void RecordWholeAnswer(steady_time now,
                         const service_id& service,
                         std::span<const prompt_part> parts);
  // An attempt of this host broke since its endpoint ended.
  void RecordCrash(steady_time now, const crash_record& record);
  // Adds the records of another host. What a relay sent is not passed on.
  void Merge(steady_time now,
             const crash_evidence& evidence,
             role sender = role::kObserver);

  // Decides anew where there is something new; to be called several times a
  // second.
  std::vector<block_change> Update(steady_time now);

  // True if requests with these parts must not reach any endpoint.
  bool IsBlocked(std::span<const prompt_part> parts) const;
  // True if such a request must not be sent once more after an attempt that may
  // have been executed.
  bool IsRepeatBlocked(steady_time now,
                       std::span<const prompt_part> parts) const;
  // How long they stay blocked if no more endpoints crash; 0: not blocked.
  duration BlockedFor(steady_time now,
                      std::span<const prompt_part> parts) const;

  bool HasNews() const {
    return !crash_news_.empty() || !answer_news_.empty() ||
           !service_news_.empty();
  }
  // Records since the last call that may be new to other hosts.
  crash_evidence TakeNews(steady_time now);
  // What a host that has just started needs to know, bounded.
  crash_evidence Snapshot(steady_time now) const;

  size_t blocked_count() const { return blocked_.size(); }
  size_t record_count() const { return records_.size(); }

 private:
  // Keys of the endpoint's start and of the request.
  using record_key = std::pair<uint64_t, uint64_t>;
  struct known_record {
    crash_record record;
    steady_time broken_at{};
    bool is_own = false;
  };
  // Attempts of this host at a service that ended lately, decayed over time.
  struct service_counts {
    double ended = 0;
    double broken = 0;
    steady_time counted_at{};
    uint64_t whole_answers = 0;  // Of all times.
    // When a host last saw that it answers while a part is suspected.
    steady_time answering_at{};
  };
  // What is known of a part of a record.
  struct part_state {
    bool was_answered = false;
    steady_time answered_at{};  // The last whole answer.
    // It has crashes that count.
    bool is_suspected = false;
    uint64_t answers_before = 0;  // Whole answers of its service until then.
  };
  // The crashes of a part that neither a whole answer nor another part excuses.
  struct suspected_crash {
    steady_time broken_at{};
    steady_time begun_at{};  // Of the latest attempt with the part.
  };
  struct suspicion {
    std::map<uint64_t, suspected_crash> crashes;  // By endpoint.
    service_id service;
    size_t position = 0;  // In the prompt.
    bool was_answered = false;

    // Those that do not overlap.
    size_t CountCrashes() const;
    steady_time FirstCrash() const;
    steady_time LastCrash() const;
  };
  using suspicions = std::map<prompt_part, suspicion>;

  bool Add(const crash_record& record, steady_time broken_at, bool is_own);
  // Records a whole answer; true if other hosts may not know what it tells.
  bool AddAnswer(prompt_part part, steady_time answered_at);
  void RememberAnswer(prompt_part part, steady_time answered_at);
  void Expire(steady_time now);
  void ForgetUnusedParts();
  // Whether there is a crash of the part that an answer at `answered_at`
  // excuses and the known one does not.
  bool ExcusesCrash(prompt_part part, steady_time answered_at) const;
  // Whether the part is suspected for this record's crash.
  bool Counts(const known_record& known, prompt_part part) const;
  suspicions SuspicionsBeside(const std::set<prompt_part>& blocked) const;
  void UpdateSuspects(const suspicions& all);
  std::set<prompt_part> Decide(steady_time now,
                               std::vector<block_change>& changes);
  // Where a service answers nothing, parts do not matter.
  bool IsServiceAnswering(prompt_part part, const suspicion& suspect) const;
  void NoteAnsweringServices(steady_time now, const suspicions& all);
  bool IsGuilty(steady_time now,
                prompt_part part,
                const suspicion& suspect) const;
  // That a sound part is in all these crashes and in no whole answer, by how
  // often attempts break at other times.
  double ChanceOf(steady_time now, const suspicion& suspect) const;
  service_counts& DecayedCounts(steady_time now, const service_id& service);
  steady_time LastCrash(prompt_part part) const;
  block_change::reason ReleaseReason(prompt_part part) const;

  const role role_;
  std::deque<known_record> records_;  // In order of arrival.
  std::set<record_key> known_;
  std::map<prompt_part, part_state> parts_;  // Of the records.
  std::map<service_id, service_counts> services_;
  std::map<prompt_part, steady_time> blocked_;  // With its last crash.
  // Until when requests with these parts are not sent again.
  std::map<prompt_part, steady_time> repeats_blocked_until_;
  // Whole answers of parts that are in no record.
  std::map<prompt_part, steady_time> answered_;
  std::deque<prompt_part> answered_order_;
  std::set<record_key> crash_news_;
  std::set<prompt_part> answer_news_;
  std::set<service_id> service_news_;
  bool has_changed_ = false;
  bool is_undecided_ = false;  // A part is in enough crashes, and not blocked.
  steady_time next_decision_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_CRASH_ATTRIBUTION_H_
