/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "control/internal/commandcodec.h"

#include "control/internal/cbordocument.h"
#include "control/internal/contentcodec.h"
#include "control/internal/fieldreader.h"
#include "control/internal/replicacodec.h"

#include <array>
#include <utility>

namespace saltvane::control {

namespace {

using Json = nlohmann::json;
using Decoded = Result<Command, CodecError>;

Json toJson(const ProposeBundle& command)
{
    return {{"kind", "propose"}, {"content", command.content}, {"version", command.version.value},
        {"author", command.author.value()}, {"signature", command.signature},
        {"proposedAtUnixMs", command.proposedAtUnixMs}};
}

Json toJson(const ApproveBundle& command)
{
    return {{"kind", "approve"}, {"version", command.version.value}, {"digest", command.digest},
        {"approver", command.approver.value()}, {"signature", command.signature}};
}

Json toJson(const RevertBundle& command)
{
    return {{"kind", "revert"}, {"to", command.to.value}, {"version", command.version.value},
        {"author", command.author.value()}, {"signature", command.signature}};
}

Json toJson(const ClaimKey& command)
{
    return {{"kind", "claim"}, {"service", command.service.value()}, {"key", command.key},
        {"fingerprint", command.fingerprint}, {"holder", command.holder.value()},
        {"holderIncarnation", command.holderIncarnation.value}, {"claim", command.claim},
        {"expiresAtUnixMs", command.expiresAtUnixMs}, {"nowUnixMs", command.nowUnixMs}};
}

Json toJson(const ChangeReplicas& command)
{
    return {{"kind", "replicas"}, {"replicas", replicasToJson(command.replicas)}};
}

/// Larger plans are compressed. The leader's heartbeats queue behind an entry on the links to its followers: 824 kB
/// with a window of 64 KiB and a round trip of 70 ms took 0.9 s, twice the election timeout, so that the leader
/// lost its quorum and such a plan was never committed. Compressed it takes 0.1 s.
constexpr size_t MaxUncompressedContentBytes = 32 * 1024;
/// Above the limit for bundles and plans (3.5 MiB).
constexpr size_t MaxContentBytes = 4 * 1024 * 1024;

Json toJson(const ReplacePlan& command)
{
    Json json {{"kind", "plan"}, {"base", command.base.value}, {"version", command.version.value}};
    if (command.content.size() <= MaxUncompressedContentBytes) {
        json["content"] = command.content;
    } else {
        const std::string compressed = compressContent(command.content, {});
        json["compressed"] = Json::binary({compressed.begin(), compressed.end()});
    }
    return json;
}

Json toJson(const SetEvacuation& command)
{
    return {{"kind", "evacuation"}, {"zone", command.zone.value()}, {"isEvacuated", command.isEvacuated}};
}

Json toJson(const RetireTarget& command)
{
    return {{"kind", "retire"}, {"target", command.target.value()}, {"incarnation", command.incarnation.value}};
}

Json versionsToJson(const std::vector<model::TargetVersion>& versions)
{
    Json list = Json::array();
    for (const model::TargetVersion& version : versions)
        list.push_back(version.value());
    return list;
}

Json toJson(const StartRollout& command)
{
    return {{"kind", "rollout"}, {"service", command.service.value()}, {"version", command.version.value()},
        {"limitMs", std::chrono::round<std::chrono::milliseconds>(command.timeLimit).count()}};
}

Json toJson(const AdvanceRollout& command)
{
    return {{"kind", "rolloutPhase"}, {"service", command.service.value()}, {"version", command.version.value()},
        {"phase", static_cast<uint64_t>(command.phase)}, {"others", versionsToJson(command.otherVersions)}};
}

Json toJson(const NoOperation& /*command*/) { return {{"kind", "none"}}; }

Decoded finish(const FieldReader& reader, Command command)
{
    if (!reader.isOk())
        return CodecError {"command with a field that is missing, unknown or of another type"};
    return command;
}

Decoded decodePropose(const Json& json)
{
    ProposeBundle command;
    FieldReader reader(json, 6);
    reader.read("content", command.content).read("version", command.version).read("author", command.author);
    reader.read("signature", command.signature).read("proposedAtUnixMs", command.proposedAtUnixMs);
    return finish(reader, std::move(command));
}

Decoded decodeApprove(const Json& json)
{
    ApproveBundle command;
    FieldReader reader(json, 5);
    reader.read("version", command.version).read("digest", command.digest);
    reader.read("approver", command.approver).read("signature", command.signature);
    return finish(reader, std::move(command));
}

Decoded decodeRevert(const Json& json)
{
    RevertBundle command;
    FieldReader reader(json, 5);
    reader.read("to", command.to).read("version", command.version);
    reader.read("author", command.author).read("signature", command.signature);
    return finish(reader, std::move(command));
}

Decoded decodeClaim(const Json& json)
{
    ClaimKey command;
    FieldReader reader(json, 9);
    reader.read("service", command.service).read("key", command.key).read("fingerprint", command.fingerprint);
    reader.read("holder", command.holder).read("holderIncarnation", command.holderIncarnation);
    reader.read("claim", command.claim).read("expiresAtUnixMs", command.expiresAtUnixMs);
    reader.read("nowUnixMs", command.nowUnixMs);
    return finish(reader, std::move(command));
}

Decoded decodeReplicas(const Json& json)
{
    FieldReader reader(json, 2);
    std::optional<std::vector<ReplicaInfo>> replicas = replicasFromJson(reader.array("replicas"));
    if (!replicas)
        return CodecError {"replicas with a field that is missing or of another type"};
    return finish(reader, ChangeReplicas {*std::move(replicas)});
}

Decoded decodePlan(const Json& json)
{
    ReplacePlan command;
    FieldReader reader(json, 4);
    reader.read("base", command.base).read("version", command.version);
    if (!json.contains("compressed")) {
        reader.read("content", command.content);
        return finish(reader, std::move(command));
    }
    std::optional<std::string> content = decompressContent(reader.binary("compressed"), {}, MaxContentBytes);
    if (!content)
        return CodecError {"plan that can't be decompressed"};
    command.content = *std::move(content);
    return finish(reader, std::move(command));
}

Decoded decodeEvacuation(const Json& json)
{
    SetEvacuation command;
    FieldReader reader(json, 3);
    reader.read("zone", command.zone).read("isEvacuated", command.isEvacuated);
    return finish(reader, std::move(command));
}

Decoded decodeRetire(const Json& json)
{
    RetireTarget command;
    // Entries of earlier software versions do not contain the incarnation.
    const bool isStartTold = json.contains("incarnation");
    FieldReader reader(json, isStartTold ? 3 : 2);
    reader.read("target", command.target);
    if (isStartTold)
        reader.read("incarnation", command.incarnation);
    return finish(reader, std::move(command));
}

Decoded decodeStartRollout(const Json& json)
{
    StartRollout command;
    int64_t milliseconds = 0;
    FieldReader reader(json, 4);
    reader.read("service", command.service).read("version", command.version).read("limitMs", milliseconds);
    command.timeLimit = std::chrono::milliseconds(milliseconds);
    return finish(reader, std::move(command));
}

Decoded decodeAdvanceRollout(const Json& json)
{
    AdvanceRollout command;
    uint64_t phase = 0;
    FieldReader reader(json, 5);
    reader.read("service", command.service).read("version", command.version).read("phase", phase);
    for (const Json& version : reader.array("others")) {
        if (!version.is_string())
            return CodecError {"version that is not a text"};
        command.otherVersions.emplace_back(version.get<std::string>());
    }
    if (phase > static_cast<uint64_t>(model::RolloutPhase::RolledBack))
        return CodecError {"unknown phase of a rollout"};
    command.phase = static_cast<model::RolloutPhase>(phase);
    return finish(reader, std::move(command));
}

Decoded decodeNone(const Json& json) { return finish(FieldReader(json, 1), NoOperation {}); }

struct Decoder {
    std::string_view kind;
    Decoded (*decode)(const Json&);
};
constexpr std::array Decoders {
    Decoder {"propose", &decodePropose},
    Decoder {"approve", &decodeApprove},
    Decoder {"revert", &decodeRevert},
    Decoder {"claim", &decodeClaim},
    Decoder {"replicas", &decodeReplicas},
    Decoder {"plan", &decodePlan},
    Decoder {"evacuation", &decodeEvacuation},
    Decoder {"retire", &decodeRetire},
    Decoder {"rollout", &decodeStartRollout},
    Decoder {"rolloutPhase", &decodeAdvanceRollout},
    Decoder {"none", &decodeNone},
};

} // namespace

std::string encodeCommand(const Command& command)
{
    return encodeCbor(std::visit([](const auto& kind) { return toJson(kind); }, command));
}

std::optional<ChangeReplicas> decodeReplicaChange(std::string_view payload)
{
    const std::optional<Json> json = decodeCbor(payload);
    if (!json || !json->is_object() || json->value("kind", Json()) != "replicas")
        return std::nullopt;
    Decoded command = decodeReplicas(*json);
    if (!command)
        return std::nullopt;
    return std::get<ChangeReplicas>(std::move(command.value()));
}

Result<Command, CodecError> decodeCommand(std::string_view payload)
{
    const std::optional<Json> json = decodeCbor(payload);
    if (!json || !json->is_object())
        return CodecError {"not a CBOR object"};
    const auto kind = json->find("kind");
    if (kind == json->end() || !kind->is_string())
        return CodecError {"command without its kind"};
    for (const Decoder& decoder : Decoders) {
        if (decoder.kind == kind->get_ref<const std::string&>())
            return decoder.decode(*json);
    }
    return CodecError {"command of an unknown kind"};
}

} // namespace saltvane::control
