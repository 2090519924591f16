/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include "gatewayfixture.h"

#include <algorithm>

namespace saltvane::gateway::test {

/// A gateway whose targets say how much they take.
class BackpressureTest : public GatewayFixture {
protected:
    /// One request, answered with these headers.
    void serve(const std::vector<model::Header>& headers)
    {
        request({});
        answerCreditAsks({.credits = 1});
        for (const requests::TargetStart& start : takeStarts())
            answer(start, {.more = headers});
        (void)takeResponse();
    }
    /// The registry answers all asks for credits so; returns how many there were.
    size_t answerCreditAsks(const model::LimitCreditAnswer& given)
    {
        const std::vector<model::LimitCreditAsk> asks = takeCreditAsks();
        for (const model::LimitCreditAsk& ask : asks) {
            model::LimitCreditAnswer answer = given;
            answer.ask = ask.ask;
            deliver(model::LimitCreditReply {.answers = {answer}});
        }
        return asks.size();
    }
    /// Both targets of "quotes" are known, and the one that the usual request goes to names a limit. Returns it.
    TargetId limitFirst(const std::string& limit = "2.1")
    {
        installPlan(1);
        reportTargets({target("t-1"), target("t-2")});
        request({});
        const std::vector<requests::TargetStart> starts = takeStarts();
        if (starts.size() != 1)
            return {};
        answer(starts[0], {.more = {{"Saltvane-Limit", limit}}});
        (void)takeResponse();
        return starts[0].target;
    }
    [[nodiscard]] bool isLogged(const std::string& text)
    {
        const std::vector<std::string> lines = takeLines();
        return std::ranges::any_of(
            lines, [&](const std::string& line) { return line.find(text) != std::string::npos; });
    }
};

} // namespace saltvane::gateway::test
