#include "serving/model_stream.h"

#include <nlohmann/json.hpp>

namespace shallotport {

namespace {

using nlohmann::json;

constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kDoneMarker = "[DONE]";
// A single event larger than this is no token.
constexpr size_t kMaxEventBytes = 1024UL * 1024;

std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Text of the first choice, in either of the two shapes.
std::string TextOf(const json& chunk) {
  const auto choices = chunk.find("choices");
  if (choices == chunk.end() || !choices->is_array() || choices->empty() ||
      !choices->front().is_object()) {
    return {};
  }
  const json& choice = choices->front();
  const auto text = choice.find("text");
  if (text != choice.end() && text->is_string()) {
    return text->get<std::string>();
  }
  const auto delta = choice.find("delta");
  if (delta == choice.end() || !delta->is_object()) {
    return {};
  }
  const auto content = delta->find("content");
  const bool has_content = content != delta->end() && content->is_string();
  return has_content ? content->get<std::string>() : std::string();
}

bool HasId(const json& value, std::string_view id) {
  const auto found = value.find("id");
  return found != value.end() && found->is_string() &&
         found->get_ref<const std::string&>() == id;
}

}  // namespace

std::vector<model_event> model_stream_reader::AddBytes(std::string_view bytes) {
  std::vector<model_event> events;
  rest_.append(bytes);
  size_t start = 0;
  while (!is_ended_) {
    const size_t end = rest_.find('\n', start);
    if (end == std::string::npos) {
      break;
    }
    std::optional<model_event> event =
        ReadLine(std::string_view(rest_).substr(start, end - start));
    start = end + 1;
    if (event) {
      is_ended_ = event->what != model_event::kind::kToken;
      events.push_back(*std::move(event));
    }
  }
  rest_.erase(0, start);
  if (!is_ended_ && rest_.size() > kMaxEventBytes) {
    is_ended_ = true;
    events.push_back({model_event::kind::kMalformed, ""});
  }
  return events;
}

std::optional<model_event> model_stream_reader::ReadLine(
    std::string_view line) {
  if (!line.empty() && line.back() == '\r') {
    line.remove_suffix(1);
  }
  if (!line.starts_with(kDataPrefix)) {
    return std::nullopt;  // Blank lines, comments and other fields.
  }
  line.remove_prefix(kDataPrefix.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  if (line == kDoneMarker) {
    return model_event{model_event::kind::kDone, ""};
  }
  const json chunk = json::parse(line, nullptr, false);
  if (!chunk.is_object()) {
    return model_event{model_event::kind::kMalformed, ""};
  }
  if (!HasId(chunk, attempt_)) {
    return model_event{model_event::kind::kForeign, ""};
  }
  std::string text = TextOf(chunk);
  if (text.empty()) {
    return std::nullopt;  // Role and finish chunks carry no token.
  }
  return model_event{model_event::kind::kToken, std::move(text)};
}

model_stream_writer::model_stream_writer(std::string request,
                                         std::string model,
                                         bool is_chat)
    : request_(std::move(request)),
      model_(std::move(model)),
      is_chat_(is_chat) {}

std::string model_stream_writer::Token(std::string_view text) const {
  json choice = {{"index", 0}, {"finish_reason", nullptr}};
  if (is_chat_) {
    choice["delta"] = {{"content", text}};
  } else {
    choice["text"] = text;
  }
  const json chunk = {
      {"id", request_},
      {"object", is_chat_ ? "chat.completion.chunk" : "text_completion"},
      {"model", model_},
      {"choices", json::array({choice})}};
  return "data: " + Dump(chunk) + "\n\n";
}

std::string model_stream_writer::End() const {
  return "data: [DONE]\n\n";
}

std::string model_stream_writer::Failure(std::string_view error_body) {
  std::string text = "event: error\ndata: ";
  text += error_body.substr(0, error_body.find('\n'));
  text += "\n\n";
  return text;
}

std::optional<std::string> ReplaceAnswerId(std::string_view body,
                                           std::string_view attempt,
                                           std::string_view request) {
  json answer = json::parse(body, nullptr, false);
  if (!answer.is_object() || !HasId(answer, attempt)) {
    return std::nullopt;
  }
  answer["id"] = request;
  return Dump(answer);
}

}  // namespace shallotport
