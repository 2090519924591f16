/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gatewayfixture.h"

#include <algorithm>

namespace saltvane::gateway::test {

/// A gateway whose targets signal back-pressure.
class BackpressureTest : public GatewayFixture {
protected:
    /// Sends one request and answers it with these headers.
    void serve(const std::vector<model::Header>& headers)
    {
        request({});
        answerCreditRequests({.credits = 1});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.extraHeaders = headers});
        (void)takeResponse();
    }
    /// Answers all pending credit requests with `given`; returns their number.
    size_t answerCreditRequests(const model::LimitCreditAnswer& given)
    {
        const std::vector<model::LimitCreditAsk> creditRequests = takeCreditRequests();
        for (const model::LimitCreditAsk& request : creditRequests) {
            model::LimitCreditAnswer answer = given;
            answer.ask = request.ask;
            deliver(model::LimitCreditReply {.answers = {answer}});
        }
        return creditRequests.size();
    }
    /// Reports two targets of "quotes"; the one selected for the default request states a limit. Returns that target.
    TargetId serveWithLimit(const std::string& limit = "2.1")
    {
        installPlan(1);
        reportTargets({target("t-1"), target("t-2")});
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        if (starts.size() != 1)
            return {};
        answer(starts[0], {.extraHeaders = {{"Saltvane-Limit", limit}}});
        (void)takeResponse();
        return starts[0].target;
    }
    [[nodiscard]] bool isLogged(const std::string& text)
    {
        const std::vector<std::string> lines = drainLogLines();
        return std::ranges::any_of(
            lines, [&](const std::string& line) { return line.find(text) != std::string::npos; });
    }
};

} // namespace saltvane::gateway::test
