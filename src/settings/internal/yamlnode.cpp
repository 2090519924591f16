/*
 * SPDX-License-Identifier: Apache-2.0
 * saltvane: global traffic steering
 * Copyright (c) 2026 the saltvane authors
 */
#include "settings/internal/yamlnode.h"

#include <sstream>
#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/yaml.h>

namespace saltvane::settings {
namespace {

constexpr std::string_view PlainTag = "?"; // yaml-cpp's tag for a scalar without quotes and tag

/// Builds the tree from the events of the parser.
class TreeBuilder : public YAML::EventHandler {
public:
    TreeBuilder() { open_.emplace_back(); }

    /// A Null node if the document is empty.
    YamlNode takeRoot()
    {
        std::vector<YamlNode>& documents = open_.front().items;
        return documents.empty() ? YamlNode {} : std::move(documents.front());
    }

    void OnDocumentStart(const YAML::Mark& /*mark*/) override { }
    void OnDocumentEnd() override { }

    void OnNull(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override { append(nodeAt(mark, {})); }

    void OnAlias(const YAML::Mark& mark, YAML::anchor_t /*anchor*/) override
    {
        throw YAML::ParserException(mark, "aliases are not supported");
    }

    void OnScalar(
        const YAML::Mark& mark, const std::string& tag, YAML::anchor_t /*anchor*/, const std::string& value) override
    {
        YamlNode node = nodeAt(mark, YamlNode::Kind::Scalar);
        node.isPlain = tag == PlainTag;
        node.scalar = value;
        append(std::move(node));
    }

    void OnSequenceStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
        YAML::EmitterStyle::value /*style*/) override
    {
        open_.push_back(nodeAt(mark, YamlNode::Kind::Sequence));
    }

    void OnMapStart(const YAML::Mark& mark, const std::string& /*tag*/, YAML::anchor_t /*anchor*/,
        YAML::EmitterStyle::value /*style*/) override
    {
        open_.push_back(nodeAt(mark, YamlNode::Kind::Mapping));
    }

    void OnSequenceEnd() override { close(); }
    void OnMapEnd() override { close(); }

private:
    static YamlNode nodeAt(const YAML::Mark& mark, YamlNode::Kind kind)
    {
        return {.kind = kind, .line = mark.line, .column = mark.column};
    }

    void append(YamlNode node) { open_.back().items.push_back(std::move(node)); }

    void close()
    {
        YamlNode node = std::move(open_.back());
        open_.pop_back();
        append(std::move(node));
    }

    std::vector<YamlNode> open_; ///< Stack of open nodes. The first one is a container for the root.
};

} // namespace

YamlNode parseYaml(std::string_view text)
{
    std::istringstream stream {std::string(text)};
    YAML::Parser parser(stream);
    TreeBuilder document;
    TreeBuilder following;
    const bool hasDocument = parser.HandleNextDocument(document);
    // Called only once more: for the text "," the parser returns an endless sequence of empty documents.
    if (!hasDocument || parser.HandleNextDocument(following))
        return {};
    return document.takeRoot();
}

} // namespace saltvane::settings
