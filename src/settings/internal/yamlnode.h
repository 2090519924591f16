/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace saltvane::settings {

/// One node of a parsed YAML document. Line and column count from 0.
struct YamlNode {
    enum class Kind { Null, Scalar, Sequence, Mapping };

    Kind kind = Kind::Null;
    bool isPlain = false; ///< A scalar without quotes or tag.
    int line = 0;
    int column = 0;
    std::string scalar;
    std::vector<YamlNode> items; ///< Of a sequence: its items. Of a mapping: keys and values alternately.
};

/// Parses a text that consists of one YAML document. Returns a Null node if there is no document or more than one.
/// Aliases are rejected, so that a short text cannot expand to a huge tree. Throws YAML::Exception with the location of
/// the first error.
[[nodiscard]] YamlNode parseYaml(std::string_view text);

} // namespace saltvane::settings
