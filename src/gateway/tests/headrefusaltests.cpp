/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "gatewayfixture.h"

namespace saltvane::gateway::test {

namespace {

constexpr const char* Accounts = R"([{"name":"south-only","keys":["key-s"],"permitted_regions":["south"]}])";

class HeadRefusalTest : public GatewayFixture {
protected:
    static CallerRequest upload()
    {
        return {.method = "POST",
            .path = "/write/1",
            .bodyLength = 1024 * 1024,
            .extraHeaders = {{.name = "Saltvane-Client-Key", .value = "key-s"}}};
    }
    void expectRefusedAtHead(const CallerRequest& caller)
    {
        sendRequestHead(caller);
        const auto response = takeResponse();
        ASSERT_TRUE(response);
        EXPECT_EQ(response->status, 503);
        EXPECT_EQ(header(response->headers, "Saltvane-Reason"), "no-target");
        EXPECT_GE(std::stod(header(response->headers, "Retry-After")), 0.3);
        // While the body is arriving, a close may reset the connection before the refusal is read.
        EXPECT_EQ(header(response->headers, "Connection"), "");
    }
};

} // namespace

// Guards against bodies that are received, and held in memory, for requests that can't be run.
TEST_F(HeadRefusalTest, ServiceWithoutTargetsIsRefusedBeforeTheBody)
{
    installPlan(1);
    expectRefusedAtHead(upload());
    CallerRequest chunked = upload();
    chunked.isChunked = true;
    expectRefusedAtHead(chunked);
}

// Guards against the same for requests whose targets are all in regions that their accounts don't permit.
TEST_F(HeadRefusalTest, AccountWithoutTargetsInItsRegionsIsRefusedBeforeTheBody)
{
    installPlan(1, {}, Accounts);
    reportTargets({target("t-1", "quotes", "north-a")});
    expectRefusedAtHead(upload());
    reportTargets({target("t-2", "quotes", "south-a")});
    const requests::HttpHandle handle = sendRequestHead(upload());
    EXPECT_FALSE(takeResponse());
    sendRequestBody(handle, "pay");
    EXPECT_EQ(takeStarts().size(), 1U);
}

// Guards against the same after the last target has left.
TEST_F(HeadRefusalTest, ServiceWhoseTargetsLeftIsRefusedBeforeTheBody)
{
    installPlan(1, {}, Accounts);
    model::TargetRecord record = target("t-2", "quotes", "south-a");
    reportTargets({record});
    ++record.sequence;
    record.isLeaving = true;
    reportTargets({record});
    expectRefusedAtHead(upload());
}

} // namespace saltvane::gateway::test
