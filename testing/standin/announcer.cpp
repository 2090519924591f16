/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "standin/announcer.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace saltvane::standin {

namespace {

constexpr double TickSeconds = 0.02;
constexpr double RetrySeconds = 0.2;
constexpr double ResponseTimeoutSeconds = 1.0;
constexpr int StatusOk = 200;

} // namespace

Announcer::Announcer(Options options)
    : options_(std::move(options))
{
    for (StandInTarget* target : options_.targets)
        addTarget(target);
}

Announcer::~Announcer() { ev_timer_stop(options_.loop, &timer_); }

Result<std::unique_ptr<Announcer>, IoError> Announcer::start(Options options)
{
    std::unique_ptr<Announcer> announcer(new Announcer(std::move(options)));
    Result<std::unique_ptr<net::ITargetClient>, IoError> client
        = net::makeTargetClient({.loop = announcer->options_.loop,
            .sink = [pointer = announcer.get()](const host::Event& event) { pointer->handle(event); }});
    if (!client)
        return client.error();
    announcer->client_ = std::move(client.value());
    ev_timer_init(&announcer->timer_, onTimer, 0.0, TickSeconds);
    announcer->timer_.data = announcer.get();
    ev_timer_start(announcer->options_.loop, &announcer->timer_);
    return announcer;
}

void Announcer::addTarget(StandInTarget* target)
{
    Entry entry {.target = target};
    const TargetSpec& spec = target->spec();
    RegionName region;
    for (const settings::HostSettings& host : options_.hosts) {
        if (host.zone == spec.zone)
            region = host.region;
    }
    for (const bool isOwnZone : {true, false}) {
        for (const settings::HostSettings& host : options_.hosts) {
            if (host.region == region && (host.zone == spec.zone) == isOwnZone)
                entry.knownHosts.push_back(host.entryAddress);
        }
    }
    for (const settings::AnnounceKey& key : options_.hosts.front().announceKeys) {
        if (key.service == spec.service)
            entry.secret = key.secret;
    }
    if (!entry.knownHosts.empty())
        entry.announceTo = entry.knownHosts.front();
    entries_.push_back(std::move(entry));
}

void Announcer::onTimer(struct ev_loop* /*loop*/, ev_timer* timer, int /*events*/)
{
    static_cast<Announcer*>(timer->data)->tick();
}

void Announcer::tick()
{
    const double now = ev_now(options_.loop);
    for (size_t index = 0; index < entries_.size(); ++index) {
        Entry& entry = entries_[index];
        if (entry.isAwaitingResponse && now - entry.sentAt > ResponseTimeoutSeconds) {
            for (const auto& [dispatch, owner] : exchanges_) {
                if (owner != index)
                    continue;
                client_->execute(requests::TargetCancel {.dispatch = dispatch});
                exchanges_.erase(dispatch);
                break;
            }
            finish(index, false);
        }
        if (!entry.isAwaitingResponse && now >= entry.nextAnnounceAt)
            announce(index);
    }
}

void Announcer::announce(size_t index)
{
    Entry& entry = entries_[index];
    const TargetSpec& spec = entry.target->spec();
    const double now = ev_now(options_.loop);
    nlohmann::json body {{"target", spec.target.value()}, {"incarnation", options_.incarnation},
        {"sequence", ++entry.sequence}, {"service", spec.service.value()}, {"zone", spec.zone.value()},
        {"address", model::toString(spec.address)}, {"slots", spec.slots}, {"connections", spec.connections},
        {"state", entry.target->isLeaving() ? "leaving" : "ready"},
        {"load", {{"busy_slots", entry.target->busySlots()}}}};
    if (!entry.lease.owner.empty()) {
        body["lease"] = {{"owner", entry.lease.owner}, {"incarnation", entry.lease.ownerIncarnation},
            {"sequence", entry.lease.sequence},
            {"age_ms", static_cast<uint64_t>((now - entry.lease.receivedAt) * 1000)}};
    }
    const std::string text = body.dump();
    const requests::DispatchId dispatch {nextDispatch_++};
    entry.isAwaitingResponse = true;
    entry.sentAt = now;
    entry.status = 0;
    entry.response.clear();
    exchanges_[dispatch] = index;
    client_->execute(requests::TargetStart {.dispatch = dispatch,
        .target = spec.target,
        .address = entry.announceTo,
        .method = "POST",
        .path = "/v1/announce",
        .headers = {{"Content-Type", "application/json"}, {"Saltvane-Announce-Key", entry.secret}},
        .bodyLength = text.size(),
        .isRepeatable = true});
    client_->execute(requests::TargetRequestBody {.dispatch = dispatch, .bytes = text, .isLast = true});
}

void Announcer::handle(const host::Event& event)
{
    const auto* target = std::get_if<requests::TargetEvent>(&event);
    if (!target)
        return;
    const requests::DispatchId dispatch = std::visit([](const auto& item) { return item.dispatch; }, *target);
    const auto found = exchanges_.find(dispatch);
    if (found == exchanges_.end())
        return;
    const size_t index = found->second;
    Entry& entry = entries_[index];
    if (const auto* head = std::get_if<requests::TargetResponseHead>(target))
        entry.status = head->status;
    if (const auto* body = std::get_if<requests::TargetResponseBody>(target))
        entry.response += body->bytes;
    const bool isDone = std::holds_alternative<requests::TargetResponseDone>(*target);
    if (!isDone && !std::holds_alternative<requests::TargetFailed>(*target))
        return;
    exchanges_.erase(found);
    finish(index, isDone && entry.status == StatusOk);
}

void Announcer::finish(size_t index, bool isSuccessful)
{
    Entry& entry = entries_[index];
    entry.isAwaitingResponse = false;
    if (isSuccessful)
        return applyResponse(entry);
    entry.nextAnnounceAt = ev_now(options_.loop) + RetrySeconds;
    if (entry.knownHosts.empty())
        return;
    entry.nextKnownHost = (entry.nextKnownHost + 1) % entry.knownHosts.size();
    entry.announceTo = entry.knownHosts[entry.nextKnownHost];
}

void Announcer::applyResponse(Entry& entry)
{
    const nlohmann::json response = nlohmann::json::parse(entry.response, nullptr, false);
    if (!response.is_object())
        return;
    const auto owner = response.find("owner");
    if (owner != response.end() && owner->is_object()) {
        entry.lease.owner = owner->value("host", std::string());
        entry.lease.ownerIncarnation = owner->value("incarnation", uint64_t {0});
        entry.lease.sequence = entry.sequence;
        entry.lease.receivedAt = ev_now(options_.loop);
    }
    const auto announceTo = response.find("announce_to");
    if (announceTo != response.end() && announceTo->is_object())
        entry.announceTo = model::parseAddress(announceTo->value("address", std::string())).value_or(model::Address {});
    entry.nextAnnounceAt = ev_now(options_.loop) + response.value("announce_after_ms", 500.0) / 1000.0;
}

} // namespace saltvane::standin
