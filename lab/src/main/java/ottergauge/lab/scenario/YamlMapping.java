// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scenario;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.snakeyaml.engine.v2.api.LoadSettings;
import org.snakeyaml.engine.v2.api.lowlevel.Compose;
import org.snakeyaml.engine.v2.exceptions.MarkedYamlEngineException;
import org.snakeyaml.engine.v2.exceptions.YamlEngineException;
import org.snakeyaml.engine.v2.nodes.MappingNode;
import org.snakeyaml.engine.v2.nodes.Node;
import org.snakeyaml.engine.v2.nodes.NodeTuple;
import org.snakeyaml.engine.v2.nodes.ScalarNode;
import org.snakeyaml.engine.v2.nodes.SequenceNode;

/**
 * A YAML mapping in a scenario file, with its line numbers for error messages. The caller passes
 * the allowed values when it reads a key; {@link #rejectUnknownKeys} reports keys that were never
 * read.
 */
public final class YamlMapping {

    /** The range of allowed numbers, and its description for error messages. */
    public record Range(double min, double max, String description) {
        public static final Range FRACTION = new Range(0, 1, "a fraction from 0 to 1");
        public static final Range POSITIVE = new Range(1e-9, 1e9, "a number greater than 0");
        public static final Range ANY = new Range(0, 1e9, "a number of 0 or more");
        public static final Range COUNT = new Range(1, 100_000, "a whole number of 1 or more");
    }

    private static final Map<String, Double> UNITS =
            Map.of("us", 1.0, "ms", 1e3, "s", 1e6, "min", 60e6);

    private final String file;
    private final int line;
    private final Map<String, Node> values = new LinkedHashMap<>();
    private final Set<String> readKeys = new HashSet<>();

    private YamlMapping(String file, int line) {
        this.file = file;
        this.line = line;
    }

    /**
     * Parses a file's text, which must be one mapping; {@code file} is its name in error messages.
     */
    public static YamlMapping root(String file, String text) throws ScenarioException {
        try {
            return of(
                    file,
                    new Compose(LoadSettings.builder().setLabel(file).build())
                            .composeReader(new StringReader(text))
                            .orElseThrow(
                                    () -> new ScenarioException(file + ":1: expected a mapping")));
        } catch (MarkedYamlEngineException e) {
            int line = e.getProblemMark().map(mark -> mark.getLine() + 1).orElse(0);
            throw new ScenarioException(file + ":" + line + ": invalid YAML: " + e.getProblem());
        } catch (YamlEngineException e) {
            throw new ScenarioException(file + ": invalid YAML: " + e.getMessage());
        }
    }

    private static YamlMapping of(String file, Node node) throws ScenarioException {
        int line = line(node);
        if (!(node instanceof MappingNode mapping)) {
            throw new ScenarioException(file + ":" + line + ": expected a mapping");
        }
        YamlMapping result = new YamlMapping(file, line);
        for (NodeTuple tuple : mapping.getValue()) {
            if (!(tuple.getKeyNode() instanceof ScalarNode key)) {
                throw new ScenarioException(
                        file + ":" + line(tuple.getKeyNode()) + ": a key must be a word");
            }
            if (result.values.put(key.getValue(), tuple.getValueNode()) != null) {
                throw new ScenarioException(
                        file + ":" + line(key) + ": " + key.getValue() + ": given twice");
            }
        }
        return result;
    }

    private static int line(Node node) {
        return node.getStartMark().map(mark -> mark.getLine() + 1).orElse(0);
    }

    /** Returns an error that names file, line, key, value and what is allowed. */
    public ScenarioException fault(String key, String allowed) {
        Node node = values.get(key);
        String actual = node instanceof ScalarNode scalar ? ", not " + scalar.getValue() : "";
        return new ScenarioException(
                file
                        + ":"
                        + (node == null ? line : line(node))
                        + ": "
                        + key
                        + ": "
                        + (node == null ? "missing; " : "")
                        + allowed
                        + actual);
    }

    public boolean has(String key) {
        readKeys.add(key);
        return values.containsKey(key);
    }

    private String scalar(String key, String allowed) throws ScenarioException {
        readKeys.add(key);
        if (!(values.get(key) instanceof ScalarNode scalar)) {
            throw fault(key, allowed);
        }
        return scalar.getValue();
    }

    /** Returns a required text that must not be blank. */
    public String text(String key) throws ScenarioException {
        String text = scalar(key, "a word");
        if (text.isBlank()) {
            throw fault(key, "a word");
        }
        return text;
    }

    public String text(String key, String defaultValue) throws ScenarioException {
        return has(key) ? text(key) : defaultValue;
    }

