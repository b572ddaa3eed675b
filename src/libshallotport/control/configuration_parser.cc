#include "control/configuration_parser.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "settings/checked_yaml.h"

namespace shallotport {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMostIdBytes = 128;
constexpr size_t kDigestHexLength = 64;
constexpr uint64_t kMostPerSecond = 1'000'000;
constexpr uint64_t kMostConcurrent = 1'000'000;
constexpr uint64_t kMostWeight = 1000;
constexpr uint64_t kMostAttempts = 10;
constexpr uint64_t kMostReserveSlots = 10'000;
constexpr milliseconds kLongestDeadline{3'600'000};

constexpr std::array<std::string_view, 2> kKindNames{"model", "plain"};
constexpr std::array<std::string_view, 4> kRoutingNames{
    "adaptive", "round_robin", "least_reported_load", "random_two_choices"};
constexpr std::array<std::string_view, 3> kBatchNames{"guarded", "greedy",
                                                      "fixed_share"};

bool IsIdCharacter(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '.' || c == '_' || c == '-' || c == ':';
}

bool IsId(std::string_view text) {
  return text.size() <= kMostIdBytes &&
         std::all_of(text.begin(), text.end(), IsIdCharacter);
}

bool IsDigestHex(std::string_view text) {
  return text.size() == kDigestHexLength &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
         });
}

std::string ReadId(checked_yaml& item) {
  std::string id = item.Text("id");
  if (!IsId(id)) {
    item.AddProblem("id", "not an id: " + id,
                    "1 to 128 of A-Z a-z 0-9 . _ - :");
  }
  return id;
}

// Takes note of a name and reports one that another item already has.
void CheckUnique(checked_yaml& item,
                 std::string_view key,
                 const std::string& name,
                 std::map<std::string, int>& first_lines) {
  if (name.empty()) {
    return;
  }
  const auto [first, is_new] = first_lines.emplace(name, item.line());
  if (!is_new) {
    item.AddProblem(key,
                    "already used at line " + std::to_string(first->second),
                    "a value of its own for each item");
  }
}

template <typename Id>
std::vector<Id> ReadIds(checked_yaml& item, std::string_view key) {
  std::vector<Id> ids;
  std::set<std::string> seen;
  for (std::string& name : item.Texts(key)) {
    if (!seen.insert(name).second) {
      item.AddProblem(key, "named twice: " + name, "each name once");
    }
    ids.push_back(Id(std::move(name)));
  }
  return ids;
}

account_configuration ReadAccount(checked_yaml& item) {
  account_configuration account;
  account.id = account_id(ReadId(item));
  account.token_sha256 = item.Text("token_sha256");
  if (!account.token_sha256.empty() && !IsDigestHex(account.token_sha256)) {
    item.AddProblem("token_sha256", "not a SHA-256 digest",
                    "64 lower-case hexadecimal digits");
  }
  account.requests_per_second = static_cast<uint32_t>(item.Integer(
      "requests_per_second", account.requests_per_second, 1, kMostPerSecond));
  account.concurrent_requests = static_cast<uint32_t>(item.Integer(
      "concurrent_requests", account.concurrent_requests, 1, kMostConcurrent));
  account.batch_weight = static_cast<uint32_t>(
      item.Integer("batch_weight", account.batch_weight, 1, kMostWeight));
  account.services = ReadIds<service_id>(item, "services");
  return account;
}

void ReadTimeouts(checked_yaml& item, service_configuration& service) {
  service.default_deadline =
      item.Milliseconds("default_deadline_ms", service.default_deadline,
                        milliseconds(1), kLongestDeadline);
  service.first_byte_timeout =
      item.Milliseconds("first_byte_timeout_ms", service.first_byte_timeout,
                        milliseconds(1), kLongestDeadline);
  service.token_gap_timeout =
      item.Milliseconds("token_gap_timeout_ms", service.token_gap_timeout,
                        milliseconds(1), kLongestDeadline);
  service.hedge_after = item.Milliseconds("hedge_after_ms", service.hedge_after,
                                          milliseconds(0), kLongestDeadline);
}

void CheckRepeats(checked_yaml& item, const service_configuration& service) {
  if (service.is_idempotent) {
    return;
  }
  if (service.hedge_after > milliseconds(0)) {
    item.AddProblem("hedge_after_ms", "hedging of a non-idempotent service",
                    "0");
  }
}

service_configuration ReadService(checked_yaml& item) {
  service_configuration service;
  service.id = service_id(ReadId(item));
  service.kind =
      static_cast<service_kind>(item.Choice("kind", std::nullopt, kKindNames));
  service.is_idempotent = item.Flag("idempotent", service.is_idempotent);
  service.accounts = ReadIds<account_id>(item, "accounts");
  ReadTimeouts(item, service);
  service.max_attempts = static_cast<uint32_t>(
      item.Integer("max_attempts", service.max_attempts, 1, kMostAttempts));
  service.routing_strategy =
      kRoutingNames.at(item.Choice("routing_strategy", 0, kRoutingNames));
  service.batch_strategy =
      kBatchNames.at(item.Choice("batch_strategy", 0, kBatchNames));
  service.online_reserve_slots = static_cast<uint32_t>(
      item.Integer("online_reserve_slots", service.online_reserve_slots, 0,
                   kMostReserveSlots));
  service.batch_max_attempts = static_cast<uint32_t>(item.Integer(
      "batch_max_attempts", service.batch_max_attempts, 1, kMostAttempts));
  CheckRepeats(item, service);
  return service;
}

