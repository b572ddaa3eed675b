#include "routing/choice_strategy.h"

#include <algorithm>
#include <array>
#include <limits>

namespace shallotport {

namespace {

// Requests of a prefix stay at their endpoint while its load per slot is below
// this multiple of the mean.
constexpr double kAffinityLoadFactor = 1.25;
// Load per slot that is always within the cap, so that prefix affinity also
// holds when the mean is low.
constexpr double kAffinityFreeLoad = 0.5;
// Endpoints whose expected time exceeds this multiple of the best one get no
// requests by affinity.
constexpr double kAffinityTimeFactor = 2.0;

uint64_t Mix(uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

double LoadPerSlot(const choice_candidate& candidate) {
  return candidate.load / (candidate.slots * candidate.weight);
}

// Expected time, with the load as a tie-breaker among endpoints with free
// slots. An endpoint in slow start counts as one with fewer slots. Endpoints
// without an estimate of the service time count as equally fast.
double CostOf(const choice_candidate& candidate) {
  choice_candidate adjusted = candidate;
  adjusted.slots = std::max(1.0, candidate.slots * candidate.weight);
  adjusted.service_time_us = std::max(1.0, candidate.service_time_us);
  return ExpectedTime(adjusted) *
         (1 + 0.5 * (adjusted.load + 1) / adjusted.slots);
}

class round_robin final : public choice_strategy {
 public:
  size_t Choose(std::span<const choice_candidate> candidates,
                uint64_t /*prefix_hash*/,
                random_source& /*random*/) override {
    return next_++ % candidates.size();
  }

 private:
  size_t next_ = 0;
};

class least_reported_load final : public choice_strategy {
 public:
  size_t Choose(std::span<const choice_candidate> candidates,
                uint64_t /*prefix_hash*/,
                random_source& random) override {
    const size_t offset = UniformBelow(random, candidates.size());
    size_t best = offset;
    for (size_t i = 1; i < candidates.size(); ++i) {
      const size_t index = (offset + i) % candidates.size();
      if (candidates[index].reported_load < candidates[best].reported_load) {
        best = index;
      }
    }
    return best;
  }
};

class random_two_choices final : public choice_strategy {
 public:
  size_t Choose(std::span<const choice_candidate> candidates,
                uint64_t /*prefix_hash*/,
                random_source& random) override {
    const size_t first = UniformBelow(random, candidates.size());
    const size_t second = UniformBelow(random, candidates.size());
    return candidates[second].load < candidates[first].load ? second : first;
  }
};

// Chooses the endpoint with the least expected time by a full scan. Requests
// that share a prompt prefix go to the endpoint that ranks highest by
// rendezvous hashing among those whose load is within a cap.
class adaptive final : public choice_strategy {
 public:
  size_t Choose(std::span<const choice_candidate> candidates,
                uint64_t prefix_hash,
                random_source& random) override {
    const size_t best = FindCheapest(candidates, random);
    if (prefix_hash == 0) {
      return best;
    }
    return FindAffine(candidates, prefix_hash, best);
  }

 private:
  // The least recently chosen one of equally cheap candidates.
  static size_t FindCheapest(std::span<const choice_candidate> candidates,
                             random_source& random) {
    const size_t offset = UniformBelow(random, candidates.size());
    size_t best = offset;
    double best_cost = std::numeric_limits<double>::infinity();
    for (size_t i = 0; i < candidates.size(); ++i) {
      const size_t sum = offset + i;
      const size_t index =
          sum < candidates.size() ? sum : sum - candidates.size();
      const double cost = CostOf(candidates[index]);
      const bool is_older =
          candidates[index].last_chosen < candidates[best].last_chosen;
      if (cost < best_cost || (cost == best_cost && is_older)) {
        best_cost = cost;
        best = index;
      }
    }
    return best;
  }

  static size_t FindAffine(std::span<const choice_candidate> candidates,
                           uint64_t prefix_hash,
                           size_t cheapest) {
    double load = 0;
    double slots = 0;
    for (const choice_candidate& candidate : candidates) {
      load += candidate.load;
      slots += candidate.slots * candidate.weight;
    }
    const double cap =
        std::max(kAffinityFreeLoad, kAffinityLoadFactor * (load + 1) / slots);
    const double time_cap =
        kAffinityTimeFactor * ExpectedTime(candidates[cheapest]);
    size_t best = cheapest;
    uint64_t best_rank = 0;
    for (size_t i = 0; i < candidates.size(); ++i) {
      const uint64_t rank = Mix(prefix_hash ^ candidates[i].hash);
      if (rank < best_rank || LoadPerSlot(candidates[i]) > cap ||
          ExpectedTime(candidates[i]) > time_cap) {
        continue;
      }
      best_rank = rank;
      best = i;
    }
    return best;
  }
};

template <typename T>
std::unique_ptr<choice_strategy> Make() {
  return std::make_unique<T>();
}

struct strategy_row {
  std::string_view name;
  std::unique_ptr<choice_strategy> (*make)();
};

constexpr std::array<strategy_row, 4> kStrategies = {{
    {"adaptive", &Make<adaptive>},
    {"round_robin", &Make<round_robin>},
    {"least_reported_load", &Make<least_reported_load>},
    {"random_two_choices", &Make<random_two_choices>},
}};

constexpr std::array<std::string_view, 4> kNames = {
    kStrategies[0].name, kStrategies[1].name, kStrategies[2].name,
    kStrategies[3].name};

}  // namespace

std::unique_ptr<choice_strategy> MakeChoiceStrategy(std::string_view name) {
  for (const strategy_row& row : kStrategies) {
    if (row.name == name) {
      return row.make();
    }
  }
  return nullptr;
}

std::span<const std::string_view> ChoiceStrategyNames() {
  return kNames;
}

}  // namespace shallotport
