#ifndef SHALLOTPORT_POISON_CRASH_ATTRIBUTION_H_
#define SHALLOTPORT_POISON_CRASH_ATTRIBUTION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "poison/crash_group.h"
#include "poison/crash_messages.h"

namespace shallotport {

// A part of prompts or a request was blocked, or is not blocked any more.
struct block_change {
  enum class reason : uint8_t {
    kCrashes,      // Blocked.
    kWholeAnswer,  // Released: it was in a whole answer.
    kExplained,    // Released: another key explains its crashes.
    kExpired,      // Released: its crashes are old.
  };

  crash_key key;
  reason why = reason::kCrashes;
  // Of kCrashes: the evidence.
  service_id service;
  // Those that count, one after the other; if there are few, those at a time.
  size_t crashes = 0;
  double chance = 0;  // That a sound one is in so many.
};

// Finds what endpoints crash under: a part that prompts share, or one request
// that is sent again and again (crash_key). A crash breaks all requests that
// the endpoint has, of which one is guilty. A whole answer excuses the keys of
// its request from earlier crashes. Of the other keys, the one that is in most
// crashes explains these, then the next one explains what is left; of two that
// are always together, the request goes before its parts. A key is blocked if a
// sound one would hardly be in so many crashes, and in no whole answer, by
// chance. A part is never blocked by the crashes of a single request: one that
// runs for long and is resumed each time meets one crash after the other. For a
// request three crashes in a row are enough unless attempts often break: nobody
// else sends it. An attempt that puts out text for a while shows, as a whole
// answer does, that its keys did not crash endpoints when it began. A crash
// under an attempt whose output was under way is no evidence against its keys:
// requests with a part in common that run at the same time, and are resumed at
// the same time, would be taken for several witnesses of independent crashes.
//
// While a part is blocked, nothing shows that it is sound. A host that alone
// decides about some requests, such as the one that sends batch items, may send
// one of them at a time as a trial, as a half-open circuit breaker does.
//
// Hosts exchange their records, and each one decides by all of them and by how
// often its own attempts break. A host that errs blocks a key alone, and is
// corrected by the first whole answer at another host. Crashes count if their
// attempts began after the crash that was counted before: endpoints that end
// together may have a cause in common. Those of a request that ran at several
// endpoints at once also count if they came at different moments: it would be
// answered elsewhere meanwhile if it were sound. Endpoints that end together
// tell by themselves if there are many of them, all had requests with a key
// that was never answered, and the others of their failure domains go on
// (crash_group). After two crashes, a request with the part is not sent again,
// and the request itself not sent at all, for a while that grows with each
// crash. Verdicts rest on what endpoints do: naming a part in a request has no
// effect by itself. Owned by the component that selects endpoints. Pure and
// bounded.
class crash_attribution {
 public:
  // A key under which endpoints crash breaks its attempts well before.
  static constexpr std::chrono::milliseconds kSustainedOutput{1'000};
  // It breaks them within this time after their first output, if not before.
  static constexpr std::chrono::milliseconds kOnsetPeriod{80};

  enum class role : uint8_t {
    kObserver,  // Passes on what this host saw.
    kRelay,     // Passes on what observers saw, too.
  };

  // `seed` differs between hosts: not all of them try a request again at the
  // same time.
  explicit crash_attribution(role own_role, uint64_t seed = 1)
      : role_(own_role), seed_(seed) {}

  // The endpoints of a service that this host knows.
  void AddEndpoint(const service_id& service, const domain_id& domain);
  void RemoveEndpoint(const service_id& service, const domain_id& domain);

  // An attempt of this host at an endpoint of the service broke, for whatever
  // reason.
  void RecordBreak(steady_time now, const service_id& service);
  // This host got a whole answer to a request with these traits.
  void RecordWholeAnswer(steady_time now,
                         const service_id& service,
                         const request_traits& traits);
  // An attempt of this host with these traits has put out text for
  // kSustainedOutput: it excuses its keys from the crashes before it began.
  void RecordSustainedOutput(steady_time begun_at,
                             const request_traits& traits);
  // This start of an endpoint has ended, as far as this host saw. To be passed
  // on.
  void RecordEnded(steady_time now,
                   uint64_t start_key,
                   const service_id& service,
                   const domain_id& domain);
  // When this start was seen to have ended, by this host or another one;
  // nullopt if it was not, or long ago.
  std::optional<steady_time> EndedAt(uint64_t start_key) const;
  // An attempt of this host broke since its endpoint ended.
  void RecordCrash(steady_time now, const crash_record& record);
  // Adds the records of another host. What a relay sent is not passed on.
  void Merge(steady_time now,
             const crash_evidence& evidence,
             role sender = role::kObserver);

  // Decides anew where there is something new; to be called several times a
  // second.
  std::vector<block_change> Update(steady_time now);

  // True if a request with these traits must not reach any endpoint.
  bool IsBlocked(steady_time now, const request_traits& traits) const;
  // True if it must not be sent before some time has passed. `is_repeat`: an
  // attempt of the same request of the caller may have been executed.
  bool IsHeldBack(steady_time now,
                  const request_traits& traits,
                  bool is_repeat) const;
  // True if a request with these traits, which has a blocked part, may be sent
  // nevertheless, to find out whether the part is sound.
  bool IsTrialDue(steady_time now, const request_traits& traits) const;
  // Such a request is being sent; the next one has to wait.
  void BeginTrial(steady_time now, const request_traits& traits);
  // How long it stays blocked or held back if no more endpoints crash.
  duration BlockedFor(steady_time now, const request_traits& traits) const;

  bool HasNews() const {
    return !crash_news_.empty() || !answer_news_.empty() ||
           !service_news_.empty() || !ended_news_.empty();
  }
  // Records since the last call that may be new to other hosts.
  crash_evidence TakeNews(steady_time now);
  // What a host that has just started needs to know, bounded.
  crash_evidence Snapshot(steady_time now) const;

  size_t CountBlocked(crash_key::kind what) const;
  size_t record_count() const { return records_.size(); }

 private:
  // Keys of the endpoint's start and of the request.
  using record_key = std::pair<uint64_t, uint64_t>;
  struct known_record {
    crash_record record;
    std::vector<crash_key> keys;
    steady_time broken_at{};
    bool is_own = false;
  };
  // Attempts of this host at a service that ended lately, decayed over time.
  struct service_counts {
    double ended = 0;
    double broken = 0;
    steady_time counted_at{};
    uint64_t whole_answers = 0;  // Of all times.
    steady_time answered_at{};   // The last of them.
    // When a host last saw that it answers while a part is suspected.
    steady_time answering_at{};
  };
  // What is known of a key of a record.
  struct key_state {
    bool was_answered = false;
    steady_time answered_at{};  // The last whole answer.
    steady_time crashed_at{};   // The last crash, whatever excuses it.
    // It has crashes that count.
    bool is_suspected = false;
    uint64_t answers_before = 0;  // Whole answers of its service until then.
  };
  // The crashes of a key that neither a whole answer nor another key excuses.
  struct suspicion {
    std::map<uint64_t, endpoint_crash> crashes;  // By start.
    std::set<uint64_t> requests;                 // Of these crashes.
    service_id service;
    size_t position = 0;  // In the prompt; a request's own key comes last.
    bool was_answered = false;
    bool is_request = false;

    // Those that have no cause in common, as far as can be seen.
    size_t CountCrashes() const;
    std::vector<crash_group> Groups() const;
    // Too few crashes came one after the other, but many at a time.
    bool IsOfGroupsOnly() const;
    steady_time FirstCrash() const;
    steady_time LastCrash() const;
  };
  // A start of an endpoint that has ended lately.
  struct ended_start {
    service_id service;
    domain_id domain;
    steady_time seen_at{};
  };
  // Requests with a blocked part that this host sent nevertheless.
  struct trial_record {
    steady_time last_at{};
    size_t count = 0;
  };
  using suspicions = std::map<crash_key, suspicion>;
  // Keys with a verdict, and until when they are blocked. Afterwards they may
  // be tried again, and still explain their crashes.
  using verdicts = std::map<crash_key, steady_time>;

  bool Add(const crash_record& record, steady_time broken_at, bool is_own);
  // True if other hosts may not know that the start ended.
  bool AddEnded(uint64_t start_key, const ended_start& ended);
  crash_record EndedRecord(steady_time now, uint64_t start_key) const;
  // Removes a record that explains no verdict, if there is one.
  void EvictRecord();
  bool ExplainsVerdict(const known_record& known) const;
  // Records the keys of a whole answer, or of output that is as good as one.
  void AddOwnAnswer(const request_traits& traits, steady_time answered_at);
  // Records a whole answer; true if other hosts may not know what it tells.
  bool AddAnswer(const crash_key& key, steady_time answered_at);
  void RememberAnswer(const crash_key& part, steady_time answered_at);
  void Expire(steady_time now);
  void ForgetUnusedKeys();
  // Whether there is a crash of the key that an answer at `answered_at`
  // excuses and the known one does not.
  bool ExcusesCrash(const crash_key& key, steady_time answered_at) const;
  // Endpoints that ended under the key, as far as they count.
  size_t CountEnded(const crash_key& key) const;
  // Whether the key is suspected for this record's crash.
  bool Counts(const known_record& known, const crash_key& key) const;
  suspicions SuspicionsBeside(const verdicts& guilty) const;
  void UpdateSuspects(const suspicions& all);
  void HoldBack(const crash_key& key, const suspicion& suspect);
  verdicts Decide(steady_time now);
  // Where a service answers nothing, the keys of its requests do not matter.
  bool IsServiceAnswering(const crash_key& key, const suspicion& suspect) const;
  // Whether a host got whole answers of the service since the first of these
  // crashes.
  bool HasAnswersSince(const crash_key& key, const suspicion& suspect) const;
  // Whether a host got a whole answer of the service between the first and the
  // last of these crashes.
  bool HasAnswerBetween(const suspicion& suspect) const;
  void NoteAnsweringServices(steady_time now, const suspicions& all);
  bool IsGuilty(steady_time now,
                const crash_key& key,
                const suspicion& suspect) const;
  bool IsGuiltyBySequence(steady_time now,
                          const crash_key& key,
                          const suspicion& suspect) const;
  bool IsGuiltyByGroups(steady_time now,
                        const crash_key& key,
                        const suspicion& suspect) const;
  // That a sound key is in all these crashes and in no whole answer, by how
  // often attempts break at other times.
  double ChanceOf(steady_time now, const suspicion& suspect) const;
  // The share of this host's attempts that break, apart from these crashes.
  double BrokenShare(steady_time now, const suspicion& suspect) const;
  // That a sound key is in all crashes of these large groups, and in no output.
  double ChanceOfGroups(steady_time now, const suspicion& suspect) const;
  endpoint_population PopulationAt(const service_id& service,
                                   const crash_group& group) const;
  service_counts& DecayedCounts(steady_time now, const service_id& service);
  steady_time LastCrash(const crash_key& key) const;
  block_change::reason ReleaseReason(const crash_key& key) const;
  block_change BlockOf(steady_time now, const crash_key& key) const;

  const role role_;
  const uint64_t seed_;
  std::deque<known_record> records_;  // In order of arrival.
  std::set<record_key> known_;
  std::map<crash_key, key_state> keys_;  // Of the records.
  std::map<service_id, service_counts> services_;
  std::map<service_id, endpoint_population> endpoints_;
  verdicts verdicts_;
  std::set<crash_key> blocked_;               // At the last update.
  std::map<crash_key, trial_record> trials_;  // Of keys with a verdict.
  std::map<crash_key, steady_time> held_back_until_;
  // Whole answers of parts that are in no record.
  std::map<crash_key, steady_time> answered_;
  std::deque<crash_key> answered_order_;
  std::map<uint64_t, ended_start> ended_;
  std::set<uint64_t> ended_news_;
  std::set<record_key> crash_news_;
  std::set<crash_key> answer_news_;
  std::set<service_id> service_news_;
  bool has_changed_ = false;
  bool is_undecided_ = false;  // A key is in enough crashes, and not guilty.
  steady_time next_decision_{};
  steady_time next_undecided_decision_{};
};

}  // namespace shallotport

#endif  // SHALLOTPORT_POISON_CRASH_ATTRIBUTION_H_
