#include "fakes/fake_answers.h"

#include <nlohmann/json.hpp>

namespace shallotport {

using nlohmann::json;

std::string FakePromptOf(const json& request) {
  const auto messages = request.find("messages");
  if (messages == request.end() || !messages->is_array()) {
    const auto prompt = request.find("prompt");
    const bool is_text = prompt != request.end() && prompt->is_string();
    return is_text ? prompt->get<std::string>() : std::string();
  }
  std::string text;
  for (const json& message : *messages) {
    if (message.is_object()) {
      text += message.value("role", "user") + ": " +
              message.value("content", "") + "\n";
    }
  }
  return text;
}

json FakeWholeAnswer(const fake_call& call) {
  std::string text;
  for (uint32_t i = call.first_token; i < call.token_count; ++i) {
    text += FakeTokenText(call.shown_prompt, i);
  }
  json choice = {{"index", 0}, {"finish_reason", "length"}};
  if (call.is_chat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}};
  } else {
    choice["text"] = text;
  }
  return {{"id", call.shown_id},
          {"object", call.is_chat ? "chat.completion" : "text_completion"},
          {"choices", json::array({choice})},
          {"usage", {{"completion_tokens", call.token_count}}}};
}

std::string FakeStreamChunk(const fake_call& call, uint32_t token) {
  const std::string text = FakeTokenText(call.shown_prompt, token);
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (call.is_chat) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  const json chunk = {
      {"id", call.shown_id},
      {"object", call.is_chat ? "chat.completion.chunk" : "text_completion"},
      {"choices", json::array({choice})}};
  return "data: " + chunk.dump() + "\n\n";
}

std::string FakeAnnouncement(const endpoint_record& record,
                             std::span<const fake_cache_event> cache_events) {
  json services = json::array();
  for (const service_id& service : record.services) {
    services.push_back(service.text());
  }
  json events = json::array();
  for (const fake_cache_event& event : cache_events) {
    events.push_back({{"sequence", event.sequence},
                      {"prefix", event.prefix_hash},
                      {"stored", event.is_stored}});
  }
  const json body = {{"id", record.id.text()},
                     {"incarnation", record.started},
                     {"domain", record.domain.text()},
                     {"address", record.address},
                     {"services", services},
                     {"runner", record.is_runner},
                     {"checks_fencing", record.checks_fencing},
                     {"remembers_outcomes", record.remembers_outcomes},
                     {"can_resume", record.can_resume},
                     {"leaving", record.is_leaving},
                     {"load",
                      {{"sequence", record.load.sequence},
                       {"running", record.load.running},
                       {"queued", record.load.queued},
                       {"slots", record.load.slots}}},
                     {"cache_events", events}};
  return body.dump();
}

}  // namespace shallotport
