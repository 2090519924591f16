/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "registry/internal/targetreports.h"

#include "model/textchecks.h"
#include "registry/internal/bodyreader.h"

#include <limits>
#include <string>

namespace saltvane::registry {

namespace {

constexpr uint32_t MaxSlots = 100'000;
constexpr double MaxSlowStartMs = 24.0 * 3600 * 1000;

void checkTarget(const TargetId& target, BodyReader& reader)
{
    if (!model::isName(target.value()))
        reader.add("target", std::string(model::NameRule));
}

} // namespace

Result<model::TargetRecord, Findings> readTargetHeartbeat(const TargetId& target, std::string_view body)
{
    BodyReader reader("heartbeat", body);
    if (!reader.findings().isEmpty())
        return reader.findings();
    checkTarget(target, reader);
    const model::TargetRecord record {.target = target,
        .incarnation = reader.incarnation("started_ms"),
        .service = ServiceName(reader.name("service")),
        .version = model::TargetVersion(reader.version("version")),
        .address = reader.address("address"),
        .zone = ZoneName(reader.name("zone")),
        .slots = static_cast<uint32_t>(reader.number("slots", 1, MaxSlots)),
        .isLeaving = reader.isLeaving("state"),
        .slowStartLeft = reader.milliseconds("slow_start_left_ms", MaxSlowStartMs),
        .sequence = reader.number("sequence", 0, std::numeric_limits<uint64_t>::max())};
    if (!reader.findings().isEmpty())
        return reader.findings();
    return record;
}

Result<Incarnation, Findings> readTargetLeave(const TargetId& target, std::string_view body)
{
    BodyReader reader("leave", body.empty() ? "{}" : body);
    if (!reader.findings().isEmpty())
        return reader.findings();
    checkTarget(target, reader);
    const Incarnation incarnation = reader.incarnation("started_ms");
    if (!reader.findings().isEmpty())
        return reader.findings();
    return incarnation;
}

} // namespace saltvane::registry
