package laurelkeel.config;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.function.Function;
import laurelkeel.text.DecimalNumbers;
import org.jspecify.annotations.Nullable;

/**
 * A section of an INI file that is being read. Getters take the default as text, in the form that a user would write, or
 * {@link #REQUIRED}. An error is recorded and a placeholder is returned, so that one pass finds all errors. Not
 * thread-safe.
 */
public final class IniSection {
    /** Passed as the default of a key that must be present. */
    public static final @Nullable String REQUIRED = null;

    private static final int MAX_PORT = 65_535;

    private final IniFile file;
    private final String name;
    private final int line;
    private final boolean missing;
    private final Map<String, Integer> linesByKey = new LinkedHashMap<>();
    private final Map<String, String> values = new HashMap<>();
    private final TreeSet<String> knownKeys = new TreeSet<>();
    private boolean known;

    /**
     * Creates a section without keys.
     *
     * @param missing whether the section is required but absent from the file, so that its absent keys are not reported too
     */
    IniSection(IniFile file, String name, int line, boolean missing) {
        this.file = file;
        this.name = name;
        this.line = line;
        this.missing = missing;
    }

    int line() {
        return line;
    }

    void markAsKnown() {
        known = true;
    }

    boolean isKnown() {
        return known;
    }

    void addKey(String key, int keyLine) {
        Integer firstLine = linesByKey.putIfAbsent(key, keyLine);
        if (firstLine != null) {
            file.addError(keyLine, "'" + key + "' is already set on line " + firstLine + "; keep only one");
        }
    }

    void put(String key, String value) {
        values.put(key, value);
    }

    void copyTo(StringBuilder copy) {
        for (String key : linesByKey.keySet()) {
            copy.append(key).append(" = ").append(values.getOrDefault(key, "")).append('\n');
        }
    }

    void addErrorsForUnknownKeys() {
        linesByKey.forEach((key, keyLine) -> {
            if (!knownKeys.contains(key)) {
                file.addError(
                        keyLine,
                        "'" + key + "' is unknown in [" + name + "]" + SpellingSuggestion.suggest(key, knownKeys));
            }
        });
    }

    /** Records an error at the line of a key, for checks that involve several keys. */
    public void addError(String key, String text) {
        file.addError(linesByKey.getOrDefault(key, line), "'" + key + "' " + text);
    }

    /** Returns whether the section contains a key. */
    public boolean has(String key) {
        knownKeys.add(key);
        return values.containsKey(key);
    }

    /**
     * Reads a value.
     *
     * @param placeholder returned if the value is missing or invalid, after the error is recorded
     * @param form the expected form, for error messages
     * @param parser returns null or throws if the value is invalid
     */
    private <T> T read(
            String key,
            @Nullable String defaultText,
            T placeholder,
            String form,
            Function<String, ? extends @Nullable T> parser) {
        knownKeys.add(key);
        String text = values.get(key);
        if (text == null || text.isBlank()) {
            if (defaultText == null) {
                addErrorForMissing(key, form);
                return placeholder;
            }
            text = defaultText;
        }
        T value = parse(text.strip(), parser);
        if (value == null) {
            addError(key, "is '" + text.strip() + "'; write " + form);
            return placeholder;
        }
        return value;
    }

    private void addErrorForMissing(String key, String form) {
        if (!missing) {
            addError(key, "is missing in [" + name + "]; add a line '" + key + " = " + form + "'");
        }
    }

    /** Returns null if the parser throws: the error message states the expected form, so the exception is not needed. */
    private static <T> @Nullable T parse(String text, Function<String, ? extends @Nullable T> parser) {
        try {
            return parser.apply(text);
        } catch (RuntimeException e) {
            return null;
        }
    }

    /** Reads a string. */
    public String stringValue(String key, @Nullable String defaultText) {
        return read(key, defaultText, "", "some text", text -> text);
    }

    /** Reads a whole number from {@code min} to {@code max}. */
    public long longValue(String key, @Nullable String defaultText, long min, long max) {
        return read(key, defaultText, min, "a whole number from " + min + " to " + max, text -> {
            long value = DecimalNumbers.parseLong(text);
            return value < min || value > max ? null : value;
        });
    }

    /** Reads a whole number from {@code min} to {@code max}. */
    public int intValue(String key, @Nullable String defaultText, int min, int max) {
        return (int) longValue(key, defaultText, min, max);
    }

    /** Reads a number from {@code min} to {@code max}. */
    public double doubleValue(String key, @Nullable String defaultText, double min, double max) {
        return read(key, defaultText, min, "a number from " + min + " to " + max, text -> {
            double value = DecimalNumbers.parse(text);
            return value >= min && value <= max ? value : null;
        });
    }

