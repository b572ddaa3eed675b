#ifndef SHALLOTPORT_SHALLOTPORTD_ORDER_JSON_H_
#define SHALLOTPORT_SHALLOTPORTD_ORDER_JSON_H_

#include <nlohmann/json_fwd.hpp>
#include <string_view>

#include "base/result.h"
#include "control/order_messages.h"

namespace shallotport {

// An order as operators and endpoints see it.
nlohmann::json JsonOf(const endpoint_order& order);
nlohmann::json JsonOf(const order_record& record);

// Reads an operator's order; the error says what was expected.
result<endpoint_order> ReadOrder(std::string_view text);

}  // namespace shallotport

#endif  // SHALLOTPORT_SHALLOTPORTD_ORDER_JSON_H_
