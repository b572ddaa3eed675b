#include "order_json.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace shallotport {

namespace {

struct action_row {
  order_action action;
  std::string_view name;
  std::string endpoint_order::*required;  // Besides the model.
};

constexpr std::array kActions{
    action_row{order_action::kLoadModel, "load_model", nullptr},
    action_row{order_action::kLoadAdapter, "load_adapter",
               &endpoint_order::adapter},
    action_row{order_action::kLoadVersion, "load_version",
               &endpoint_order::version},
    action_row{order_action::kSetRole, "set_role", &endpoint_order::role},
};

constexpr std::array<std::string_view, 3> kStatusNames{"queued", "done",
                                                       "failed"};

std::string TextAt(const nlohmann::json& body, const char* key) {
  const auto found = body.find(key);
  return found != body.end() && found->is_string() ? found->get<std::string>()
                                                   : "";
}

error Missing(std::string_view key) {
  return MakeError(error_kind::kInvalidRequest,
                   std::string(key) + ": expected a text");
}

}  // namespace

nlohmann::json JsonOf(const endpoint_order& order) {
  const auto row = std::find_if(
      kActions.begin(), kActions.end(),
      [&](const action_row& entry) { return entry.action == order.action; });
  nlohmann::json body = {{"id", order.id},
                         {"endpoint", order.endpoint.text()},
                         {"kind", std::string(row->name)}};
  if (IsLoad(order.action)) {
    body["model"] = order.model.text();
  }
  for (const auto& [key, value] :
       {std::pair{"adapter", order.adapter},
        std::pair{"version", order.version}, std::pair{"role", order.role}}) {
    if (!value.empty()) {
      body[key] = value;
    }
  }
  return body;
}

nlohmann::json JsonOf(const order_record& record) {
  nlohmann::json body = JsonOf(record.order);
  body["status"] = std::string(kStatusNames.at(static_cast<size_t>(record.at)));
  body["accepted"] = record.accepted;
  body["fencing"] = record.fencing;
  body["detail"] = record.detail;
  return body;
}

result<endpoint_order> ReadOrder(std::string_view text) {
  const nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return MakeError(error_kind::kInvalidRequest, "expected a JSON object");
  }
  const std::string kind = TextAt(body, "kind");
  const auto row =
      std::find_if(kActions.begin(), kActions.end(),
                   [&](const action_row& entry) { return entry.name == kind; });
  if (row == kActions.end()) {
    return MakeError(
        error_kind::kInvalidRequest,
        "kind: expected load_model, load_adapter, load_version or set_role");
  }
  endpoint_order order;
  order.action = row->action;
  order.id = TextAt(body, "id");
  order.endpoint = endpoint_id(TextAt(body, "endpoint"));
  order.model = service_id(TextAt(body, "model"));
  order.adapter = TextAt(body, "adapter");
  order.version = TextAt(body, "version");
  order.role = TextAt(body, "role");
  if (order.id.empty() || order.endpoint.IsEmpty()) {
    return Missing("id and endpoint");
  }
  if (IsLoad(order.action) && order.model.IsEmpty()) {
    return Missing("model");
  }
  if (row->required != nullptr && (order.*(row->required)).empty()) {
    return Missing("adapter, version or role");
  }
  return order;
}

}  // namespace shallotport