std::set<std::string> ReadAccounts(checked_yaml& top,
                                   std::vector<checked_yaml>& items,
                                   configuration& config) {
  items = top.Mappings("accounts");
  std::map<std::string, int> names;
  std::map<std::string, int> tokens;
  std::set<std::string> known;
  for (checked_yaml& item : items) {
    account_configuration account = ReadAccount(item);
    CheckUnique(item, "id", account.id.text(), names);
    CheckUnique(item, "token_sha256", account.token_sha256, tokens);
    known.insert(account.id.text());
    config.accounts.push_back(std::move(account));
  }
  return known;
}

std::set<std::string> ReadServices(checked_yaml& top,
                                   std::vector<checked_yaml>& items,
                                   configuration& config) {
  items = top.Mappings("services");
  std::map<std::string, int> names;
  std::set<std::string> known;
  for (checked_yaml& item : items) {
    service_configuration service = ReadService(item);
    CheckUnique(item, "id", service.id.text(), names);
    known.insert(service.id.text());
    config.services.push_back(std::move(service));
  }
  return known;
}

template <typename Id>
void CheckReferences(checked_yaml& item,
                     std::string_view key,
                     const std::vector<Id>& ids,
                     const std::set<std::string>& known) {
  for (const Id& id : ids) {
    if (!known.contains(id.text())) {
      item.AddProblem(
          key, "no such id: " + id.text(),
          "ids that this configuration has under " + std::string(key));
    }
  }
}

void PrintAccount(YAML::Emitter& out, const account_configuration& account) {
  out << YAML::BeginMap;
  out << YAML::Key << "id" << YAML::Value << account.id.text();
  out << YAML::Key << "token_sha256" << YAML::Value << account.token_sha256;
  out << YAML::Key << "requests_per_second" << YAML::Value
      << account.requests_per_second;
  out << YAML::Key << "concurrent_requests" << YAML::Value
      << account.concurrent_requests;
  out << YAML::Key << "batch_weight" << YAML::Value << account.batch_weight;
  out << YAML::Key << "services" << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const service_id& id : account.services) {
    out << id.text();
  }
  out << YAML::EndSeq << YAML::EndMap;
}

void PrintService(YAML::Emitter& out, const service_configuration& service) {
  out << YAML::BeginMap;
  out << YAML::Key << "id" << YAML::Value << service.id.text();
  out << YAML::Key << "kind" << YAML::Value
      << std::string(kKindNames.at(static_cast<size_t>(service.kind)));
  out << YAML::Key << "idempotent" << YAML::Value << service.is_idempotent;
  out << YAML::Key << "accounts" << YAML::Value << YAML::Flow << YAML::BeginSeq;
  for (const account_id& id : service.accounts) {
    out << id.text();
  }
  out << YAML::EndSeq;
  out << YAML::Key << "default_deadline_ms" << YAML::Value
      << service.default_deadline.count();
  out << YAML::Key << "first_byte_timeout_ms" << YAML::Value
      << service.first_byte_timeout.count();
  out << YAML::Key << "token_gap_timeout_ms" << YAML::Value
      << service.token_gap_timeout.count();
  out << YAML::Key << "max_attempts" << YAML::Value << service.max_attempts;
  out << YAML::Key << "hedge_after_ms" << YAML::Value
      << service.hedge_after.count();
  out << YAML::Key << "routing_strategy" << YAML::Value
      << service.routing_strategy;
  out << YAML::Key << "batch_strategy" << YAML::Value << service.batch_strategy;
  out << YAML::Key << "online_reserve_slots" << YAML::Value
      << service.online_reserve_slots;
  out << YAML::Key << "batch_max_attempts" << YAML::Value
      << service.batch_max_attempts;
  out << YAML::EndMap;
}

}  // namespace

result<configuration> ParseConfiguration(std::string_view text,
                                         std::string_view file) {
  checked_yaml::problem_list problems;
  checked_yaml top = checked_yaml::Parse(text, file, problems);
  configuration config;
  std::vector<checked_yaml> accounts;
  std::vector<checked_yaml> services;
  const auto known_accounts = ReadAccounts(top, accounts, config);
  const auto known_services = ReadServices(top, services, config);
  for (size_t i = 0; i < accounts.size(); ++i) {
    CheckReferences(accounts[i], "services", config.accounts[i].services,
                    known_services);
    accounts[i].Finish();
  }
  for (size_t i = 0; i < services.size(); ++i) {
    CheckReferences(services[i], "accounts", config.services[i].accounts,
                    known_accounts);
    services[i].Finish();
  }
  top.Finish();
  if (!problems.empty()) {
    std::stable_sort(problems.begin(), problems.end(),
                     [](const yaml_problem& a, const yaml_problem& b) {
                       return a.line < b.line;
                     });
    return MakeError(error_kind::kInvalidRequest, Describe(problems));
  }
  SortById(config);
  return config;
}

std::string PrintConfiguration(const configuration& config) {
  YAML::Emitter out;
  out << YAML::BeginMap;
  out << YAML::Key << "accounts" << YAML::Value << YAML::BeginSeq;
  for (const account_configuration& account : config.accounts) {
    PrintAccount(out, account);
  }
  out << YAML::EndSeq;
  out << YAML::Key << "services" << YAML::Value << YAML::BeginSeq;
  for (const service_configuration& service : config.services) {
    PrintService(out, service);
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace shallotport
