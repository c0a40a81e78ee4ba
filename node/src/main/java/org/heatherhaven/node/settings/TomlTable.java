package org.heatherhaven.node.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.heatherhaven.node.settings.SettingsException.Code;

/**
 * One table of a TOML file. Every value is validated when it is read; {@link #rejectUnknownKeys} then rejects all keys
 * that were not read. All read methods throw a {@link SettingsException} if a value is not valid.
 */
public final class TomlTable {

    private static final int MAX_PORT = 65_535;

    private final String file;
    private final List<String> lines;
    private final String tablePath;
    private final JsonNode node;
    private final Set<String> read = new HashSet<>();
    private final List<TomlTable> children = new ArrayList<>();

    private TomlTable(String file, List<String> lines, String name, JsonNode node) {
        this.file = file;
        this.lines = lines;
        this.tablePath = name;
        this.node = node;
    }

    /**
     * Parses a file.
     *
     * @param path the file
     * @return its root table
     * @throws SettingsException if the file can't be read or is not TOML
     */
    public static TomlTable read(Path path) {
        try {
            return parse(path.getFileName().toString(), Files.readString(path));
        } catch (IOException e) {
            throw new SettingsException(Code.UNREADABLE, path + ": can't be read");
        }
    }

    /**
     * Parses a text.
     *
     * @param file file name shown in error messages
     * @param text the content
     * @return its root table
     * @throws SettingsException if the text is not TOML
     */
    public static TomlTable parse(String file, String text) {
        try {
            JsonNode root = new TomlMapper().readTree(text);
            return new TomlTable(file, text.lines().toList(), "", root);
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 1 : e.getLocation().getLineNr();
            throw new SettingsException(Code.NOT_TOML, file + ":" + line + ": not TOML: " + e.getOriginalMessage());
        } catch (RuntimeException e) {
            throw new SettingsException(Code.NOT_TOML, file + ":1: not TOML: " + e.getMessage());
        }
    }

    /**
     * Reads a nested table.
     *
     * @param key key of the table
     * @return the table, empty if it is missing
     */
    public TomlTable table(String key) {
        read.add(key);
        JsonNode child = node.path(key);
        if (!child.isMissingNode() && !child.isObject()) {
            throw invalidValue(key, "a table [" + key + "]");
        }
        return child(key, child);
    }

    /**
     * Reads an array of nested tables.
     *
     * @param key key of the array
     * @return the tables, none if the array is missing
     */
    public List<TomlTable> tables(String key) {
        read.add(key);
        List<TomlTable> tables = new ArrayList<>();
        for (JsonNode child : node.path(key)) {
            if (!child.isObject()) {
                throw invalidValue(key, "tables [[" + key + "]]");
            }
            tables.add(child(key, child));
        }
        return tables;
    }

    private TomlTable child(String key, JsonNode child) {
        String path = tablePath.isEmpty() ? key : tablePath + "." + key;
        TomlTable table = new TomlTable(file, lines, path, child);
        children.add(table);
        return table;
    }

    /**
     * Reads a required string.
     *
     * @param key key of the value
     * @return the string
     */
    public String requiredString(String key) {
        return optionalString(key).orElseThrow(() -> missing(key, "a text"));
    }

    /**
     * Reads an optional string.
     *
     * @param key key of the value
     * @return the string, or empty if it is missing
     */
    public Optional<String> optionalString(String key) {
        return value(key, JsonNode::isTextual, "a text").map(JsonNode::asText);
    }

    /**
     * Reads a list of strings.
     *
     * @param key key of the list
     * @return the strings, none if the list is missing
     */
    public List<String> strings(String key) {
        List<String> strings = new ArrayList<>();
        Optional<JsonNode> array = value(key, JsonNode::isArray, "a list of texts");
        if (array.isPresent()) {
            for (JsonNode item : array.get()) {
                if (!item.isTextual()) {
                    throw invalidValue(key, "a list of texts");
                }
                strings.add(item.asText());
            }
        }
        return strings;
    }

    /**
     * Reads a boolean.
     *
     * @param key key of the value
     * @param fallback default if the value is missing
     * @return the value
     */
    public boolean flag(String key, boolean fallback) {
        return value(key, JsonNode::isBoolean, "true or false")
                .map(JsonNode::asBoolean)
                .orElse(fallback);
    }

    /**
     * Reads an integer within bounds.
     *
     * @param key key of the value
     * @param min minimum, inclusive
     * @param max maximum, inclusive
     * @param fallback default if the value is missing; empty if the value is required
     * @return the integer
     */
    public long integer(String key, long min, long max, Optional<Long> fallback) {
        String expected = "a whole number from " + min + " to " + max;
        Optional<JsonNode> found = value(key, JsonNode::isIntegralNumber, expected);
        if (found.isEmpty()) {
            return fallback.orElseThrow(() -> missing(key, expected));
        }
        if (!found.get().canConvertToLong()
                || found.get().asLong() < min
                || found.get().asLong() > max) {
            throw invalidValue(key, expected);
        }
        return found.get().asLong();
    }

