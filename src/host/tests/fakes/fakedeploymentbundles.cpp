/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "host/tests/fakes/fakedeployment.h"

#include "control/icontrolreplica.h"

#include <algorithm>
#include <nlohmann/json.hpp>

/// Operators' requests.
namespace saltvane::host::fakes {

namespace {

constexpr Duration RetryDelay = 100ms;
constexpr Duration OperatorTimeout = 2s;
constexpr Duration OperatorDelay = 5ms;
constexpr int StatusOk = 200;

HttpCall operatorCall(const HostId& host, const std::string& path, std::string json)
{
    return {.host = host,
        .method = "POST",
        .path = path,
        .headers = {{"Content-Type", "application/json"}},
        .body = std::move(json),
        .oneWayDelay = OperatorDelay};
}

} // namespace

bool FakeDeployment::putInForce(const std::string& content, BundleVersion version, Duration limit)
{
    const Timestamp end = time_.now() + limit;
    while (time_.now() < end) {
        if (proposeAndApprove(content, version))
            return true;
        time_.runFor(RetryDelay);
    }
    return false;
}

bool FakeDeployment::proposeAndApprove(const std::string& content, BundleVersion version)
{
    const HostId leader = controlLeader();
    if (leader.isEmpty())
        return false;
    const auto sendOperatorRequest = [&](const std::string& path, std::string json) {
        lastOperatorReply_ = callAndWait(operatorCall(leader, path, std::move(json)), OperatorTimeout);
        return lastOperatorReply_.status == StatusOk;
    };
    return sendOperatorRequest("/v1/control/propose", proposalJson(content, version))
        && sendOperatorRequest("/v1/control/approve", approvalJson(content, version));
}

void FakeDeployment::submit(std::string content, BundleVersion version, std::function<void()> accepted)
{
    const auto retryLater = [this, content, version, accepted] {
        time_.after(RetryDelay, [this, content, version, accepted] { submit(content, version, accepted); });
    };
    const HostId leader = controlLeader();
    if (leader.isEmpty()) {
        retryLater();
        return;
    }
    sendOperatorRequest(operatorCall(leader, "/v1/control/propose", proposalJson(content, version)), retryLater,
        [this, leader, content, version, accepted, retryLater] {
            sendOperatorRequest(
                operatorCall(leader, "/v1/control/approve", approvalJson(content, version)), retryLater, accepted);
        });
}

void FakeDeployment::sendOperatorRequest(HttpCall call, std::function<void()> refused, std::function<void()> accepted)
{
    const FakeHttp::CallId id = http_->send(std::move(call), [this, refused, accepted](const HttpReply& reply) {
        lastOperatorReply_ = reply;
        reply.status == StatusOk ? accepted() : refused();
    });
    time_.after(OperatorTimeout, [this, id, refused] {
        if (http_->abort(id))
            refused();
    });
}

std::string FakeDeployment::proposalJson(const std::string& content, BundleVersion version) const
{
    const OperatorKey& author = options_.plan.operators.at(0);
    const control::ProposeBundle proposal {.content = content, .version = version, .author = author.name};
    return nlohmann::json({{"content", content}, {"version", version.value}, {"author", author.name.value()},
                              {"signature", author.sign(control::proposalText(proposal))}})
        .dump();
}

std::string FakeDeployment::approvalJson(const std::string& content, BundleVersion version) const
{
    const OperatorKey& approver = options_.plan.operators.at(1);
    const control::ApproveBundle approval {
        .version = version, .digest = control::contentDigest(content), .approver = approver.name};
    return nlohmann::json({{"version", version.value}, {"digest", approval.digest}, {"approver", approver.name.value()},
                              {"signature", approver.sign(control::approvalText(approval))}})
        .dump();
}

BundleVersion FakeDeployment::newestVersion()
{
    BundleVersion newest;
    for (const auto& [id, host] : hosts_) {
        if (host->isUp())
            newest = std::max(newest, host->status().inForceVersion);
    }
    return newest;
}

} // namespace saltvane::host::fakes
