#ifndef SHALLOTPORT_FAKES_FAKE_ANSWERS_H_
#define SHALLOTPORT_FAKES_FAKE_ANSWERS_H_

#include <nlohmann/json_fwd.hpp>
#include <span>
#include <string>

#include "fakes/fake_call.h"
#include "fakes/fake_engine.h"
#include "membership/endpoint_record.h"

namespace shallotport {

// The text that a completion or chat request asks to be continued.
std::string FakePromptOf(const nlohmann::json& request);

// The whole JSON answer to a call.
nlohmann::json FakeWholeAnswer(const fake_call& call);

// One server-sent event with the given token.
std::string FakeStreamChunk(const fake_call& call, uint32_t token);

// The body of the announcement.
std::string FakeAnnouncement(const endpoint_record& record,
                             std::span<const fake_cache_event> cache_events);

}  // namespace shallotport

#endif  // SHALLOTPORT_FAKES_FAKE_ANSWERS_H_
