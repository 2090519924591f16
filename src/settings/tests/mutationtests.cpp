/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/hostsettings.h"
#include "settings/tests/sampletexts.h"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <gtest/gtest.h>

namespace saltvane::settings {
namespace {

constexpr uint32_t Seed = 20260714;
constexpr int RoundsPerText = 4000;
constexpr std::string_view Replacements = "\n \t:-,[]{}#&*!|>'\"%@`?~0a\x01\x7f\xff\xc3.";

/// Corrupts texts as editing mistakes and incomplete copies do.
class Mutator {
public:
    std::string mutate(std::string text)
    {
        const size_t steps = draw(1, 6);
        for (size_t i = 0; i < steps && !text.empty(); ++i)
            mutateOnce(text);
        return text;
    }

private:
    size_t draw(size_t minimum, size_t maximum)
    {
        return boost::random::uniform_int_distribution<size_t>(minimum, maximum)(random_);
    }

    void mutateOnce(std::string& text)
    {
        const size_t at = draw(0, text.size() - 1);
        const size_t count = draw(1, std::min<size_t>(20, text.size() - at));
        switch (draw(0, 4)) {
        case 0:
            text[at] = Replacements[draw(0, Replacements.size() - 1)];
            break;
        case 1:
            text.erase(at, count);
            break;
        case 2:
            text.insert(at, text.substr(draw(0, text.size() - 1), count));
            break;
        case 3:
            text.insert(at, draw(1, 300), Replacements[draw(0, Replacements.size() - 1)]);
            break;
        default:
            text.resize(at);
        }
    }

    boost::random::mt19937 random_ {Seed};
};

/// Whether the result is a value, or findings that all have a location and a message.
template <typename Parsed> bool isValueOrLocatedFindings(const Parsed& result)
{
    if (result)
        return true;
    for (const Finding& finding : result.error().items()) {
        if (finding.location.source != "damaged.yaml" || finding.location.line < 1 || finding.message.empty())
            return false;
    }
    return !result.error().isEmpty();
}

TEST(MutationTest, CorruptedTextsAreParsedOrRejectedWithLocations)
{
    Mutator mutator;
    int refused = 0;
    for (const char* original : {ValidHost, ValidBundle}) {
        for (int round = 0; round < RoundsPerText; ++round) {
            const std::string text = mutator.mutate(original);
            const auto settings = parseHostSettings(text, "damaged.yaml");
            const auto bundle = parseBundle(text, "damaged.yaml");
            ASSERT_TRUE(isValueOrLocatedFindings(settings)) << text;
            ASSERT_TRUE(isValueOrLocatedFindings(bundle)) << text;
            refused += settings || bundle ? 0 : 1;
        }
    }
    EXPECT_GT(refused, RoundsPerText);
}

} // namespace
} // namespace saltvane::settings
