/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "requests/ientryrequests.h"
#include "requests/tests/fakecreditstore.h"
#include "requests/tests/fakehostliveness.h"
#include "requests/tests/fakeretrybudget.h"
#include "requests/tests/fakesteering.h"

#include <gtest/gtest.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace saltvane::requests {

inline const HostId SelfHost("uio-1");
inline const HostId LocalOwner("uio-1"); ///< Owner on this host.
inline const HostId RemoteOwner("gye-1");
inline const HostId OtherEntry("gye-2");
inline const HostId ControlLeader("uio-9");
inline constexpr Incarnation SelfIncarnation {7};
inline constexpr Incarnation OtherIncarnation {5};
inline const ServiceName Settlebox("settlebox");

/// Runs the entry side against fakes; sorts the actions of each step by kind.
class EntryFixture : public testing::Test {
protected:
    EntryFixture();

    struct Call {
        std::string method = "GET";
        std::string path = "/nav";
        std::string key;
        std::string body;
        std::vector<model::Header> headers;
    };

    static model::DeploymentPtr makeDeployment();
    void build(EntryRequestsOptions options);
    /// Starts a request and delivers its whole body.
    HttpHandle call(const Call& request);
    /// Starts a non-repeatable request with this key.
    HttpHandle post(const std::string& key, const std::string& body = "amount=1");
    std::string ownKey(const std::string& suffix = "1") { return tokenIssuer_->issue(Settlebox, now_) + "." + suffix; }
    /// A key with a token that another host issued.
    std::string foreignKey(const HostId& host = OtherEntry, Incarnation incarnation = OtherIncarnation);

    void handleHttp(HttpEvent event);
    void deliver(const HostId& from, model::Message message, Incarnation incarnation = OtherIncarnation);
    void advanceTime(Duration time);
    void collect();

    /// Delivers a complete response of the owner.
    void sendResponse(
        const model::ForwardRequest& forward, const std::string& body = "ok", const HostId& from = LocalOwner);
    void completeForward(const model::ForwardRequest& forward, model::Outcome outcome, model::Reason reason,
        const HostId& from = LocalOwner);
    void replyToClaim(const model::ClaimRequest& claim, model::ClaimResult result, const HostId& holder = SelfHost,
        Incarnation incarnation = SelfIncarnation);

    /// The response to the handle; fails the test if there is none.
    const HttpRespond& response(HttpHandle handle);
    [[nodiscard]] bool hasResponse(HttpHandle handle) const { return responses_.contains(handle); }
    void expectRefusal(HttpHandle handle, model::Outcome outcome, model::Reason reason, int status);
    static std::string headerOf(const std::vector<model::Header>& headers, std::string_view name);
    template <typename Sent> std::vector<Sent> sent() const
    {
        std::vector<Sent> found;
        for (const model::OutgoingMessage& outgoing : outgoing_) {
            if (const auto* message = std::get_if<Sent>(&outgoing.message))
                found.push_back(*message);
        }
        return found;
    }

    Timestamp now_ {1h};
    model::Counters counters_;
    FakeSteering steering_;
    FakeCreditStore creditStore_;
    FakeHostLiveness hostLiveness_;
    FakeRetryBudget budget_;
    std::unique_ptr<ITokenIssuer> tokenIssuer_;
    std::unique_ptr<IEntryRequests> entry_;
    uint64_t lastHandle_ = 0;

    std::map<HttpHandle, HttpRespond> responses_;
    std::map<HttpHandle, std::string> bodies_;
    std::vector<HttpHandle> aborted_;
    std::vector<HttpHandle> finished_;
    std::vector<HttpRequestWindow> windows_;
    std::vector<model::OutgoingMessage> outgoing_;
    std::vector<AccessRecord> records_;
};

} // namespace saltvane::requests
