#include "serving/spill_offers.h"

#include <algorithm>

namespace shallotport {

namespace {

uint32_t FreeSlots(const service_summary& summary) {
  const uint32_t used = uint32_t{summary.running} + summary.queued;
  return summary.slots > used ? summary.slots - used : 0;
}

size_t CountContacts(std::span<const spill_contact> contacts,
                     const domain_id& domain) {
  return static_cast<size_t>(std::count_if(
      contacts.begin(), contacts.end(),
      [&](const spill_contact& contact) { return contact.domain == domain; }));
}

// The domain's row for one of its contacts; the first ones get the remainder.
service_offer ShareOf(const service_summary& summary,
                      size_t contact,
                      size_t contacts) {
  service_offer offer;
  offer.service = summary.service;
  offer.endpoints = summary.endpoints;
  offer.free_slots = static_cast<uint32_t>(
      (FreeSlots(summary) + contacts - 1 - contact) / contacts);
  return offer;
}

}  // namespace

std::vector<domain_offer> MakeSpillOffers(
    std::span<const service_summary> summaries,
    std::span<const spill_contact> contacts,
    uint64_t sequence) {
  std::vector<domain_offer> offers;
  for (size_t i = 0; i < contacts.size(); ++i) {
    const spill_contact& contact = contacts[i];
    const size_t before = CountContacts(contacts.first(i), contact.domain);
    const size_t all = CountContacts(contacts, contact.domain);
    domain_offer offer;
    offer.domain = contact.domain;
    offer.host = contact.host;
    offer.sequence = sequence;
    offer.address = contact.caller_address;
    for (const service_summary& summary : summaries) {
      if (summary.domain == contact.domain) {
        offer.services.push_back(ShareOf(summary, before, all));
      }
    }
    offers.push_back(std::move(offer));
  }
  return offers;
}

}  // namespace shallotport
