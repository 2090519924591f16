/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/faketarget.h"

#include <nlohmann/json.hpp>

/// Announcements of a FakeTarget.
namespace saltvane::host::fakes {

namespace {

constexpr Duration RetryDelay = 200ms;

} // namespace

void FakeTarget::start()
{
    isUp_ = true;
    scheduleAnnouncement({});
}

void FakeTarget::scheduleAnnouncement(Duration delay)
{
    environment_.time->after(delay, [this, generation = generation_] {
        if (isUp_ && generation == generation_)
            announce();
    });
}

void FakeTarget::announce()
{
    if (areAnnouncementsBlocked_) {
        scheduleAnnouncement(RetryDelay);
        return;
    }
    const uint64_t sequence = ++sequence_;
    const HostId host = announcementHost();
    HttpCall call {.host = host,
        .method = "POST",
        .path = "/v1/announce",
        .headers = {{"Saltvane-Announce-Key", options_.announceKey}, {"Content-Type", "application/json"}},
        .body = announcementBody(sequence),
        .oneWayDelay = environment_.delay(host, options_.zone),
        .origin = options_.zone};
    environment_.http->send(std::move(call), [this, sequence, generation = generation_](const HttpReply& reply) {
        if (isUp_ && generation == generation_)
            handleAnnounceReply(sequence, reply);
    });
}

void FakeTarget::handleAnnounceReply(uint64_t sequence, const HttpReply& reply)
{
    if (sequence != sequence_)
        return;
    if (!reply.isComplete || reply.status != 200) {
        announceTo_ = {};
        ++nextInitialHost_;
        scheduleAnnouncement(RetryDelay);
        return;
    }
    const nlohmann::json response = nlohmann::json::parse(reply.body);
    if (!response["owner"].is_null())
        lease_ = {.owner = HostId(response["owner"]["host"].get<std::string>()),
            .incarnation = {response["owner"]["incarnation"].get<uint64_t>()},
            .sequence = sequence,
            .receivedAt = environment_.time->now()};
    if (!response["announce_to"].is_null())
        announceTo_ = HostId(response["announce_to"]["host"].get<std::string>());
    scheduleAnnouncement(std::chrono::milliseconds(response["announce_after_ms"].get<int64_t>()));
}

std::string FakeTarget::announcementBody(uint64_t sequence) const
{
    nlohmann::json body {{"target", options_.target.value()}, {"incarnation", options_.incarnation.value},
        {"sequence", sequence}, {"service", options_.service.value()}, {"zone", options_.zone.value()},
        {"address", model::toString(options_.address)}, {"slots", options_.slots},
        {"connections", options_.connections}, {"state", isLeaving_ ? "leaving" : "ready"},
        {"load", {{"busy_slots", reportedBusy_.value_or(running_)}}}};
    if (!lease_.owner.isEmpty()) {
        const Duration age = environment_.time->now() - lease_.receivedAt;
        body["lease"] = {{"owner", lease_.owner.value()}, {"incarnation", lease_.incarnation.value},
            {"sequence", lease_.sequence},
            {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}};
    }
    return body.dump();
}

HostId FakeTarget::announcementHost()
{
    if (announceTo_.isEmpty())
        announceTo_ = options_.initialHosts[nextInitialHost_ % options_.initialHosts.size()];
    return announceTo_;
}

} // namespace saltvane::host::fakes