    /**
     * Returns an enum value, written in lower case with hyphens in the file, or {@code
     * defaultValue} if the key is absent.
     */
    public <E extends Enum<E>> E oneOf(String key, Class<E> kind, E defaultValue)
            throws ScenarioException {
        if (defaultValue != null && !has(key)) {
            return defaultValue;
        }
        List<String> names = new ArrayList<>();
        for (E each : kind.getEnumConstants()) {
            names.add(each.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-'));
        }
        String allowed = "one of " + String.join(", ", names);
        int index = names.indexOf(scalar(key, allowed));
        if (index < 0) {
            throw fault(key, allowed);
        }
        return kind.getEnumConstants()[index];
    }

    /** Returns a required number within the range. */
    public double number(String key, Range range) throws ScenarioException {
        try {
            double value = Double.parseDouble(scalar(key, range.description()));
            if (value >= range.min() && value <= range.max()) {
                return value;
            }
        } catch (NumberFormatException e) {
            // Reported below, like a number outside the range.
        }
        throw fault(key, range.description());
    }

    public double number(String key, Range range, double defaultValue) throws ScenarioException {
        return has(key) ? number(key, range) : defaultValue;
    }

    /** Returns a required whole number of 1 or more. */
    public int count(String key) throws ScenarioException {
        double value = number(key, Range.COUNT);
        if (value != Math.rint(value)) {
            throw fault(key, Range.COUNT.description());
        }
        return (int) value;
    }

    public int count(String key, int defaultValue) throws ScenarioException {
        return has(key) ? count(key) : defaultValue;
    }

    /** Returns a whole number, or {@code defaultValue} if the key is absent. */
    public long wholeNumber(String key, long defaultValue) throws ScenarioException {
        if (!has(key)) {
            return defaultValue;
        }
        String allowed = "a whole number";
        try {
            return Long.parseLong(scalar(key, allowed));
        } catch (NumberFormatException e) {
            throw fault(key, allowed);
        }
    }

    /** Returns true or false, or {@code defaultValue} if the key is absent. */
    public boolean flag(String key, boolean defaultValue) throws ScenarioException {
        if (!has(key)) {
            return defaultValue;
        }
        String text = scalar(key, "true or false");
        if (!"true".equals(text) && !"false".equals(text)) {
            throw fault(key, "true or false");
        }
        return "true".equals(text);
    }

    /** Returns a required duration, given with its unit, in microseconds. */
    public long span(String key) throws ScenarioException {
        String allowed = "a time with its unit, such as 250ms or 1.5s";
        String text = scalar(key, allowed).trim();
        int digits = 0;
        while (digits < text.length() && "0123456789.".indexOf(text.charAt(digits)) >= 0) {
            digits++;
        }
        Double unit = UNITS.get(text.substring(digits).trim());
        try {
            if (unit != null) {
                return Math.round(Double.parseDouble(text.substring(0, digits)) * unit);
            }
        } catch (NumberFormatException e) {
            // Reported below.
        }
        throw fault(key, allowed);
    }

    public long span(String key, long defaultValue) throws ScenarioException {
        return has(key) ? span(key) : defaultValue;
    }

    /** Returns a required nested mapping. */
    public YamlMapping child(String key) throws ScenarioException {
        readKeys.add(key);
        Node node = values.get(key);
        if (node == null) {
            throw fault(key, "a mapping");
        }
        return of(file, node);
    }

    /**
     * Returns an optional nested mapping; if the key is absent, an empty one, so that all its
     * values are defaults.
     */
    public YamlMapping childOrEmpty(String key) throws ScenarioException {
        return has(key) ? child(key) : new YamlMapping(file, line);
    }

    /** Returns a list of nested mappings; empty if the key is absent. */
    public List<YamlMapping> children(String key) throws ScenarioException {
        readKeys.add(key);
        List<YamlMapping> children = new ArrayList<>();
        if (values.get(key) instanceof SequenceNode list) {
            for (Node each : list.getValue()) {
                children.add(of(file, each));
            }
        } else if (has(key)) {
            throw fault(key, "a list");
        }
        return children;
    }

    /** Returns a word or a list of words; empty if the key is absent. */
    public List<String> texts(String key) throws ScenarioException {
        readKeys.add(key);
        List<String> texts = new ArrayList<>();
        if (values.get(key) instanceof SequenceNode list) {
            for (Node each : list.getValue()) {
                if (!(each instanceof ScalarNode scalar)) {
                    throw fault(key, "a list of words");
                }
                texts.add(scalar.getValue());
            }
        } else if (has(key)) {
            texts.add(scalar(key, "a word or a list of words"));
        }
        return texts;
    }

    /** Throws an error for the first key that was never read and is not one of {@code known}. */
    public void rejectUnknownKeys(String... known) throws ScenarioException {
        readKeys.addAll(List.of(known));
        for (String key : values.keySet()) {
            if (!readKeys.contains(key)) {
                throw new ScenarioException(
                        file
                                + ":"
                                + line(values.get(key))
                                + ": "
                                + key
                                + ": unknown key; known here: "
                                + String.join(", ", new java.util.TreeSet<>(readKeys)));
            }
        }
    }
}
