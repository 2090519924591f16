/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/internal/announceapi.h"

#include "host/internal/fieldreader.h"
#include "host/internal/milliseconds.h"

#include <algorithm>
#include <limits>
#include <sodium.h>

namespace saltvane::host {

namespace {

constexpr std::string_view AnnounceKeyHeader = "Saltvane-Announce-Key";
constexpr size_t MaxNameBytes = 128;
constexpr uint64_t MaxInteger = std::numeric_limits<int64_t>::max();
constexpr uint64_t MaxSlots = 10000;
constexpr uint64_t MaxConnections = 1000000;
/// Generous, so that the announcement of a target that was cut off for months is still accepted.
constexpr uint64_t MaxLeaseAgeMs = 10ull * 365 * 24 * 3600 * 1000;

void readLoad(FieldReader& reader, membership::Announcement& announcement)
{
    // Other members of the load are allowed and ignored; targets may define their own.
    if (std::optional<FieldReader> load = reader.object("load"))
        announcement.busySlots = static_cast<uint32_t>(load->number("busy_slots", 0, MaxConnections));
}

void readLease(FieldReader& reader, membership::Announcement& announcement)
{
    std::optional<FieldReader> lease = reader.object("lease");
    if (!lease)
        return;
    announcement.leaseOwner = HostId(lease->text("owner", MaxNameBytes));
    announcement.leaseOwnerIncarnation = {lease->number("incarnation", 0, MaxInteger)};
    announcement.leaseSequence = lease->number("sequence", 0, MaxInteger);
    announcement.leaseAge = std::chrono::milliseconds(lease->number("age_ms", 0, MaxLeaseAgeMs));
    lease->rejectUnknown();
}

membership::Announcement readAnnouncement(FieldReader& reader)
{
    const std::vector<std::string_view> states {"ready", "leaving"};
    membership::Announcement announcement;
    announcement.target = TargetId(reader.text("target", MaxNameBytes));
    announcement.incarnation = {reader.number("incarnation", 0, MaxInteger)};
    announcement.sequence = reader.number("sequence", 0, MaxInteger);
    announcement.service = ServiceName(reader.text("service", MaxNameBytes));
    announcement.zone = ZoneName(reader.text("zone", MaxNameBytes));
    announcement.address = reader.address("address");
    announcement.slots = static_cast<uint32_t>(reader.number("slots", 1, MaxSlots));
    announcement.connections = static_cast<uint32_t>(reader.number("connections", 1, MaxConnections));
    const bool isLeaving = reader.choice("state", states) == 1;
    announcement.state = isLeaving ? membership::TargetState::Leaving : membership::TargetState::Ready;
    readLoad(reader, announcement);
    readLease(reader, announcement);
    reader.rejectUnknown();
    return announcement;
}

nlohmann::ordered_json toJson(const membership::AnnouncementAnswer& answer)
{
    nlohmann::ordered_json owner;
    if (!answer.owner.isEmpty())
        owner = {{"host", answer.owner.value()}, {"incarnation", answer.ownerIncarnation.value}};
    nlohmann::ordered_json announceTo;
    if (!answer.announceTo.isEmpty())
        announceTo = {{"host", answer.announceTo.value()}, {"address", model::toString(answer.announceToAddress)}};
    return {{"owner", owner}, {"is_owner", answer.isOwner}, {"lease_ms", toMilliseconds(answer.lease)},
        {"announce_after_ms", toMilliseconds(answer.announceAfter)}, {"announce_to", announceTo}};
}

bool isSameSecret(std::string_view first, std::string_view second)
{
    return first.size() == second.size() && sodium_memcmp(first.data(), second.data(), first.size()) == 0;
}

} // namespace

AnnounceApi::AnnounceApi(HostModules& modules, TargetSync& targets)
    : modules_(modules)
    , targets_(targets)
{
}

ApiResponse AnnounceApi::answer(const ApiRequest& request, Timestamp now)
{
    Findings findings;
    const std::optional<nlohmann::json> body = parseObject(request.body, findings);
    if (!body)
        return refuse(makeError(400, "bad-request", findings.items()));
    FieldReader reader(*body, findings);
    const membership::Announcement announcement = readAnnouncement(reader);
    if (!findings.isEmpty())
        return refuse(makeError(400, "bad-request", findings.items()));
    if (std::optional<ApiResponse> error = checkKey(request, announcement.service))
        return refuse(std::move(*error));
    if (modules_.ownRecord.state == model::HostState::Joining || !modules_.deployment)
        return refuse(makeError(503, "not-ready"));
    if (std::optional<ApiResponse> error = checkNames(announcement))
        return refuse(std::move(*error));
    modules_.counters.add(model::Counter::Announcements);
    targets_.reportUse();
    const membership::AnnouncementAnswer answer = modules_.directory->announce(announcement, now);
    if (targets_.applyChanges(now))
        modules_.owner->serveQueues(now);
    return makeResponse(200, toJson(answer));
}

std::optional<ApiResponse> AnnounceApi::checkKey(const ApiRequest& request, const ServiceName& service) const
{
    const std::optional<std::string_view> key = request.header(AnnounceKeyHeader);
    if (!key)
        return makeError(401, "missing-key", AnnounceKeyHeader);
    const std::vector<settings::AnnounceKey>& keys = modules_.options.settings.announceKeys;
    const bool isValidKey = std::any_of(keys.begin(), keys.end(), [&](const settings::AnnounceKey& candidate) {
        return candidate.service == service && isSameSecret(candidate.secret, *key);
    });
    if (!isValidKey)
        return makeError(403, "wrong-key", AnnounceKeyHeader);
    return std::nullopt;
}

std::optional<ApiResponse> AnnounceApi::checkNames(const membership::Announcement& announcement) const
{
    Findings findings;
    if (!modules_.deployment->findService(announcement.service))
        findings.add({.field = "service", .message = "is not in the bundle in force"});
    if (!modules_.deployment->findZone(announcement.zone))
        findings.add({.field = "zone", .message = "is not in the bundle in force"});
    if (findings.isEmpty())
        return std::nullopt;
    return makeError(422, "unknown-name", findings.items());
}

ApiResponse AnnounceApi::refuse(ApiResponse response)
{
    modules_.counters.add(model::Counter::AnnouncementsRefused);
    return response;
}

} // namespace saltvane::host