    /** Reads a boolean: yes, true or on; no, false or off. */
    public boolean booleanValue(String key, @Nullable String defaultText) {
        return read(key, defaultText, false, "yes or no", text -> switch (text) {
            case "yes", "true", "on" -> true;
            case "no", "false", "off" -> false;
            default -> null;
        });
    }

    /** Reads an enum constant by its {@link #settingName}. */
    public <E extends Enum<E>> E choice(String key, @Nullable String defaultText, Class<E> type) {
        Map<String, E> choices = new LinkedHashMap<>();
        for (E constant : type.getEnumConstants()) {
            choices.put(settingName(constant), constant);
        }
        return choice(key, defaultText, choices);
    }

    /**
     * Reads one of several values.
     *
     * @param choices the values by their names in the file, in the order in which an error message lists them; the first
     *     one is the placeholder if the file has an error
     */
    public <T> T choice(String key, @Nullable String defaultText, Map<String, T> choices) {
        String form = "one of " + String.join(", ", choices.keySet());
        return read(key, defaultText, choices.values().iterator().next(), form, choices::get);
    }

    /** Returns the name of an enum constant in settings files: NON_RETRIABLE is non-retriable. */
    public static String settingName(Enum<?> constant) {
        return constant.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Reads a duration with its unit.
     *
     * @param min the shortest valid duration, in the form that a user would write
     * @param max the longest valid duration, in the form that a user would write
     * @return ticks of a tenth of a millisecond
     */
    public long durationTicks(String key, @Nullable String defaultText, String min, String max) {
        String form = "a time with its unit (ms, s, min, h) from " + min + " to " + max;
        return quantity(key, defaultText, min, max, form, Quantities::parseTicks);
    }

    /**
     * Reads a size with its unit.
     *
     * @param min the smallest valid size, in the form that a user would write
     * @param max the largest valid size, in the form that a user would write
     * @return bytes
     */
    public long byteSize(String key, @Nullable String defaultText, String min, String max) {
        String form = "a size with its unit (B, KiB, MiB, GiB) from " + min + " to " + max;
        return quantity(key, defaultText, min, max, form, Quantities::parseBytes);
    }

    private long quantity(
            String key,
            @Nullable String defaultText,
            String min,
            String max,
            String form,
            Function<String, Long> parser) {
        long minValue = parser.apply(min);
        long maxValue = parser.apply(max);
        return read(key, defaultText, minValue, form, text -> {
            long value = parser.apply(text);
            return value < minValue || value > maxValue ? null : value;
        });
    }

    /** Reads a comma-separated list of numbers, each from {@code min} to {@code max}. */
    public List<Double> doubleList(String key, @Nullable String defaultText, double min, double max) {
        String form = "numbers from " + min + " to " + max + ", separated by commas";
        return read(key, defaultText, List.of(), form, text -> {
            List<Double> numbers = new ArrayList<>();
            for (String part : splitAtCommas(text)) {
                double number = DecimalNumbers.parse(part.strip());
                if (!(number >= min && number <= max)) {
                    return null;
                }
                numbers.add(number);
            }
            return numbers;
        });
    }

    /** Reads a comma-separated list of strings; empty ones are dropped. */
    public List<String> stringList(String key, @Nullable String defaultText) {
        return read(key, defaultText, List.of(), "words separated by commas", text -> {
            List<String> words = new ArrayList<>();
            for (String part : splitAtCommas(text)) {
                if (!part.isBlank()) {
                    words.add(part.strip());
                }
            }
            return words;
        });
    }

    private static String[] splitAtCommas(String text) {
        int dropTrailingEmptyParts = 0;
        return text.split(",", dropTrailingEmptyParts);
    }

    /** Reads an address of the form host:port; port 0 requests any free port. */
    public InetSocketAddress address(String key, @Nullable String defaultText) {
        return read(
                key,
                defaultText,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                "host:port, for example 127.0.0.1:8080",
                IniSection::parseAddress);
    }

    /**
     * Parses an address of the form host:port and resolves the host.
     *
     * @return null if the host is missing or the port is out of range; an unresolved address if the host is unknown
     * @throws NumberFormatException if the port is not a number
     */
    @SuppressWarnings("AddressSelection") // a setting names one address; the resolver selects one if a host has several
    public static @Nullable InetSocketAddress parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            return null;
        }
        int port = DecimalNumbers.parseInt(text.substring(colon + 1));
        return port < 0 || port > MAX_PORT ? null : new InetSocketAddress(text.substring(0, colon), port);
    }

    /** Returns the keys of the section, for a section whose keys are chosen by the user. */
    public List<String> keys() {
        knownKeys.addAll(linesByKey.keySet());
        return List.copyOf(linesByKey.keySet());
    }
}
