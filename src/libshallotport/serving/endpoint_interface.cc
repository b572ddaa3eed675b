#include "serving/endpoint_interface.h"

#include <limits>
#include <nlohmann/json.hpp>

#include "settings/checked_yaml.h"

namespace shallotport {

namespace {

using nlohmann::json;

constexpr size_t kMaxServices = 64;
constexpr size_t kMaxNameBytes = 128;

// Reads members of a JSON object; keeps the first thing that is wrong.
class member_reader {
 public:
  explicit member_reader(const json& object) : object_(object) {}

  std::string Text(const char* name) {
    const auto found = object_.find(name);
    if (found == object_.end() || !found->is_string() ||
        found->get_ref<const std::string&>().empty() ||
        found->get_ref<const std::string&>().size() > kMaxNameBytes) {
      Fail(name, "a text of 1 to 128 bytes");
      return {};
    }
    return found->get<std::string>();
  }

  uint64_t Number(const char* name, uint64_t highest) {
    const auto found = object_.find(name);
    if (found == object_.end() || !found->is_number_unsigned() ||
        found->get<uint64_t>() > highest) {
      Fail(name, "a whole number up to " + std::to_string(highest));
      return 0;
    }
    return found->get<uint64_t>();
  }

  bool Flag(const char* name) {
    const auto found = object_.find(name);
    if (found == object_.end()) {
      return false;
    }
    if (!found->is_boolean()) {
      Fail(name, "true or false");
      return false;
    }
    return found->get<bool>();
  }

  void Fail(const std::string& name, const std::string& expected) {
    if (problem_.empty()) {
      problem_ = name + ": expected " + expected;
    }
  }

  const std::string& problem() const { return problem_; }

 private:
  const json& object_;
  std::string problem_;
};

std::vector<service_id> ReadServices(const json& body, member_reader& reader) {
  std::vector<service_id> services;
  const auto list = body.find("services");
  if (list == body.end() || !list->is_array() || list->empty() ||
      list->size() > kMaxServices) {
    reader.Fail("services", "1 to 64 names");
    return services;
  }
  for (const json& name : *list) {
    if (!name.is_string() || name.get_ref<const std::string&>().empty() ||
        name.get_ref<const std::string&>().size() > kMaxNameBytes) {
      reader.Fail("services", "names of 1 to 128 bytes");
      break;
    }
    services.emplace_back(name.get<std::string>());
  }
  return services;
}

load_report ReadLoad(const json& body, member_reader& reader) {
  constexpr uint64_t kMostRequests = 100'000;
  load_report load;
  const auto object = body.find("load");
  if (object == body.end() || !object->is_object()) {
    reader.Fail("load", "an object");
    return load;
  }
  member_reader members(*object);
  load.sequence =
      members.Number("sequence", std::numeric_limits<uint64_t>::max());
  load.running =
      static_cast<uint32_t>(members.Number("running", kMostRequests));
  load.queued = static_cast<uint32_t>(members.Number("queued", kMostRequests));
  load.slots = static_cast<uint32_t>(members.Number("slots", kMostRequests));
  if (!members.problem().empty()) {
    reader.Fail(
        "load." + members.problem().substr(0, members.problem().find(':')),
        members.problem().substr(members.problem().find(':') + 11));
  }
  return load;
}

}  // namespace

result<endpoint_record> ParseAnnouncement(std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  if (!parsed.is_object()) {
    return MakeError(error_kind::kInvalidRequest,
                     "the announcement is no JSON object in UTF-8");
  }
  member_reader reader(parsed);
  endpoint_record record;
  record.id = endpoint_id(reader.Text("id"));
  record.started =
      reader.Number("incarnation", std::numeric_limits<uint64_t>::max());
  record.domain = domain_id(reader.Text("domain"));
  record.address = reader.Text("address");
  if (!IsAddress(record.address)) {
    reader.Fail("address", "IP:port");
  }
  record.services = ReadServices(parsed, reader);
  record.is_runner = reader.Flag("runner");
  record.checks_fencing = reader.Flag("checks_fencing");
  record.remembers_outcomes = reader.Flag("remembers_outcomes");
  record.can_resume = reader.Flag("can_resume");
  record.is_leaving = reader.Flag("leaving");
  record.load = ReadLoad(parsed, reader);
  if (!reader.problem().empty()) {
    return MakeError(error_kind::kInvalidRequest, reader.problem());
  }
  return record;
}

http_reply endpoint_interface::Handle(const http_request& request) const {
  if (request.Header("Authorization").value_or("") != "Bearer " + token_) {
    return MakeErrorReply(
        MakeError(error_kind::kUnauthenticated, "wrong endpoint token"), "");
  }
  if (request.method != "POST" || request.path != "/v1/endpoints/announce") {
    return MakeErrorReply(
        MakeError(error_kind::kNotFound, "no " + request.path + " here"), "");
  }
  const result<endpoint_record> record = ParseAnnouncement(request.body);
  if (!IsOk(record)) {
    return MakeErrorReply(ErrorOf(record), "");
  }
  const status taken = announce_(ValueOf(record));
  if (!IsOk(taken)) {
    return MakeErrorReply(ErrorOf(taken), "");
  }
  return MakeJsonReply(200, "{}\n");
}

}  // namespace shallotport