    /**
     * Reads a required number.
     *
     * @param key key of the value
     * @return the number
     */
    public double decimal(String key) {
        return value(key, JsonNode::isNumber, "a number")
                .map(JsonNode::asDouble)
                .orElseThrow(() -> missing(key, "a number"));
    }

    /**
     * Reads a number within bounds.
     *
     * @param key key of the value
     * @param min minimum, inclusive
     * @param max maximum, inclusive
     * @param fallback default if the value is missing
     * @return the number
     */
    public double decimal(String key, double min, double max, double fallback) {
        String expected = "a number from " + min + " to " + max;
        double found =
                value(key, JsonNode::isNumber, expected).map(JsonNode::asDouble).orElse(fallback);
        if (found < min || found > max) {
            throw invalidValue(key, expected);
        }
        return found;
    }

    /**
     * Reads an enum constant, written in lower case with hyphens.
     *
     * @param key key of the value
     * @param type class of the enum
     * @param fallback default if the value is missing; empty if the value is required
     * @param <E> type of the enum
     * @return the constant
     */
    public <E extends Enum<E>> E enumConstant(String key, Class<E> type, Optional<E> fallback) {
        List<String> names = new ArrayList<>();
        for (E constant : type.getEnumConstants()) {
            names.add(constant.name().toLowerCase(Locale.ROOT).replace('_', '-'));
        }
        String expected = "one of " + String.join(", ", names);
        Optional<String> found = value(key, JsonNode::isTextual, expected).map(JsonNode::asText);
        if (found.isEmpty()) {
            return fallback.orElseThrow(() -> missing(key, expected));
        }
        int index = names.indexOf(found.get());
        if (index < 0) {
            throw invalidValue(key, expected);
        }
        return type.getEnumConstants()[index];
    }

    /**
     * Reads a required address, host and port.
     *
     * @param key key of the value
     * @return the address
     */
    public InetSocketAddress address(String key) {
        String expected = "an address such as \"127.0.0.1:8080\"";
        String text = value(key, JsonNode::isTextual, expected)
                .map(JsonNode::asText)
                .orElseThrow(() -> missing(key, expected));
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon <= 0 || port < 1 || port > MAX_PORT) {
                throw invalidValue(key, expected);
            }
            return new InetSocketAddress(text.substring(0, colon), port);
        } catch (NumberFormatException e) {
            throw invalidValue(key, expected);
        }
    }

    /**
     * Reads an optional address, host and port.
     *
     * @param key key of the value
     * @return the address, or empty if it is missing
     */
    public Optional<InetSocketAddress> optionalAddress(String key) {
        return node.path(key).isMissingNode() ? Optional.empty() : Optional.of(address(key));
    }

    private Optional<JsonNode> value(String key, Function<JsonNode, Boolean> hasType, String expected) {
        read.add(key);
        JsonNode value = node.path(key);
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        if (!hasType.apply(value)) {
            throw invalidValue(key, expected);
        }
        return Optional.of(value);
    }

    /**
     * Returns whether the file contains this table.
     *
     * @return true if the table is present
     */
    public boolean present() {
        return !node.isMissingNode();
    }

    /**
     * Rejects keys that were not read, in this table and in all nested tables that were read.
     *
     * @throws SettingsException if there is such a key
     */
    public void rejectUnknownKeys() {
        if (node instanceof ObjectNode object) {
            Iterator<String> names = object.fieldNames();
            while (names.hasNext()) {
                String key = names.next();
                if (!read.contains(key)) {
                    throw error(
                            Code.UNKNOWN_KEY,
                            key,
                            "is not a setting; known here: " + String.join(", ", sortedKnownKeys()));
                }
            }
        }
        children.forEach(TomlTable::rejectUnknownKeys);
    }

    private List<String> sortedKnownKeys() {
        return read.stream().sorted().toList();
    }

    private SettingsException missing(String key, String expected) {
        return error(Code.MISSING, key, "is missing; expected " + expected);
    }

    /**
     * Creates the exception for a value that is not valid.
     *
     * @param key key of the value
     * @param expected description of the valid values
     * @return the exception, for the caller to throw
     */
    public SettingsException invalidValue(String key, String expected) {
        return error(Code.INVALID_VALUE, key, "can't be used; expected " + expected);
    }

    private SettingsException error(Code code, String key, String problem) {
        String path = tablePath.isEmpty() ? key : tablePath + "." + key;
        return new SettingsException(code, file + ":" + lineOf(key) + ": " + path + " " + problem);
    }

    /** Returns the line number of a key, of its table if the key is missing, or 1 if neither is found. */
    private int lineOf(String key) {
        boolean inside = tablePath.isEmpty();
        int header = 1;
        for (int i = 0; i < lines.size(); i++) {
            String line = lines.get(i).strip();
            if (line.startsWith("[")) {
                inside = line.replaceAll("[\\[\\]\\s]", "").equals(tablePath);
                header = inside ? i + 1 : header;
                if (line.replaceAll("[\\[\\]\\s]", "").equals(tablePath.isEmpty() ? key : tablePath + "." + key)) {
                    return i + 1;
                }
            } else if (inside && line.matches("\"?" + Pattern.quote(key) + "\"?\\s*=.*")) {
                return i + 1;
            }
        }
        return header;
    }
}
